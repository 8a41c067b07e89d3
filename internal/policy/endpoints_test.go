package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The recorded primary leaves the list. It gets nothing after the grace; what is under way there ends as it would; writes
// wait for a member that says it is primary, and try out no other one, however long that lasts.
func TestPrimaryLeavesTheList(t *testing.T) {
	for name, readded := range map[string]uint32{"for good": 0, "and is added again in time": 1, "and comes under another name": 9} {
		t.Run(name, func(t *testing.T) {
			f := newHostWithPrimary(t, nil)
			f.sendRequest(2, classByKey)
			f.wantAction("attempt 2 1")
			f.router.HandleList(f.now, ListDelta, []Member{newMember(1, Removed, 0)})
			f.advanceTo(f.now + 200*ms)
			f.probeAnswered(1, true, f.now)
			if readded > 0 {
				f.router.HandleList(f.now, ListDelta, []Member{newMember(readded, Ready, 0)})
			}
			next := uint32(10)
			for ; f.now < startTime+5*time.Second; next++ { // all that stays listed says it is a replica
				f.advanceTo(f.now + 50*ms)
				for s := uint32(1); s <= 3; s++ {
					f.probeAnswered(s, s == 1, f.now)
				}
				f.sendRequest(next, classByKey)
				last := f.now >= startTime+500*ms
				for _, s := range f.attempts[next] {
					if s != 1 || last && readded != 1 {
						t.Fatalf("%v after the news a write goes to store %d", f.now-startTime, s)
					}
				}
				if readded == 1 && len(f.attempts[next]) == 0 {
					t.Fatalf("%v after the news a write waits", f.now-startTime)
				}
				for i := range f.attempts[next] {
					f.endAttempt(next, i, OK, RoleUnknown)
				}
			}
			f.endAttempt(2, 0, OK, RoleUnknown)
			f.wantNoAction("refuse 2")
			f.wantNoAction("fail 2")
			if readded != 1 { // the next primary shows itself
				s := max(readded, 2)
				f.probeAnswered(s, true, f.now)
				f.wantAction(fmt.Sprintf("attempt %d %d", next-1, s))
			}
		})
	}
}

// Eighty fronts that start at once, and whose calls of the list service all fail after 2 s: what the service gets in any second
// is near what it can bear, and each front is back in time. A small fleet asks at once.
func TestListPollsAreSpread(t *testing.T) {
	seeds := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ fronts, inASecond int }{{1, 1}, {80, 36}} { // twice the even rate for first calls, half as many more by chance
		var calls []time.Duration
		for me := range c.fronts {
			f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
			set := testSettings()
			set.Poolers, set.PoolerIndex, set.PollList, set.MaxPollInterval = c.fronts, me, true, 10*time.Second
			f.router, _ = New(set, seeds.Uint64(), f)
			f.router.HandleList(f.now, ListCached, memberList(3, 1))
			called := startTime - 10*time.Second
			for f.now < startTime+20*time.Second {
				f.actions = nil
				f.advanceTo(f.now + 10*ms)
				if f.hasAction("watch") {
					if f.now > called+20*time.Second {
						t.Fatalf("front %d: no call for %v", me, f.now-called)
					}
					calls, called = append(calls, f.now), f.now
					f.advanceTo(f.now + 2*time.Second)
					f.router.HandleList(f.now, ListFailed, nil)
				}
			}
		}
		slices.Sort(calls)
		most := 0
		for i, at := range calls {
			n, _ := slices.BinarySearch(calls, at+time.Second)
			most = max(most, n-i)
		}
		if most > c.inASecond {
			t.Errorf("%d fronts: %d calls in a second, want %d at most", c.fronts, most, c.inASecond)
		}
	}
}

// A send that takes longer than the margin must be chosen so much earlier in a drain's grace.
func TestSendDuration(t *testing.T) {
	for _, c := range []struct{ takes, before time.Duration }{{0, sendMargin}, {20 * ms, sendMargin}, {180 * ms, 180 * ms}} {
		f := newHostWithPrimary(t, nil)
		f.router.SetSendDuration(c.takes)
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 1, Group: 7, State: Draining}})
		edge := startTime + 500*ms - c.before - 5*ms
		f.advanceTo(edge - ms)
		f.sendRequest(10, classNotIdempotent)
		f.wantAction("attempt 10 1")
		f.advanceTo(edge)
		f.sendRequest(11, classNotIdempotent)
		f.wantNoAction("attempt 11 1")
		if f.router.MayStillSend(f.now, 10, 0) {
			t.Errorf("sends take %v: one still fits %v before the grace ends", c.takes, c.before)
		}
	}
}

func TestDrainGracePeriod(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 1, Group: 7, State: Draining}, {ID: 2, Group: 7, State: Draining}})
	for id := uint32(2); id < 6; id++ {
		f.sendRequest(id, classAny)
		if s := f.attempts[id]; len(s) > 0 && s[0] != 3 {
			t.Fatalf("a read went to draining store %d", s[0])
		}
	}
	edge := startTime + 500*ms - sendMargin - 5*ms
	f.advanceTo(edge - ms)
	f.probeAnswered(1, true, f.now)
	f.sendRequest(10, classNotIdempotent)
	f.wantAction("attempt 10 1")
	f.advanceTo(edge + ms)
	f.probeAnswered(1, true, f.now)
	f.sendRequest(11, classNotIdempotent)
	f.advanceTo(startTime + 1500*ms)
	f.wantNoAction("attempt 11 1")
}

func TestFailedListIsPolledAgain(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.PollList, s.MaxPollInterval = true, 6*time.Second })
	f.advanceTo(startTime + ms)
	f.wantAction("watch")
	last := f.now
	for i := 0; i < 6; i++ {
		f.actions = nil
		f.router.HandleList(f.now, ListFailed, nil)
		for !f.hasAction("watch") && f.now < last+10*time.Second {
			f.advanceTo(f.now + 10*ms)
		}
		if f.now-last > 3*time.Second+20*ms {
			t.Fatalf("asked again only after %v", f.now-last)
		}
		last = f.now
	}
	if len(f.router.groups[7].members) != 3 {
		t.Fatal("the old list was not kept")
	}
}

// A store that has left must be forgotten, or a long life holds every store there ever was. One that comes back within
// that time keeps its state.
func TestRemovedServerIsForgotten(t *testing.T) {
	f := newHost(t, nil)
	gone := []Member{{ID: 2, Group: 7, State: Removed}, {ID: 3, Group: 7, State: Removed}}
	f.router.HandleList(f.now, ListDelta, gone)
	f.advanceTo(f.now + removedServerRetention/2)
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 3, Group: 7, State: Ready}})
	f.advanceTo(f.now + removedServerRetention)
	if len(f.router.servers.byID) != 2 || len(f.router.servers.ordered) != 2 || f.server(2) != nil {
		t.Errorf("%d stores are known, want 1 and 3", len(f.router.servers.byID))
	}
}
