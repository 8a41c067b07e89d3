package main

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab"
)

// lags is a quantile of how long after a write's response each pooler's replica showed it, or something newer, in the first 2.4 s.
func lags(lines []documentLine, quantile float64, rep lab.FleetReport) time.Duration {
	var all []int64
	for _, w := range lines {
		if w.Message != putMessage || w.Result != resultOK || w.Ended > rep.BeganAt.Add(2400*time.Millisecond).UnixNano() {
			continue
		}
		first := map[int]int64{}
		for _, c := range lines {
			if _, seen := first[c.Pooler]; c.Message == replicaMessage && c.Version >= w.Version && !seen {
				first[c.Pooler] = max(c.Began-w.Ended, 0)
			}
		}
		for _, lag := range first {
			all = append(all, lag)
		}
	}
	if len(all) == 0 {
		return -1
	}
	slices.Sort(all)
	return time.Duration(all[int(quantile*float64(len(all)-1))]).Round(time.Millisecond)
}

// Six poolers on three machines, three of them voters, write one document at once while each voter's disk fills up in turn and
// has room again, another pooler's disk is full for longer, and a machine with a voter drops. No request is lost; reads and
// writes are linearizable; each replica only ever shows what was written, and ends on the newest; the leader's writes come in the
// order of their tokens; whoever could not write says so, and that it can again.
func TestSharedUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts six processes")
	}
	env := []string{"THREADSAIL_TEST_WRITER=1"}
	rep, logs, _ := playLogs(t, `{"poolers": 6, "servers": 2, "length_ms": 13000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3, "machines": 3,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 900, "relays": true}, "steps": [
		{"at_ms": 2500, "act": "full", "poolers": "4", "for_ms": 5500},
		{"at_ms": 2500, "act": "full", "poolers": "0", "for_ms": 1200},
		{"at_ms": 4500, "act": "full", "poolers": "1", "for_ms": 1200},
		{"at_ms": 6500, "act": "full", "poolers": "2", "for_ms": 1200},
		{"at_ms": 8500, "act": "machine", "poolers": "0", "for_ms": 1500}]}`, env, env, env, env, env, env)
	lines := parse[documentLine](logs)
	written := judgeRegister(t, lines)
	if len(written.values) == 0 || len(written.tokens) == 0 || rep.Served == 0 { // how many is the disk's affair
		t.Errorf("%d writes, %d of the leader's, %d requests served: the history is idle", len(written.values), len(written.tokens), rep.Served)
	}
	t.Logf("a write is in a replica: %v at the median, %v at the 99th percentile, before the first fault", lags(lines, 0.5, rep), lags(lines, 0.99, rep))
	checkReplicas(t, rep.Poolers, lines, written.values)
	checkDiskMessages(t, lines)
	gap := func(r audit.Record) bool {
		return r.Act == audit.RecordsDropped && strings.HasPrefix(r.Instance, "n5/")
	}
	if !slices.ContainsFunc(journals(t, rep), gap) {
		t.Error("n5's journal does not tell of its gap")
	}
}

// checkReplicas checks that each replica shows only what was written, and ends on one of the newest versions.
func checkReplicas(t *testing.T, poolers int, lines []documentLine, values map[uint64]string) {
	t.Helper()
	newest := map[int]uint64{}
	for _, l := range lines {
		if l.Message != replicaMessage || l.Version == 0 {
			continue
		}
		if want, ok := values[l.Version]; ok && want != l.Value {
			t.Errorf("pooler %d shows %q as version %d, which is %q", l.Pooler, l.Value, l.Version, want)
		}
		newest[l.Pooler] = max(newest[l.Pooler], l.Version)
	}
	last := slices.Max(append(slices.Collect(maps.Keys(values)), 0))
	for i := range poolers {
		behind := 0
		for v := range values {
			if v > newest[i] {
				behind++
			}
		}
		if behind > max(len(values)/4, 4) {
			t.Errorf("pooler %d ends on version %d of %d, %d writes behind", i, newest[i], last, behind)
		}
	}
}

// checkDiskMessages checks that each pooler whose disk was full logged so, and that it can write again.
func checkDiskMessages(t *testing.T, lines []documentLine) {
	t.Helper()
	logged := func(pooler int, text string) bool {
		return slices.ContainsFunc(lines, func(l documentLine) bool { return l.Pooler == pooler && strings.Contains(l.Message, text) })
	}
	full := 0
	for i := range 3 { // a voter that has nothing to write meanwhile, on a machine that is very busy, notices nothing
		failed, recovered := logged(i, "voter: log can't be written"), logged(i, "voter: log can be written again")
		if failed != recovered {
			t.Errorf("voter %d logs that it can't write: %v; that it can again: %v", i, failed, recovered)
		}
		if failed {
			full++
		}
	}
	if full == 0 {
		t.Error("no voter's log was full")
	}
	for _, text := range []string{"replica can't be written", "replica can be written to disk again", "acts can't be written", "acts are written again"} {
		if !logged(4, text) {
			t.Errorf("pooler 4 never logs: %s", text)
		}
	}
}
