package discoveryleader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

// world is a fleet of participants around one lessor, in simulated time, with announcements and requests that get lost.
type world struct {
	t      *rapid.T
	lessor lease.Lessor
	clock  lease.Clock
	index  uint64
	now    time.Duration
	nodes  []*node
	newest uint64 // token of the newest announcement
}

type node struct {
	participant     *Participant
	watchOpen       bool
	requestInFlight bool
	stalled         bool
	listSince       time.Duration // since when it has been without a list, at the earliest
}

// carryOut carries out a node's actions, and checks that only the leader announces.
func (w *world) carryOut(n *node, actions Actions) {
	if actions.CloseWatch {
		n.watchOpen = false
	}
	if actions.ReleaseLease {
		w.apply(n, true)
	}
	if actions.OpenWatch {
		n.watchOpen = true
	}
	if actions.RequestLease {
		n.requestInFlight = true
	}
	if actions.Announce.Token > 0 {
		w.announce(n, actions.Announce)
	}
	if actions.FetchList.Sequence > 0 {
		w.fetch(n, actions.FetchList)
	}
}

// announce brings an announcement to some of the other nodes.
func (w *world) announce(n *node, a Announcement) {
	if a.Token < w.newest {
		w.t.Fatalf("at %v %s announces by token %d after %d", w.now, n.participant.Name, a.Token, w.newest)
	}
	w.newest = a.Token
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		if _, leading := other.participant.Token(w.now); leading {
			w.t.Fatalf("at %v %s announces while %s may", w.now, n.participant.Name, other.participant.Name)
		}
		if !other.stalled && rapid.IntRange(0, 3).Draw(w.t, "announcement lost") > 0 {
			actions, _ := other.participant.HandleAnnouncement(w.now, a)
			w.carryOut(other, actions)
		}
	}
}

// fetch brings a list to a node, or fails.
func (w *world) fetch(n *node, a Announcement) {
	if rapid.IntRange(0, 3).Draw(w.t, "fetch lost") == 0 {
		w.carryOut(n, n.participant.HandleFetchFailed(w.now))
		return
	}
	before := n.participant.Installed()
	actions, install := n.participant.HandleList(w.now, a)
	if install && n.participant.Installed().Before(before) {
		w.t.Fatalf("%s goes back from %v to %v", n.participant.Name, before, n.participant.Installed())
	}
	w.carryOut(n, actions)
}

func (w *world) apply(n *node, release bool) (lease.Lease, bool) {
	w.index++
	return w.lessor.Apply(lease.Command{Release: release, Name: LeaseName, Holder: n.participant.Name, Duration: leaseDuration, Now: w.clock.At(w.now)}, w.index, 0)
}

// stall stalls a node, or has it go on, by chance.
func (w *world) stall(n *node) {
	switch what := rapid.IntRange(0, 60).Draw(w.t, "event"); {
	case what == 0:
		n.stalled = true
	case what < 10:
		n.stalled = false
	}
}

// respond answers a node's request for the lease, or fails.
func (w *world) respond(n *node) {
	n.requestInFlight = false
	if rapid.IntRange(0, 4).Draw(w.t, "voters out") == 0 {
		w.carryOut(n, n.participant.HandleLeaseResponse(w.now, lease.Lease{}, false, errors.New("out")))
		return
	}
	current, granted := w.apply(n, false)
	w.carryOut(n, n.participant.HandleLeaseResponse(w.now, current, granted, nil))
}

// watch brings a list by a node's own watch, or ends the watch, by chance.
func (w *world) watch(n *node) {
	switch what := rapid.IntRange(0, 20).Draw(w.t, "list"); {
	case n.watchOpen && what == 0:
		n.watchOpen = false
		w.carryOut(n, n.participant.HandleWatchFailed(w.now))
		w.carryOut(n, n.participant.HandleListWanted(w.now))
		n.listSince = w.now
	case n.watchOpen && what < 5:
		w.carryOut(n, n.participant.HandleWatchUpdate(w.now))
	}
}

// step has a node meet what happens to it at this time, and checks that it has a way to a list.
func (w *world) step(n *node) {
	w.stall(n)
	if n.stalled {
		n.listSince = w.now
		return
	}
	if n.requestInFlight {
		w.respond(n)
	}
	w.watch(n)
	w.carryOut(n, n.participant.HandleTimer(w.now))
	if n.watchOpen || w.now-n.participant.list.lastHeardAt < leaseDuration/2 {
		n.listSince = w.now
	}
	if w.now-n.listSince > n.participant.MaxFallbackDelay()+leaseDuration {
		w.t.Fatalf("at %v %s has been without a list since %v", w.now, n.participant.Name, n.listSince)
	}
}

// Whatever is lost and whoever stalls: one leader acts at a time, tokens and lists never go back, and nobody who wants the
// list is without a watch or a leader's announcement for longer than MaxFallbackDelay, but for a stall.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, lessor: lease.Lessor{MaxClockDrift: 100 * time.Millisecond}}
		for i := range rapid.IntRange(2, 5).Draw(t, "poolers") {
			p := newParticipant()
			p.Name = fmt.Sprint("n", i)
			p.JitterFraction = float64(i) / 5
			n := &node{participant: p}
			w.nodes = append(w.nodes, n)
			w.carryOut(n, p.HandleListWanted(0))
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond
			for _, n := range w.nodes {
				w.step(n)
			}
		}
	})
}

// A pooler with FollowOnly requests no lease, whatever it does not hear; without an announcement it calls the discovery service
// itself.
func TestFollowOnly(t *testing.T) {
	p := Participant{Options: Options{Name: "n", LeaseDuration: time.Second, JitterFraction: 0.5, FollowOnly: true}}
	opened := false
	for now, actions := time.Duration(0), p.HandleListWanted(0); now < 10*time.Second; actions = p.HandleTimer(now) {
		if actions.RequestLease {
			t.Fatalf("it requests the lease after %v", now)
		}
		if actions.OpenWatch && now > p.MaxFallbackDelay() {
			t.Errorf("alone after %v, want %v at the most", now, p.MaxFallbackDelay())
		}
		opened = opened || actions.OpenWatch
		now = p.NextTimerAt(now)
	}
	if !opened {
		t.Error("it never calls the discovery service")
	}
}
