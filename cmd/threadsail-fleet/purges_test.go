package main

import (
	"strings"
	"testing"
)

// Eight poolers of two sites keep answers. An order purges them all; then one of them is stopped through the close, one cut off,
// one killed and started again, and one finds its disk full. Each notes each purge once, by its journal, and no client gets an answer that a stand-in made
// before a purge to a request that it sent behind it.
func TestPurgesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	rep, _, s := play(t, `{"poolers": 8, "servers": 2, "length_ms": 17000, "seed": 7, "clients": 2, "rest_ms": 20, "writes": 0.1,
	  "patience_ms": 1500, "roles": true, "fleet": {"stewards": 3, "term_ms": 600, "relays": true, "shared_addresses": true,
	    "purges": {"sites": 2, "rows": 5, "clock_ms": 400, "confirm_ms": 1500, "settle_ms": 100}}, "steps": [
		{"at_ms": 300, "act": "closes", "poolers": "all", "delay_ms": 12000},
		{"at_ms": 2000, "act": "order", "poolers": "3"},
		{"at_ms": 9500, "act": "full", "poolers": "4", "for_ms": 4500},
		{"at_ms": 10000, "act": "isolate", "poolers": "5", "for_ms": 5000},
		{"at_ms": 10500, "act": "stop", "poolers": "6", "for_ms": 3500},
		{"at_ms": 11000, "act": "kill", "poolers": "7", "for_ms": 2500}]}`)
	want := map[string]int{"plan 1": s.Poolers, "order order-1": s.Poolers, "close s0": s.Poolers / 2, "close s1": s.Poolers / 2}
	for _, p := range rep.Purges {
		for name, poolers := range want {
			if strings.HasPrefix(p.Name, name) {
				if delete(want, name); p.Poolers != poolers {
					t.Errorf("%s was noted by %d poolers, want %d", p.Name, p.Poolers, poolers)
				}
			}
		}
	}
	if len(want) > 0 {
		t.Errorf("never noted: %v", want)
	}
	if rep.ReadsAtServers >= rep.Reads {
		t.Errorf("%d reads served, %d at servers: nothing was answered from a cache", rep.Reads, rep.ReadsAtServers)
	}
}
