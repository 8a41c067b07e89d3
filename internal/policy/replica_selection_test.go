package policy

import (
	"testing"
	"time"
)

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

// In a jam the primary of a large fleet takes reads that no replica has room for while it answers in good time itself,
// whatever the replicas do.
func TestFallbackUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		primary, all float64
		sent         bool
	}{{1, 1, true}, {1, 3, true}, {3, 1, false}} {
		f := newHostWithPrimary(t, withPoolers(400))
		p := f.server(1)
		p.latency.ratio, p.latency.measuredAt, f.router.overall.latencyRatio = c.primary, f.now, c.all
		f.router.withdraw(f.server(2), Draining)
		f.router.withdraw(f.server(3), Draining)
		f.sendRequest(2, classAny)
		f.advanceTo(f.now + 200*ms)
		if sent := len(f.attempts[2]) > 0; sent != c.sent {
			t.Errorf("%+v: sent to the primary %v", c, sent)
		}
	}
}

// Eighty fronts with a read each, and then with another while that is out: each replica is the home of as many, and what a
// home has no time for goes to the others alike. Lagging replicas draw nobody elsewhere.
func TestHomesSpreadReadsEvenly(t *testing.T) {
	const fronts = 80
	first, second := map[uint32]int{}, map[uint32]int{}
	for me := range fronts {
		f := newHost(t, func(s *Settings) { s.Poolers, s.PoolerIndex = fronts, me })
		f.router.HandleList(f.now, ListFull, memberList(5, 1))
		f.probeAnswered(1, true, f.now)
		f.probeAnswered(2, false, f.now-time.Second)
		f.sendRequest(10, classAny)
		f.endAttempt(10, 0, OK, RoleReplica)
		f.sendRequest(11, classAny)
		if f.attempts[11][0] != f.attempts[10][0] {
			t.Fatalf("front %d: reads at %d and %d, want its home again", me, f.attempts[10][0], f.attempts[11][0])
		}
		f.sendRequest(12, classAny)
		first[f.attempts[11][0]]++
		second[f.attempts[12][0]]++
	}
	for id := uint32(2); id <= 5; id++ {
		for place, n := range map[string]int{"home": first[id], "second": second[id]} {
			if n < 17 || n > 21 { // balance.Slack of the mean
				t.Errorf("replica %d is the %s of %d fronts, want about 20", id, place, n)
			}
		}
	}
}

// When one replica of a group is replaced, or hands its place to the primary, the fronts whose home it was move, and few
// others: each that moves dials a server anew.
func TestFewHomesMove(t *testing.T) {
	const fronts = 80
	for name, change := range map[string]func(f *fakeHost){
		"replaced": func(f *fakeHost) {
			list := memberList(5, 1)
			list[4].ID = 6
			f.router.HandleList(f.now, ListFull, list)
		},
		"promoted": func(f *fakeHost) {
			f.now += time.Second
			f.probeAnswered(1, false, f.now)
			f.probeAnswered(5, true, f.now)
		},
	} {
		moved, own := 0, 0
		for me := range fronts {
			f := newHost(t, func(s *Settings) { s.Poolers, s.PoolerIndex = fronts, me })
			f.router.HandleList(f.now, ListFull, memberList(5, 1))
			f.probeAnswered(1, true, f.now)
			f.sendRequest(10, classAny)
			f.endAttempt(10, 0, OK, RoleReplica)
			change(f)
			f.sendRequest(11, classAny)
			if home := f.attempts[10][0]; home != f.attempts[11][0] {
				if moved++; home == 5 {
					own++
				}
			}
		}
		if own == 0 || moved > own+fronts/4+fronts/20 { // the new one's share, and one in twenty
			t.Errorf("%s: %d of %d fronts have another home, %d of them had the one that left", name, moved, fronts, own)
		}
	}
}

func TestReadsTakeTurns(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 8; id++ {
		f.sendRequest(id, classAny)
	}
	count := map[uint32]int{}
	for _, s := range f.attempts {
		count[s[0]]++
	}
	if count[1] != 0 || count[2] != 3 || count[3] != 3 {
		t.Fatalf("reads by store %v, want three for each replica", count)
	}
}

// If all look bad those that can be reached keep serving; a dead store is no way out although it holds least.
func TestNoFallbackToUnreachable(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.groups[7].primary = nil
	f.server(1).ejection.ejected, f.server(1).health.unreachable = true, true
	f.server(2).ejection.ejected, f.server(3).ejection.ejected = true, true
	f.server(2).ejection.nextTrialAt, f.server(3).ejection.nextTrialAt = startTime+time.Hour, startTime+time.Hour
	f.server(3).health.unreachable = true
	f.sendRequest(2, classAny)
	f.advanceTo(startTime + 300*ms)
	if len(f.attempts[2]) != 1 || f.attempts[2][0] != 2 {
		t.Fatalf("sent to %v, want store 2", f.attempts[2])
	}
}
