package main

import (
	"testing"

	"threadsail/internal/lab/judge"
)

// Eight poolers before three servers want several times what limits let pass, one of them on a server that has just started. Whoever allocates is stalled, killed and cut off,
// and a voter's process is down for a while. Clients and stand-ins tell that no limit was exceeded by more than its bound,
// that what is not reserved was used, and that nothing was lost.
func TestLimitsUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	rep, lines, s := play(t, `{"poolers": 8, "servers": 3, "length_ms": 12000, "seed": 5, "clients": 3, "rest_ms": 10, "writes": 0.1, "roles": true,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 900, "relays": true, "limits": {"revision": 1, "list": [
		{"name": "all", "on": "requests", "rate": 200, "burst": 20, "reserve": 0.3},
		{"name": "dials", "on": "connections", "rate": 20, "burst": 4, "reserve": 0.4},
		{"name": "warm", "on": "cold", "rate": 20, "burst": 4, "reserve": 0.5}]}}, "steps": [
		{"at_ms": 1500, "act": "replace", "servers": "2"},
		{"at_ms": 2500, "act": "stop", "poolers": "dealer", "for_ms": 1300},
		{"at_ms": 5500, "act": "kill", "poolers": "dealer", "for_ms": 800},
		{"at_ms": 8500, "act": "isolate", "poolers": "dealer", "for_ms": 2000}]}`)
	dealt := map[uint64]bool{}
	for _, l := range lines {
		if l.Message == "quota: this pooler allocates from now on" {
			dealt[l.Token] = true
		}
	}
	if len(dealt) < 2 {
		t.Errorf("%d poolers dealt, want more after the dealer's ends", len(dealt))
	}
	if len(rep.LimitUse) != 3 || rep.LimitUse[2].Used == 0 {
		t.Errorf("judged %+v, want three limits", rep.LimitUse)
	}
	served := map[int]int{}
	for _, q := range rep.Requests {
		if q.Outcome == judge.Served {
			served[q.Pooler]++
		}
	}
	for i := range s.Poolers {
		if served[i] == 0 {
			t.Errorf("pooler %d served nothing", i)
		}
	}
	// The safe shares alone let 60 a second pass, and their bursts 8 at once.
	most := 0
	for _, c := range rep.Seconds {
		most = max(most, c.Served)
	}
	if most < 100 || rep.Refused == 0 {
		t.Errorf("%d served in the best second and %d refused: no slice was in force, or no limit", most, rep.Refused)
	}
}
