package discoveryleader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

// simulation is a fleet of participants and one lessor in simulated time. Announcements, fetches and lease requests may be lost.
type simulation struct {
	t           *rapid.T
	lessor      lease.Lessor
	clock       lease.Clock
	index       uint64
	now         time.Duration
	nodes       []*node
	newestToken uint64 // token of the newest announcement
}

// node is one simulated pooler.
type node struct {
	participant      *Participant
	watchOpen        bool
	requestInFlight  bool
	stalled          bool
	withoutListSince time.Duration // time since which the node may have been without a source of lists
}

// execute executes a node's actions.
func (s *simulation) execute(n *node, actions Actions) {
	if actions.CloseWatch {
		n.watchOpen = false
	}
	if actions.ReleaseLease {
		s.apply(n, true)
	}
	if actions.OpenWatch {
		n.watchOpen = true
	}
	if actions.RequestLease {
		n.requestInFlight = true
	}
	if actions.Announce.Token > 0 {
		s.announce(n, actions.Announce)
	}
	if actions.FetchList.Sequence > 0 {
		s.fetch(n, actions.FetchList)
	}
}

// announce delivers an announcement to a random subset of the other nodes. It fails the test if tokens decrease or if another
// node may announce at the same time.
func (s *simulation) announce(n *node, announcement Announcement) {
	if announcement.Token < s.newestToken {
		s.t.Fatalf("at %v %s announces with token %d after token %d", s.now, n.participant.Name, announcement.Token, s.newestToken)
	}
	s.newestToken = announcement.Token
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		if _, leading := other.participant.Token(s.now); leading {
			s.t.Fatalf("at %v %s announces while %s is the leader", s.now, n.participant.Name, other.participant.Name)
		}
		if !other.stalled && rapid.IntRange(0, 3).Draw(s.t, "announcement lost") > 0 {
			actions, _ := other.participant.HandleAnnouncement(s.now, announcement)
			s.execute(other, actions)
		}
	}
}

// fetch delivers a list to a node or fails, at random. It fails the test if the node goes back to an older list.
func (s *simulation) fetch(n *node, announcement Announcement) {
	if rapid.IntRange(0, 3).Draw(s.t, "fetch lost") == 0 {
		s.execute(n, n.participant.HandleFetchFailed(s.now))
		return
	}
	before := n.participant.Installed()
	actions, install := n.participant.HandleList(s.now, announcement)
	if install && n.participant.Installed().Before(before) {
		s.t.Fatalf("%s goes back from list %v to %v", n.participant.Name, before, n.participant.Installed())
	}
	s.execute(n, actions)
}

// apply applies a node's request for the lease, or its release, to the lessor.
func (s *simulation) apply(n *node, release bool) (lease.Lease, bool) {
	s.index++
	return s.lessor.Apply(lease.Command{Release: release, Name: LeaseName, Holder: n.participant.Name, Duration: leaseDuration, Now: s.clock.At(s.now)}, s.index, 0)
}

// stall stalls or resumes a node at random.
func (s *simulation) stall(n *node) {
	switch draw := rapid.IntRange(0, 60).Draw(s.t, "event"); {
	case draw == 0:
		n.stalled = true
	case draw < 10:
		n.stalled = false
	}
}

// respond delivers the voters' response to a node's lease request, or an error, at random.
func (s *simulation) respond(n *node) {
	n.requestInFlight = false
	if rapid.IntRange(0, 4).Draw(s.t, "voters unreachable") == 0 {
		s.execute(n, n.participant.HandleLeaseResponse(s.now, lease.Lease{}, false, errors.New("voters unreachable")))
		return
	}
	current, granted := s.apply(n, false)
	s.execute(n, n.participant.HandleLeaseResponse(s.now, current, granted, nil))
}

// watch delivers a list from a node's own watch, or ends the watch, at random.
func (s *simulation) watch(n *node) {
	switch draw := rapid.IntRange(0, 20).Draw(s.t, "list"); {
	case n.watchOpen && draw == 0:
		n.watchOpen = false
		s.execute(n, n.participant.HandleWatchFailed(s.now))
		s.execute(n, n.participant.HandleListWanted(s.now))
		n.withoutListSince = s.now
	case n.watchOpen && draw < 5:
		s.execute(n, n.participant.HandleWatchUpdate(s.now))
	}
}

// step runs one time step of a node. It fails the test if the node has been without a source of lists for too long.
func (s *simulation) step(n *node) {
	s.stall(n)
	if n.stalled {
		n.withoutListSince = s.now
		return
	}
	if n.requestInFlight {
		s.respond(n)
	}
	s.watch(n)
	s.execute(n, n.participant.HandleTimer(s.now))
	if n.watchOpen || s.now-n.participant.list.leaderSeenAt < leaseDuration/2 {
		n.withoutListSince = s.now
	}
	if s.now-n.withoutListSince > n.participant.MaxFallbackDelay()+leaseDuration {
		s.t.Fatalf("at %v %s has been without a source of lists since %v", s.now, n.participant.Name, n.withoutListSince)
	}
}

// With any losses and stalls, at most one leader may act at a time, tokens and lists must never go back, and a node that wants
// the list must not be without both a watch and a leader's announcements for longer than MaxFallbackDelay, unless it stalls.
func TestOneLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, lessor: lease.Lessor{MaxClockDrift: 100 * time.Millisecond}}
		for i := range rapid.IntRange(2, 5).Draw(t, "poolers") {
			participant := newParticipant()
			participant.Name = fmt.Sprint("n", i)
			participant.JitterFraction = float64(i) / 5
			n := &node{participant: participant}
			s.nodes = append(s.nodes, n)
			s.execute(n, participant.HandleListWanted(0))
		}
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(10, 400).Draw(t, "ms")) * time.Millisecond
			for _, n := range s.nodes {
				s.step(n)
			}
		}
	})
}

// A pooler with FollowOnly must never request the lease. Without announcements it must open its own watch on the discovery
// service.
func TestFollowOnly(t *testing.T) {
	participant := Participant{Options: Options{Name: "n", LeaseDuration: time.Second, JitterFraction: 0.5, FollowOnly: true}}
	opened := false
	for now, actions := time.Duration(0), participant.HandleListWanted(0); now < 10*time.Second; actions = participant.HandleTimer(now) {
		if actions.RequestLease {
			t.Fatalf("a FollowOnly pooler requests the lease after %v", now)
		}
		if actions.OpenWatch && now > participant.MaxFallbackDelay() {
			t.Errorf("opened its own watch after %v, want at most %v", now, participant.MaxFallbackDelay())
		}
		opened = opened || actions.OpenWatch
		now = participant.NextTimerAt(now)
	}
	if !opened {
		t.Error("the pooler never opens its own watch")
	}
}
