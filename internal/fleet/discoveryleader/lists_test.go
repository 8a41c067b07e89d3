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

const term = 3 * time.Second

func lists() *Participant {
	return &Participant{Name: "n1", LeaseDuration: term, MaxClockDrift: 100 * time.Millisecond, JitterFraction: 0.5, PoolerCount: 10}
}

// One pooler's life, event by event: what it does at each.
func TestLists(t *testing.T) {
	s := time.Second
	grant := lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: term}
	mine := func(seq uint64) Announcement {
		return Announcement{Token: 7, Sequence: seq, Holder: "n1", Source: "n1"}
	}
	theirs := func(token, seq uint64) Announcement {
		return Announcement{Token: token, Sequence: seq, Holder: "n2", Source: "n2"}
	}
	type step struct {
		what string
		at   time.Duration
		do   func(l *Participant, at time.Duration) Actions
		want Actions
	}
	heard := func(w Announcement, refused bool) func(l *Participant, at time.Duration) Actions {
		return func(l *Participant, at time.Duration) Actions {
			do, got := l.HandleAnnouncement(at, w)
			if got != refused {
				t.Errorf("%v: refused %v, want %v", w, got, refused)
			}
			return do
		}
	}
	took := func(w Announcement, ok bool) func(l *Participant, at time.Duration) Actions {
		return func(l *Participant, at time.Duration) Actions {
			do, got := l.HandleList(at, w)
			if got != ok {
				t.Errorf("list %v: taken %v, want %v", w, got, ok)
			}
			return do
		}
	}
	for name, steps := range map[string][]step{
		"the stewards hear it, and it does not hear them": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the spread is over", term, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", term, func(l *Participant, at time.Duration) Actions { return l.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"a third of the term", 4 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"no answer", 4750 * time.Millisecond, func(l *Participant, at time.Duration) Actions {
				return l.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"again", 5 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease has run out", 5900 * time.Millisecond, (*Participant).HandleTimer, Actions{CloseWatch: true}},
			{"no answer again", 6 * s, func(l *Participant, at time.Duration) Actions {
				return l.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"others have two terms", 11800 * time.Millisecond, (*Participant).HandleTimer, Actions{}},
			{"it asks again", 11900 * time.Millisecond, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"silence still", 12500 * time.Millisecond, func(l *Participant, at time.Duration) Actions {
				return l.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("silent"))
			}, Actions{}},
			{"two terms again", 18400 * time.Millisecond, (*Participant).HandleTimer, Actions{OpenWatch: true}},
			{"it asks", 18500 * time.Millisecond, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"an answer", 18500 * time.Millisecond, func(l *Participant, at time.Duration) Actions {
				return l.HandleLeaseResponse(at, lease.Lease{Name: LeaseName, Holder: "n2", Token: 9, Duration: term}, false, nil)
			}, Actions{}},
			{"half a term", 20 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
		},
		"nobody holds it": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the spread is over", term, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", term, func(l *Participant, at time.Duration) Actions { return l.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"the first list", term + s/2, (*Participant).HandleWatchedList, Actions{Announce: mine(1)}},
			{"a third of the term", 4 * s, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the renewal", 4 * s, func(l *Participant, at time.Duration) Actions { return l.HandleLeaseResponse(at, grant, true, nil) }, Actions{}},
			{"a change", 4100 * time.Millisecond, (*Participant).HandleWatchedList, Actions{Announce: mine(2)}},
			{"the list service is gone", 5 * s, (*Participant).HandleWatchFailed, Actions{ReleaseLease: true}},
			{"it asks again no sooner than others", 6 * s, (*Participant).HandleListWanted, Actions{}},
			{"another has it", 7 * s, heard(theirs(8, 1), false), Actions{}},
			{"its list is fetched within the spread", 8 * s, (*Participant).HandleTimer, Actions{FetchList: theirs(8, 1)}},
			{"the list", 8 * s, took(theirs(8, 1), true), Actions{}},
		},
		"no stewards": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"the spread is over", term, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"no answer", 4 * s, func(l *Participant, at time.Duration) Actions {
				return l.HandleLeaseResponse(at, lease.Lease{}, false, errors.New("none"))
			}, Actions{}},
			{"alone", 7500 * time.Millisecond, (*Participant).HandleTimer, Actions{OpenWatch: true, RequestLease: true}},
			{"an own list", 7600 * time.Millisecond, (*Participant).HandleWatchedList, Actions{}},
			{"a holder is heard", 8 * s, heard(theirs(3, 4), false), Actions{CloseWatch: true}},
			{"its list is fetched", 9 * s, (*Participant).HandleTimer, Actions{FetchList: theirs(3, 4)}},
			{"the list", 9 * s, took(theirs(3, 4), true), Actions{}},
			{"the same again", 9 * s, took(theirs(3, 4), false), Actions{}},
			{"an old list", 9 * s, took(theirs(3, 3), false), Actions{}},
		},
		"a stalled holder": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"asks", term, (*Participant).HandleTimer, Actions{RequestLease: true}},
			{"the lease", term, func(l *Participant, at time.Duration) Actions { return l.HandleLeaseResponse(at, grant, true, nil) }, Actions{OpenWatch: true}},
			{"the first list", term, (*Participant).HandleWatchedList, Actions{Announce: mine(1)}},
			{"a list after its term: it is no longer handed on", 9 * s, (*Participant).HandleWatchedList, Actions{CloseWatch: true}},
			{"the next holder", 9 * s, heard(theirs(9, 1), false), Actions{}},
			{"an old one's word", 9 * s, heard(theirs(8, 5), true), Actions{}},
			{"an old one's list", 9 * s, took(theirs(8, 5), false), Actions{}},
			{"a renewal that was overtaken", 9 * s, func(l *Participant, at time.Duration) Actions {
				l.requestInFlight = true
				return l.HandleLeaseResponse(at, grant, true, nil)
			}, Actions{}},
		},
		"a list with a server that was never seen from here": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"a word", s, heard(theirs(3, 1), false), Actions{}},
			{"the fetch", 2 * s, (*Participant).HandleTimer, Actions{FetchList: theirs(3, 1)}},
			{"an address is missing", 2 * s, (*Participant).HandleUnknownAddress, Actions{OpenWatch: true}},
			{"the own call's answer", 2 * s, (*Participant).HandleWatchedList, Actions{CloseWatch: true}},
			{"the next word", 3 * s, heard(theirs(3, 2), false), Actions{}},
			{"its fetch", 4 * s, (*Participant).HandleTimer, Actions{FetchList: theirs(3, 2)}},
		},
		"a word whose list does not come": {
			{"the start", 0, (*Participant).HandleListWanted, Actions{}},
			{"a word", s, heard(theirs(3, 1), false), Actions{}},
			{"the fetch", 2 * s, (*Participant).HandleTimer, Actions{FetchList: theirs(3, 1)}},
			{"words go on", 5 * s, heard(theirs(3, 1), false), Actions{}},
			{"the fetch fails", 9 * s, (*Participant).HandleFetchFailed, Actions{OpenWatch: true, RequestLease: true}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := lists()
			for _, st := range steps {
				if d := cmp.Diff(st.want, st.do(l, st.at)); d != "" {
					t.Fatalf("%s, at %v: %s", st.what, st.at, d)
				}
			}
		})
	}
}

// A pooler that the fleet's list does not reach for longer than the bound is shut out and asks for no lease, until a list
// comes; one whose build is barred gives its lease up at once.
func TestShutOut(t *testing.T) {
	s := time.Second
	l := lists()
	l.MaxListLag = 10 * s
	l.HandleListWanted(0)
	w := Announcement{Token: 3, Sequence: 1, Holder: "n2", Source: "n2"}
	for at := s; at <= 10*s; at += s {
		l.HandleAnnouncement(at, w)
	}
	if l.Outdated(10 * s) {
		t.Error("shut out within the bound")
	}
	if do := l.HandleTimer(20 * s); !l.Outdated(20*s) || do.RequestLease {
		t.Errorf("after the bound: shut out %v, %+v", l.Outdated(20*s), do)
	}
	if _, ok := l.HandleList(21*s, w); !ok || l.Outdated(21*s) {
		t.Error("not brought up by the list")
	}
	h := lists()
	h.HandleListWanted(0)
	h.HandleTimer(term)
	h.HandleLeaseResponse(term, lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: term}, true, nil)
	if do := h.SetExcluded(term, true); !do.ReleaseLease || !do.CloseWatch || !h.Outdated(term) {
		t.Errorf("barred: %+v", do)
	}
	if do := h.HandleTimer(4 * term); do.RequestLease || !do.OpenWatch {
		t.Errorf("barred, no holder heard: %+v, want its own call and no ask", do)
	}
	if h.SetExcluded(5*term, false); h.Outdated(5 * term) {
		t.Error("still shut out")
	}
}

// world is a fleet of Lists around one table, in simulated time, with words and asks that get lost.
type world struct {
	t      *rapid.T
	table  lease.Lessor
	clock  lease.Clock
	index  uint64
	now    time.Duration
	nodes  []*node
	newest uint64 // token of the newest act
	acting string
}

type node struct {
	l       *Participant
	id      string
	open    bool
	asked   bool // an ask is under way
	stalled bool
	last    Announcement // the last one told or in force
	want    time.Duration
}

func (w *world) do(n *node, do Actions) {
	if do.CloseWatch {
		n.open = false
	}
	if do.ReleaseLease {
		w.apply(n, true)
	}
	if do.OpenWatch {
		n.open = true
	}
	if do.RequestLease {
		n.asked = true
	}
	if do.Announce.Token > 0 {
		if do.Announce.Token < w.newest {
			w.t.Fatalf("at %v %s acts by token %d after %d", w.now, n.id, do.Announce.Token, w.newest)
		}
		w.newest = do.Announce.Token
		for _, o := range w.nodes {
			if _, acts := o.l.Token(w.now); acts && o != n {
				w.t.Fatalf("at %v %s acts while %s may", w.now, n.id, o.id)
			}
			if o != n && !o.stalled && rapid.IntRange(0, 3).Draw(w.t, "word lost") > 0 {
				next, _ := o.l.HandleAnnouncement(w.now, do.Announce)
				w.do(o, next)
			}
		}
	}
	if do.FetchList.Sequence > 0 {
		if rapid.IntRange(0, 3).Draw(w.t, "fetch lost") == 0 {
			w.do(n, n.l.HandleFetchFailed(w.now))
			return
		}
		before := n.l.Installed()
		next, ok := n.l.HandleList(w.now, do.FetchList)
		if ok && n.l.Installed().Before(before) {
			w.t.Fatalf("%s goes back from %v to %v", n.id, before, n.l.Installed())
		}
		w.do(n, next)
	}
}

func (w *world) apply(n *node, release bool) (lease.Lease, bool) {
	w.index++
	return w.table.Apply(lease.Command{Release: release, Name: LeaseName, Holder: n.id, Duration: term, Now: w.clock.At(w.now)}, w.index, 0)
}

// Whatever is lost and whoever stalls: one holder acts at a time, tokens and lists never go back, and nobody who wants the
// list is without a watch or a holder's word for longer than AloneAfter, but for a stall.
func TestOneListPoller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, table: lease.Lessor{MaxClockDrift: 100 * time.Millisecond}}
		for i := range rapid.IntRange(2, 5).Draw(t, "poolers") {
			l := lists()
			l.Name, l.JitterFraction = fmt.Sprint("n", i), float64(i)/5
			n := &node{l: l, id: l.Name}
			w.nodes = append(w.nodes, n)
			w.do(n, l.HandleListWanted(0))
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
					n.want = w.now
					continue
				}
				if n.asked {
					n.asked = false
					if rapid.IntRange(0, 4).Draw(t, "stewards out") == 0 {
						w.do(n, n.l.HandleLeaseResponse(w.now, lease.Lease{}, false, errors.New("out")))
					} else {
						g, ok := w.apply(n, false)
						w.do(n, n.l.HandleLeaseResponse(w.now, g, ok, nil))
					}
				}
				switch what := rapid.IntRange(0, 20).Draw(t, "list"); {
				case n.open && what == 0:
					n.open = false
					w.do(n, n.l.HandleWatchFailed(w.now))
					w.do(n, n.l.HandleListWanted(w.now))
					n.want = w.now
				case n.open && what < 5:
					w.do(n, n.l.HandleWatchedList(w.now))
				}
				w.do(n, n.l.HandleTimer(w.now))
				if n.open || w.now-n.l.lastHeardAt < term/2 {
					n.want = w.now
				}
				if w.now-n.want > n.l.MaxFallbackDelay()+term {
					t.Fatalf("at %v %s has been without a list since %v", w.now, n.id, n.want)
				}
			}
		}
	})
}

// A pooler that follows alone asks for no lease, whatever it does not hear; without a word it calls the list service itself.
func TestFollower(t *testing.T) {
	l := Participant{Name: "n", LeaseDuration: time.Second, JitterFraction: 0.5, FollowOnly: true}
	opened := false
	for now, do := time.Duration(0), l.HandleListWanted(0); now < 10*time.Second; do = l.HandleTimer(now) {
		if do.RequestLease {
			t.Fatalf("it asks after %v", now)
		}
		if do.OpenWatch && now > l.MaxFallbackDelay() {
			t.Errorf("alone after %v, want %v at the most", now, l.MaxFallbackDelay())
		}
		opened = opened || do.OpenWatch
		now = l.NextTimerAt(now)
	}
	if !opened {
		t.Error("it never calls the list service")
	}
}
