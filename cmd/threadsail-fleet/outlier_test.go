package main

import (
	"testing"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab/judge"
)

// A server fails every statement, for all; the link of one pooler to another server, a good one, passes no answers. All poolers
// eject the first, one among them that has no client and sees nothing, and it ends once the server is
// well; nobody ejects the second. Requests go on all the time. Journals and the stand-ins' ledgers judge.
func TestVerdicts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	rep, _, s := play(t, `{"poolers": 9, "servers": 4, "length_ms": 15000, "seed": 11, "clients": 0, "hot": "0-7", "hot_clients": 2, "rest_ms": 60,
	  "writes": 0.1, "patience_ms": 1500, "roles": true, "work_ms": 8,
	  "fleet": {"stewards": 3, "term_ms": 1200, "zones": 3, "verdicts": true}, "steps": [
		{"at_ms": 3000, "act": "err", "servers": "2", "for_ms": 6000},
		{"at_ms": 3000, "act": "oneway", "poolers": "0", "servers": "3", "for_ms": 6000}]}`)
	begun, ended := map[string]int{}, map[string]int{}
	for _, r := range journals(t, rep) {
		switch r.Act {
		case audit.EjectionBegun:
			begun[r.Server]++
		case audit.EjectionEnded:
			ended[r.Server]++
		}
	}
	if begun["db3"] < s.Poolers || ended["db3"] < s.Poolers {
		t.Errorf("ejections begun %v, ended %v: want db3 at all %d poolers", begun, ended, s.Poolers)
	}
	if begun["db4"] > 0 {
		t.Errorf("db4, to which one link was bad, was ejected %d times", begun["db4"])
	}
	if len(rep.BadServers) != 1 || rep.BadServers[0].Server != "db3" || len(rep.BadServers[0].Statements) == 0 {
		t.Fatalf("bad for all: %+v", rep.BadServers)
	}
	served := 0
	for _, q := range rep.Requests {
		if q.Outcome == judge.Served {
			served++
		}
	}
	there := 0
	for _, n := range rep.BadServers[0].Statements {
		there += n
	}
	t.Logf("%d served; %d statements at db3 while it failed", served, there)
}
