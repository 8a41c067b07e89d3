package rules

import (
	"math"
	"testing"
	"time"
)

// All fronts of a large fleet turn to a cold store together, after they have left it unused for a while: what they send within
// the span that the settings name stays near what they may. Each would have saved up a request, several times that in all.
func TestColdStoreIsNotSavedUpFor(t *testing.T) {
	for _, fronts := range []int{60, 300} {
		for _, idle := range []time.Duration{0, time.Second, 4 * time.Second, 10 * time.Second} {
			sends, may := 0, 0.0
			for seed := uint64(1); seed <= uint64(fronts); seed++ {
				f := withPrimary(t, func(s *Settings) {
					s.Balancers, s.ColdFrom, s.ColdFor, s.ColdMultiple = fronts, 0.18, 18*time.Second, 2.5
				})
				f.r.rng, f.r.mean[cAny] = seed*7919, 25*ms
				f.r.List(f.now, ListDelta, []Member{{Store: 2, Group: 7, State: Ready, Started: f.now}})
				f.until(f.now + idle)
				f.r.List(f.now, ListDelta, []Member{{Store: 3, Group: 7, State: Draining}, {Store: 1, Group: 7, State: Draining}})
				may = f.r.set.ColdMultiple * f.r.warmth(f.r.stores[2]) * coldCores * float64(time.Second/(25*ms))
				from := f.now
				for id := uint32(10); f.now < from+f.r.set.ColdSpan; id++ {
					f.request(id, cAny)
					f.until(f.now + 100*ms)
					for n, s := range f.sends[id] {
						if s == 2 {
							sends++
						}
						f.outcome(id, n, OK, RoleReplica)
					}
				}
			}
			t.Logf("%d fronts after %v: %d sends, %.0f may be sent, falls beyond %.0f", fronts, idle, sends, may, may+3*math.Sqrt(may)+3)
			if most := may + 3*math.Sqrt(may) + 3; float64(sends) > most {
				t.Errorf("%d fronts after %v: %d sends, the store falls at %.0f", fronts, idle, sends, most)
			}
		}
	}
}
