package policy

import (
	"fmt"
	"testing"
	"time"
)

func newMember(s uint32, state MemberState, weight int) Member {
	return Member{ID: s, Group: 7, State: state, ReadWeight: weight}
}

// Reads by turns follow the weights, also while some are under way; a member of weight 0 gets none, and those that a read
// can't use lose their turns to the others by weight.
func TestReadsByWeight(t *testing.T) {
	for name, c := range map[string]struct {
		weights map[uint32]int
		stale   uint32 // a replica that is too far behind
		open    int    // reads under way
		want    map[uint32]float64
	}{
		"1:2:5":              {map[uint32]int{2: 1, 3: 2, 4: 5}, 0, 0, map[uint32]float64{2: 1. / 8, 3: 2. / 8, 4: 5. / 8}},
		"1:2:5, under way":   {map[uint32]int{2: 1, 3: 2, 4: 5}, 0, 3, map[uint32]float64{2: 1. / 8, 3: 2. / 8, 4: 5. / 8}},
		"none for one":       {map[uint32]int{2: NoReads, 3: 2, 4: 2}, 0, 2, map[uint32]float64{3: 1. / 2, 4: 1. / 2}},
		"none for all":       {map[uint32]int{2: NoReads, 3: NoReads, 4: NoReads}, 0, 0, map[uint32]float64{1: 1}},
		"the heaviest stale": {map[uint32]int{2: 1, 3: 2, 4: 5}, 4, 0, map[uint32]float64{2: 1. / 3, 3: 2. / 3}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHostWithPrimary(t, nil)
			var list []Member
			for s := uint32(1); s <= 4; s++ {
				list = append(list, newMember(s, Ready, c.weights[s]))
			}
			f.router.HandleList(f.now, ListFull, list)
			const reads = 2000
			count := map[uint32]int{}
			for id := uint32(10); id < 10+reads; id++ {
				f.advanceTo(f.now + 10*ms)
				for s := uint32(1); s <= 4; s++ {
					pos := f.now
					if s == c.stale {
						pos -= time.Hour
					}
					f.probeAnswered(s, s == 1, pos)
				}
				f.sendRequest(id, classBounded)
				if len(f.attempts[id]) != 1 {
					t.Fatalf("read %d is sent %v", id, f.attempts[id])
				}
				count[f.attempts[id][0]]++
				if done := id - uint32(c.open); done >= 10 {
					f.endAttempt(done, 0, OK, RoleUnknown)
				}
			}
			for s := uint32(1); s <= 4; s++ {
				if got := float64(count[s]) / reads; got < 0.95*c.want[s] || got > 1.05*c.want[s] {
					t.Errorf("reads by store %v, want shares %v", count, c.want)
				}
			}
		})
	}
}

// A member of weight 0 is as fit for primary as any.
func TestNoReadsYetPrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleList(f.now, ListDelta, []Member{newMember(2, Ready, NoReads)})
	f.probeAnswered(1, false, f.now)
	f.advanceTo(f.now + 200*ms)
	f.probeAnswered(2, true, f.now)
	f.sendRequest(2, classByKey)
	f.wantAction("attempt 2 2")
}

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

// A client that cancels its request, or leaves, says nothing of the server: neither its speed nor its failures move, and no
// retry is spent, however long the attempt was out.
func TestClientsCancelSaysNothing(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classByKey)
	f.wantAction("attempt 2 1")
	s := f.server(1)
	slow, all, fails, retry, mean := s.latency.ratio, f.router.overall.latencyRatio, s.ejection.failureRate, f.router.retryBudget, f.router.estimates.classes[classByKey].meanLatency
	f.advanceTo(f.now + 1200*ms)
	f.probeAnswered(1, true, f.now)
	f.router.HandleDisconnect(f.now, 2)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if s.latency.ratio != slow || f.router.overall.latencyRatio != all || s.ejection.failureRate != fails || f.router.retryBudget != retry || f.router.estimates.classes[classByKey].meanLatency != mean || s.ejection.ejected {
		t.Errorf("slowness %v and %v, failures %v, retries %v, mean %v", s.latency.ratio, f.router.overall.latencyRatio, s.ejection.failureRate, f.router.retryBudget, f.router.estimates.classes[classByKey].meanLatency)
	}
}
