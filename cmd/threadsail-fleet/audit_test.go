package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/audit"
)

// A pooler whose build the operators exclude serves reads, refuses every write, holds no lease and says so in its
// journal; the others are as before.
func TestOldBuildIsShutOut(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	rep, lines, s := play(t, `{"poolers": 4, "servers": 2, "length_ms": 5000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.5,
	  "patience_ms": 1500, "roles": true, "fleet": {"stewards": 3, "term_ms": 600, "least_build": "v2.0.0"}}`, "v2.0.0", "v2.0.0", "v2.1.0", "v1.9.9")
	read, wrote := servedRequests(rep)
	for i := range s.Poolers {
		if old := i == 3; read[i] == 0 || (wrote[i] == 0) != old {
			t.Errorf("pooler %d served %d writes and %d reads", i, wrote[i], read[i])
		}
	}
	if rep.Refused == 0 {
		t.Error("no write was refused")
	}
	for _, l := range leaderships(lines) {
		if strings.HasPrefix(l.holder, "n4/") {
			t.Errorf("the old build held a lease: %+v", l)
		}
	}
	shut := map[string]bool{}
	for _, r := range journals(t, rep) {
		if r.Act == audit.WritesBarred {
			shut[r.Instance[:2]] = true
		}
	}
	if len(shut) != 1 || !shut["n4"] {
		t.Errorf("shut out: %v, want n4 alone", shut)
	}
}

// firstListAfterRestart returns how long after its start the last process of a pooler took its first list, and whether it took
// one. The records are those of the whole fleet by time; an instance's name begins with its pooler's.
func firstListAfterRestart(records []audit.Record, pooler string) (after time.Duration, ok bool) {
	var started audit.Record
	for _, r := range records {
		switch {
		case !strings.HasPrefix(r.Instance, pooler):
		case r.Act == audit.Started:
			started, ok = r, false
		case !ok && r.Instance == started.Instance && r.Token > 0 && (r.Act == audit.ListApplied || r.Act == audit.ListAnnounced):
			after, ok = time.Duration(r.At-started.At), true
		}
	}
	return after, ok
}

// A pooler is cut off from the others while a server is replaced and the configuration of all but that one changes
// (SIGHUP), and joins again; another, which may be the leader, is killed while it writes. The audit of their journals finds the
// one straggler, that it was brought up once it was back, and no act by an old token; no journal has a torn record.
func TestAudit(t *testing.T) {
	if testing.Short() {
		t.Skip("starts five processes")
	}
	rep, _, _ := play(t, `{"poolers": 5, "servers": 3, "length_ms": 16000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3,
	  "patience_ms": 1500, "roles": true, "fleet": {"stewards": 3, "term_ms": 900, "relays": true, "shared_addresses": true}, "steps": [
		{"at_ms": 3000, "act": "isolate", "poolers": "4", "for_ms": 7000},
		{"at_ms": 3000, "act": "nolist", "poolers": "4", "for_ms": 7000},
		{"at_ms": 4000, "act": "replace", "servers": "2"},
		{"at_ms": 5000, "act": "retune", "poolers": "0-3"},
		{"at_ms": 6000, "act": "kill", "poolers": "3", "for_ms": 500},
		{"at_ms": 13000, "act": "retune", "poolers": "4"}]}`)
	const grace = 3 * time.Second
	found := audit.Merge(journals(t, rep), audit.Limits{Grace: grace})
	if len(found.OldTokens) > 0 {
		t.Errorf("acts by old tokens: %+v", found.OldTokens)
	}
	behind := map[string]bool{}
	for _, s := range found.Stragglers {
		t.Logf("%+v", s)
		if !strings.HasPrefix(s.Instance, "n5/") || s.To == 0 {
			t.Errorf("%s is behind in its %s from %d to %d: want the one cut off alone, and brought up", s.Instance, s.Subject, s.From, s.To)
		}
		behind[s.Subject] = true
	}
	if after, ok := firstListAfterRestart(found.Records, "n4/"); !ok || after > grace {
		t.Errorf("the process started behind the kill took a list: %v, after %v; want one within %v", ok, after, grace)
	}
	acts := map[audit.Act][]string{}
	for _, r := range journals(t, rep) {
		acts[r.Act] = append(acts[r.Act], r.Instance[:2])
	}
	if shut, up := acts[audit.WritesBarred], acts[audit.WritesRestored]; len(shut) == 0 || len(up) == 0 || slices.ContainsFunc(append(shut, up...), func(n string) bool { return n != "n5" }) {
		t.Errorf("shut out %v, brought up %v: want n5 alone, by its configuration", shut, up)
	}
	if !behind["list"] || !behind["config"] {
		t.Errorf("behind in %v, want list and configuration", behind)
	}
}
