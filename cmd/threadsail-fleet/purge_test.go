package main

import (
	"strings"
	"testing"

	"threadsail/internal/lab/judge"
)

// Eight poolers of two sites keep answers, and an order purges them all. Then their close is moved while one of them is cut off, which
// notes the old close by the plan that it holds; through the new one another is stopped, one killed and started again, and one finds
// its disk full. Each notes each purge once, by its journal, and no client gets an answer that a stand-in made before a purge to a
// request that it sent behind it.
func TestPurgesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	rep, _, s := play(t, `{"poolers": 8, "servers": 2, "length_ms": 18000, "seed": 7, "clients": 2, "rest_ms": 20, "writes": 0.1,
	  "patience_ms": 1500, "roles": true, "fleet": {"stewards": 3, "term_ms": 600, "relays": true, "shared_addresses": true,
	    "purges": {"sites": 2, "rows": 5, "clock_ms": 400, "confirm_ms": 1500, "settle_ms": 100}}, "steps": [
		{"at_ms": 100, "act": "closes", "poolers": "all", "delay_ms": 11500},
		{"at_ms": 2000, "act": "order", "poolers": "3"},
		{"at_ms": 5500, "act": "isolate", "poolers": "5", "for_ms": 7500},
		{"at_ms": 6000, "act": "closes", "poolers": "0-3", "delay_ms": 8500},
		{"at_ms": 11500, "act": "full", "poolers": "4", "for_ms": 4500},
		{"at_ms": 13000, "act": "stop", "poolers": "6", "for_ms": 3000},
		{"at_ms": 13500, "act": "kill", "poolers": "7", "for_ms": 2000}]}`)
	closes := map[string][]judge.Purge{}
	poolers := map[string]int{}
	knew := false                  // all noted the first plan in time, one of them may be cut off before it hears of it on a busy machine
	for _, p := range rep.Purges { // by their instants
		poolers[p.Name] = p.Poolers
		knew = knew || p.Name == "plan 1" && p.InTime == s.Poolers
		if site, ok := strings.CutPrefix(p.Name, "close "); ok {
			site, _, _ = strings.Cut(site, " ")
			closes[site] = append(closes[site], p)
		}
	}
	for _, name := range []string{"plan 1", "plan 2", "order order-1"} {
		if poolers[name] != s.Poolers {
			t.Errorf("%s was noted by %d poolers, want all %d", name, poolers[name], s.Poolers)
		}
	}
	for _, site := range []string{"s0", "s1"} {
		if n := len(closes[site]); n == 0 || closes[site][n-1].Poolers != s.Poolers/2 {
			t.Errorf("closes of %s: %+v, want the last noted by all %d", site, closes[site], s.Poolers/2)
		}
	}
	if knew && len(closes["s1"]) != 2 {
		t.Errorf("closes of the site of which one is cut off: %+v, want the old one too", closes["s1"])
	}
	if rep.ReadsAtServers >= rep.Reads {
		t.Errorf("%d reads served, %d at servers: nothing was answered from a cache", rep.Reads, rep.ReadsAtServers)
	}
}
