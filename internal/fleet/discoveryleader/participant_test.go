package discoveryleader

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

const leaseDuration = 3 * time.Second

func newParticipant() *Participant {
	return &Participant{Options: Options{Name: "n1", LeaseDuration: leaseDuration, MaxClockDrift: 100 * time.Millisecond, JitterFraction: 0.5, PoolerCount: 10}}
}

// The actions of one pooler at each event of a history.
func TestParticipant(t *testing.T) {
	s := time.Second
	grant := lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}
	own := func(seq uint64) Announcement {
		return Announcement{Token: 7, Sequence: seq, Holder: "n1", Source: "n1"}
	}
	foreign := func(token, seq uint64) Announcement {
		return Announcement{Token: token, Sequence: seq, Holder: "n2", Source: "n2"}
	}
	type step struct {
		what  string
		at    time.Duration
		event func(p *Participant, at time.Duration) Actions
		want  Actions
	}
	announced := func(a Announcement, refused bool) func(p *Participant, at time.Duration) Actions {
		return func(p *Participant, at time.Duration) Actions {
			actions, got := p.HandleAnnouncement(at, a)
			if got != refused {
				t.Errorf("%v: refused %v, want %v", a, got, refused)
			}
			return actions
		}
	}
	listReceived := func(a Announcement, ok bool) func(p *Participant, at time.Duration) Actions {
		return func(p *Participant, at time.Duration) Actions {
			actions, got := p.HandleList(at, a)
			if got != ok {
				t.Errorf("list %v: installed %v, want %v", a, got, ok)
			}
			return actions
		}
	}
	for name, steps := range map[string][]step{
		"the voters hear it, and it does not hear them": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the jitter is over", leaseDuration, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", leaseDuration, func(p *Participant, at time.Duration) Actions { return p.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"a third of the duration", 4 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"no response", 4750 * time.Millisecond, func(p *Participant, at time.Duration) Actions {
				return p.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"again", 5 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease has expired", 5900 * time.Millisecond, (*Participant).HandleTimer, Actions{CloseWatch: true}},
			{"no response again", 6 * s, func(p *Participant, at time.Duration) Actions {
				return p.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"others have two durations", 11800 * time.Millisecond, (*Participant).HandleTimer, Actions{}},
			{"it requests the lease again", 11900 * time.Millisecond, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"silence still", 12500 * time.Millisecond, func(p *Participant, at time.Duration) Actions {
				return p.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"two durations again", 18400 * time.Millisecond, (*Participant).HandleTimer, Actions{OpenWatch: true}},
			{"it requests the lease", 18500 * time.Millisecond, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"a response", 18500 * time.Millisecond, func(p *Participant, at time.Duration) Actions {
				return p.HandleLeaseResponse(at, lease.Lease{Name: LeaseName, Holder: "n2", Token: 9, Duration: leaseDuration}, false, nil)
			}, Actions{}},
			{"half a duration", 20 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
		},
		"no other holder": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the jitter is over", leaseDuration, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", leaseDuration, func(p *Participant, at time.Duration) Actions { return p.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"the first list", leaseDuration + s/2, (*Participant).HandleWatchedList, Actions{Announce: own(1)}},
			{"a third of the duration", 4 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the renewal", 4 * s, func(p *Participant, at time.Duration) Actions { return p.HandleLeaseResponse(at, grant, true, nil) }, Actions{}},
			{"a change", 4100 * time.Millisecond, (*Participant).HandleWatchedList, Actions{Announce: own(2)}},
			{"the discovery service fails", 5 * s, (*Participant).HandleWatchFailed, Actions{ReleaseLease: true}},
			{"it requests the lease no sooner than others", 6 * s, (*Participant).HandleListWanted, Actions{}},
			{"another has it", 7 * s, announced(foreign(8, 1), false), Actions{}},
			{"its list is fetched within the jitter", 8 * s, (*Participant).HandleTimer, Actions{FetchList: foreign(8, 1)}},
			{"the list", 8 * s, listReceived(foreign(8, 1), true), Actions{}},
		},
		"no voters": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the jitter is over", leaseDuration, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"no response", 4 * s, func(p *Participant, at time.Duration) Actions {
				return p.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("none"))
			}, Actions{}},
			{"alone", 7500 * time.Millisecond, (*Participant).HandleTimer, Actions{OpenWatch: true, RequestLease: true}},
			{"an own list", 7600 * time.Millisecond, (*Participant).HandleWatchedList, Actions{}},
			{"a leader is heard of", 8 * s, announced(foreign(3, 4), false), Actions{CloseWatch: true}},
			{"its list is fetched", 9 * s, (*Participant).HandleTimer, Actions{FetchList: foreign(3, 4)}},
			{"the list", 9 * s, listReceived(foreign(3, 4), true), Actions{}},
			{"the same again", 9 * s, listReceived(foreign(3, 4), false), Actions{}},
			{"an old list", 9 * s, listReceived(foreign(3, 3), false), Actions{}},
		},
		"a stalled leader": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"requests the lease", leaseDuration, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", leaseDuration, func(p *Participant, at time.Duration) Actions { return p.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"the first list", leaseDuration, (*Participant).HandleWatchedList, Actions{Announce: own(1)}},
			{"a list after its lease: it is no longer announced", 9 * s, (*Participant).HandleWatchedList, Actions{CloseWatch: true}},
			{"the next leader", 9 * s, announced(foreign(9, 1), false), Actions{}},
			{"an old leader's announcement", 9 * s, announced(foreign(8, 5), true), Actions{}},
			{"an old leader's list", 9 * s, listReceived(foreign(8, 5), false), Actions{}},
			{"a renewal that was overtaken", 9 * s, func(p *Participant, at time.Duration) Actions {
				p.requests.inFlight = true
				return p.HandleLeaseResponse(at, grant, true, nil)
			}, Actions{}},
		},
		"a list with a server that was never seen from here": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"an announcement", s, announced(foreign(3, 1), false), Actions{}},
			{"the fetch", 2 * s, (*Participant).HandleTimer, Actions{FetchList: foreign(3, 1)}},
			{"an address is missing", 2 * s, (*Participant).HandleUnknownAddress, Actions{OpenWatch: true}},
			{"the own watch's list", 2 * s, (*Participant).HandleWatchedList, Actions{CloseWatch: true}},
			{"the next announcement", 3 * s, announced(foreign(3, 2), false), Actions{}},
			{"its fetch", 4 * s, (*Participant).HandleTimer, Actions{FetchList: foreign(3, 2)}},
		},
		"an announcement whose list does not come": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"an announcement", s, announced(foreign(3, 1), false), Actions{}},
			{"the fetch", 2 * s, (*Participant).HandleTimer, Actions{FetchList: foreign(3, 1)}},
			{"announcements go on", 5 * s, announced(foreign(3, 1), false), Actions{}},
			{"the fetch fails", 9 * s, (*Participant).HandleFetchFailed, Actions{OpenWatch: true, RequestLease: true}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newParticipant()
			for _, st := range steps {
				if d := cmp.Diff(st.want, st.event(p, st.at)); d != "" {
					t.Fatalf("%s, at %v: %s", st.what, st.at, d)
				}
			}
		})
	}
}

// A pooler that the fleet's list does not reach for longer than the bound is outdated and requests no lease, until a list
// comes; one whose build is excluded releases its lease at once.
func TestOutdated(t *testing.T) {
	s := time.Second
	p := newParticipant()
	p.MaxListLag = 10 * s
	p.HandleListWanted(0)
	a := Announcement{Token: 3, Sequence: 1, Holder: "n2", Source: "n2"}
	for at := s; at <= 10*s; at += s {
		p.HandleAnnouncement(at, a)
	}
	if p.Outdated(10 * s) {
		t.Error("outdated within the bound")
	}
	if actions := p.HandleTimer(20 * s); !p.Outdated(20*s) || actions.RequestLease {
		t.Errorf("after the bound: outdated %v, %+v", p.Outdated(20*s), actions)
	}
	if _, ok := p.HandleList(21*s, a); !ok || p.Outdated(21*s) {
		t.Error("still outdated after the list")
	}
	q := newParticipant()
	q.HandleListWanted(0)
	q.HandleTimer(leaseDuration)
	q.HandleLeaseResponse(leaseDuration, lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}, true, nil)
	if actions := q.SetExcluded(leaseDuration, true); !actions.ReleaseLease || !actions.CloseWatch || !q.Outdated(leaseDuration) {
		t.Errorf("excluded: %+v", actions)
	}
	if actions := q.HandleTimer(4 * leaseDuration); actions.RequestLease || !actions.OpenWatch {
		t.Errorf("excluded, no leader heard of: %+v, want its own watch and no request", actions)
	}
	if q.SetExcluded(5*leaseDuration, false); q.Outdated(5 * leaseDuration) {
		t.Error("still outdated")
	}
}

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
		if actions.Announce.Token < w.newest {
			w.t.Fatalf("at %v %s acts by token %d after %d", w.now, n.participant.Name, actions.Announce.Token, w.newest)
		}
		w.newest = actions.Announce.Token
		for _, o := range w.nodes {
			if _, acts := o.participant.Token(w.now); acts && o != n {
				w.t.Fatalf("at %v %s acts while %s may", w.now, n.participant.Name, o.participant.Name)
			}
			if o != n && !o.stalled && rapid.IntRange(0, 3).Draw(w.t, "announcement lost") > 0 {
				next, _ := o.participant.HandleAnnouncement(w.now, actions.Announce)
				w.carryOut(o, next)
			}
		}
	}
	if actions.FetchList.Sequence > 0 {
		if rapid.IntRange(0, 3).Draw(w.t, "fetch lost") == 0 {
			w.carryOut(n, n.participant.HandleFetchFailed(w.now))
			return
		}
		before := n.participant.Installed()
		next, ok := n.participant.HandleList(w.now, actions.FetchList)
		if ok && n.participant.Installed().Before(before) {
			w.t.Fatalf("%s goes back from %v to %v", n.participant.Name, before, n.participant.Installed())
		}
		w.carryOut(n, next)
	}
}

func (w *world) apply(n *node, release bool) (lease.Lease, bool) {
	w.index++
	return w.lessor.Apply(lease.Command{Release: release, Name: LeaseName, Holder: n.participant.Name, Duration: leaseDuration, Now: w.clock.At(w.now)}, w.index, 0)
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
				switch what := rapid.IntRange(0, 60).Draw(t, "event"); {
				case what == 0:
					n.stalled = true
				case what < 10:
					n.stalled = false
				}
				if n.stalled {
					n.listSince = w.now
					continue
				}
				if n.requestInFlight {
					n.requestInFlight = false
					if rapid.IntRange(0, 4).Draw(t, "voters out") == 0 {
						w.carryOut(n, n.participant.HandleLeaseResponse(w.now, lease.Lease{}, false, errors.New("out")))
					} else {
						g, ok := w.apply(n, false)
						w.carryOut(n, n.participant.HandleLeaseResponse(w.now, g, ok, nil))
					}
				}
				switch what := rapid.IntRange(0, 20).Draw(t, "list"); {
				case n.watchOpen && what == 0:
					n.watchOpen = false
					w.carryOut(n, n.participant.HandleWatchFailed(w.now))
					w.carryOut(n, n.participant.HandleListWanted(w.now))
					n.listSince = w.now
				case n.watchOpen && what < 5:
					w.carryOut(n, n.participant.HandleWatchedList(w.now))
				}
				w.carryOut(n, n.participant.HandleTimer(w.now))
				if n.watchOpen || w.now-n.participant.list.lastHeardAt < leaseDuration/2 {
					n.listSince = w.now
				}
				if w.now-n.listSince > n.participant.MaxFallbackDelay()+leaseDuration {
					t.Fatalf("at %v %s has been without a list since %v", w.now, n.participant.Name, n.listSince)
				}
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
