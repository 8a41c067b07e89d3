package main

import (
	"testing"
	"time"
)

// Six poolers on three machines, a voter on each, before two clusters; the first half of one's keys moves to the other and back,
// again and again, while one pooler is held up on the way to the servers for longer than a fence. Whoever takes a move on is killed
// in each of its states, or its machine drops, or it is stalled before its last copy; routers are stalled, killed and started again
// from their old copies, cut off from the others and from the servers' answers; a voter's disk is full. What clients were told of
// each row is what one copy of it could have told, though servers take writes of any epoch, and no attempt of a request overlaps
// another.
func TestMovesUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts six processes")
	}
	rep, _, _ := play(t, `{"poolers": 6, "machines": 3, "servers": 4, "groups": 2, "roles": true, "length_ms": 14000, "seed": 7, "clients": 3,
	  "hot": "2", "hot_clients": 12, "rest_ms": 10, "writes": 0.5, "patience_ms": 2500,
	  "fleet": {"stewards": 3, "term_ms": 600, "relays": true, "shards": {"keys": 24, "lenient": true, "faults": [
		{"move": 2, "on": "prepared", "act": "kill", "poolers": "mover", "for_ms": 700},
		{"move": 2, "on": "copy", "act": "stop", "poolers": "5", "for_ms": 1000},
		{"move": 3, "on": "copy", "act": "machine", "poolers": "mover", "for_ms": 700},
		{"move": 3, "on": "finish", "act": "kill", "poolers": "4", "for_ms": 300},
		{"move": 3, "on": "close", "act": "kill", "poolers": "mover", "for_ms": 700},
		{"move": 4, "on": "copy", "act": "full", "poolers": "1", "for_ms": 1500},
		{"move": 4, "on": "fence", "act": "kill", "poolers": "mover", "for_ms": 700},
		{"move": 5, "on": "copy", "act": "isolate", "poolers": "4", "for_ms": 1500},
		{"move": 5, "on": "copy", "act": "oneway", "poolers": "3", "for_ms": 400},
		{"move": 5, "on": "finish", "act": "stop", "poolers": "mover", "for_ms": 1500}]}}, "steps": [
		{"at_ms": 1500, "act": "delay", "poolers": "2", "servers": "all", "delay_ms": 400, "for_ms": 3000},
		{"at_ms": 1800, "act": "reshard", "poolers": "all"}, {"at_ms": 4000, "act": "reshard", "poolers": "all"},
		{"at_ms": 6200, "act": "reshard", "poolers": "all"}, {"at_ms": 8400, "act": "reshard", "poolers": "all"},
		{"at_ms": 10600, "act": "reshard", "poolers": "all"}]}`)
	if rep.Refused == 0 || rep.Shards.Rows < 500 || rep.Shards.Moved == 0 {
		t.Errorf("%d refused of %d, %d moves came to their end: the moves met no traffic", rep.Refused, rep.Shards.Rows, rep.Shards.Moved)
	}
	t.Logf("longest time without a write of the moving range: %v", rep.Shards.LongestPause.Round(time.Millisecond))
}
