package main

import (
	"maps"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"threadsail/internal/lab/judge"
)

// The log lines that tell of the leader's lease.
const (
	leaseHeldMessage     = "lease: held"
	listAnnouncedMessage = "list: handed on"
	listInstalledMessage = "list: taken from the fleet"
)

// leaseLine is a line of a pooler's log, what it says of the leader's lease.
type leaseLine struct {
	Pooler  int
	Message string
	Token   uint64
	Seq     uint64
	Holder  string
	Began   int64 `json:"began_ns"`
	Ended   int64 `json:"ended_ns"`
	At      int64 `json:"at_ns"`
	Until   int64 `json:"until_ns"`
}

// fence is a register that takes only tokens not older than the newest: histories of actions are checked against it.
var fence = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(uint64) >= state.(uint64), input },
}

// leadership is a lease as its holder used it: from its first grant until it could not act any more, in Unix time in ns.
type leadership struct {
	holder      string
	token       uint64
	from, until int64
}

// leaderships are those that the logs tell of, in their order.
func leaderships(lines []leaseLine) []leadership {
	var all []leadership
	for _, l := range lines {
		if l.Message != leaseHeldMessage {
			continue
		}
		if n := len(all); n > 0 && all[n-1].token == l.Token {
			all[n-1].until = max(all[n-1].until, l.Until)
			continue
		}
		all = append(all, leadership{l.Holder, l.Token, l.At, l.Until})
	}
	return all
}

// judgeHistory checks what the poolers did with leases: no two may act at once, and no action or list of an older token comes
// after one of a newer.
func judgeHistory(t *testing.T, lines []leaseLine) {
	t.Helper()
	var announced []porcupine.Operation
	installed := map[int][]porcupine.Operation{}
	for _, l := range lines {
		switch l.Message {
		case listAnnouncedMessage:
			announced = append(announced, porcupine.Operation{ClientId: l.Pooler, Input: l.Token, Call: l.Began, Return: l.Ended})
		case listInstalledMessage:
			installed[l.Pooler] = append(installed[l.Pooler], porcupine.Operation{ClientId: l.Pooler, Input: l.Token, Call: l.At, Return: l.At})
		}
	}
	if !porcupine.CheckOperations(fence, announced) {
		t.Error("an announcement of an older lease came after one of a newer")
	}
	for i, operations := range installed {
		if !porcupine.CheckOperations(fence, operations) {
			t.Errorf("pooler %d took a list of an older lease after one of a newer", i)
		}
	}
	all := leaderships(lines)
	logHandovers(t, all, lines)
	checkExclusive(t, all)
	if len(all) == 0 || len(announced) == 0 || len(installed) == 0 {
		t.Errorf("%d leases, %d announcements, %d poolers that took a list: the history is idle", len(all), len(announced), len(installed))
	}
}

// logHandovers logs how long each handover took.
func logHandovers(t *testing.T, all []leadership, lines []leaseLine) {
	t.Helper()
	for i, l := range all[:max(len(all)-1, 0)] {
		lastAction := l.from
		for _, line := range lines {
			if line.Token == l.token && line.Message == listAnnouncedMessage {
				lastAction = max(lastAction, line.Ended)
			}
		}
		next := all[i+1]
		t.Logf("handover from %s to %s: %v after the last action, %v after the lease's end", l.holder, next.holder,
			time.Duration(next.from-lastAction).Round(time.Millisecond), time.Duration(next.from-l.until).Round(time.Millisecond))
	}
}

// checkExclusive checks that no two leaderships overlap.
func checkExclusive(t *testing.T, all []leadership) {
	t.Helper()
	for i, a := range all {
		for _, b := range all[i+1:] {
			if a.from < b.until && b.from < a.until {
				t.Errorf("%s may act by token %d while %s may by %d", a.holder, a.token, b.holder, b.token)
			}
		}
	}
}

// Six poolers, three of them voters, with a relay on each link between two: whoever leads is stalled for
// twice its lease, later killed, and later cut off from all others while the servers change; then all links between
// poolers are slow. No request is lost, one pooler acts at a time, no list goes back, and all learn of the new server.
func TestLeaseUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts six processes")
	}
	rep, lines, s := play(t, `{"poolers": 6, "servers": 2, "length_ms": 19000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 900, "relays": true}, "steps": [
		{"at_ms": 3000, "act": "stop", "poolers": "holder", "for_ms": 1800},
		{"at_ms": 7000, "act": "kill", "poolers": "holder", "for_ms": 1000},
		{"at_ms": 11000, "act": "isolate", "poolers": "holder", "for_ms": 4000},
		{"at_ms": 14000, "act": "replace", "servers": "1"},
		{"at_ms": 15500, "act": "lag", "poolers": "all", "delay_ms": 30, "jitter_ms": 30, "for_ms": 2000}]}`)
	judgeHistory(t, lines)
	if n := len(leaderships(lines)); n < 3 {
		t.Errorf("%d leases, want one more after each of the leader's ends", n)
	}
	for i, met := range rep.Contacted {
		if !met[1] {
			t.Errorf("pooler %d never heard of the new server", i)
		}
	}
	reads, writes := servedRequests(rep)
	maps.Copy(writes, reads)
	if len(writes) != s.Poolers {
		t.Errorf("%d poolers served, want all %d", len(writes), s.Poolers)
	}
}

// Without a quorum of voters every pooler serves and watches the discovery service as if it were alone.
func TestLostQuorum(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	rep, lines, s := play(t, `{"poolers": 4, "servers": 2, "length_ms": 8000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 600, "relays": true}, "steps": [
		{"at_ms": 0, "act": "isolate", "poolers": "0,3"}, {"at_ms": 0, "act": "isolate", "poolers": "1,3"}, {"at_ms": 0, "act": "isolate", "poolers": "2,3"},
		{"at_ms": 5000, "act": "replace", "servers": "1"}]}`)
	if n := len(leaderships(lines)); n > 1 { // one may have been granted before the cut
		t.Errorf("%d leases without a quorum", n)
	}
	if rep.ListRequests < s.Poolers {
		t.Errorf("%d calls of the discovery service, want each pooler's own", rep.ListRequests)
	}
	for i, met := range rep.Contacted {
		if !met[1] {
			t.Errorf("pooler %d never heard of the new server", i)
		}
	}
}

// Twelve poolers lose their primary for four seconds. With the fleet's components the leader alone repeats the all-member
// rounds and announces what it finds; without them each does. Both find the new primary and lose no request. A pooler of so
// large a fleet repeats rounds only while requests wait for the primary: its clients are so many that some write always does.
func TestSharedRounds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve processes, twice")
	}
	probes := map[string]int{}
	for name, fleet := range map[string]string{"alone": "", "fleet": `"fleet": {"stewards": 3, "term_ms": 900},`} {
		rep, lines, s := play(t, `{"poolers": 12, "servers": 4, "length_ms": 12000, "seed": 7, "clients": 6, "rest_ms": 160, "writes": 0.5,
		  "patience_ms": 1500, "roles": true, "work_ms": 5, `+fleet+` "steps": [
			{"at_ms": 4000, "act": "down", "servers": "0"}, {"at_ms": 8000, "act": "promote", "servers": "1"}]}`)
		for _, n := range rep.ProbesBySecond[5:8] { // steady pings are shared by all fronts anyway
			probes[name] += n
		}
		announced := 0
		for _, l := range lines {
			if l.Message == "primary: told" {
				announced++
			}
		}
		if (announced > 0) != (fleet != "") {
			t.Errorf("%s: the leader announced %d rounds", name, announced)
		}
		wrote := map[int]bool{}
		for _, q := range rep.Requests {
			if q.Write && q.Outcome == judge.Served && q.BeganAt.Sub(rep.BeganAt) > 8*time.Second {
				wrote[q.Pooler] = true
			}
		}
		if len(wrote) != s.Poolers {
			t.Errorf("%s: %d poolers write to the new primary, want all %d", name, len(wrote), s.Poolers)
		}
	}
	if probes["fleet"] > probes["alone"]/2 {
		t.Errorf("probes %v: sharing saves less than half", probes)
	}
	t.Logf("probes in the last three seconds without a primary: %v", probes)
}
