package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/scenario"
)

// TestMain lets the test's own binary stand for the program.
func TestMain(m *testing.M) {
	if os.Getenv("THREADSAIL_TEST_RUN") != "" {
		version = os.Getenv("THREADSAIL_TEST_BUILD")
		fmt.Fprintf(os.Stderr, "{\"message\":%q}\n", processBegins)
		if os.Getenv("THREADSAIL_TEST_SCRIBE") != "" {
			testComponents = append(testComponents, component{Component: scribe{}})
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// processBegins is a process's first log line.
const processBegins = "test: the process begins"

// line is a line of a pooler's log, what it tells of the list duty.
type line struct {
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

func play(t *testing.T, text string, builds ...string) (lab.FleetReport, []line, scenario.Scenario) {
	t.Helper()
	var env [][]string
	for _, build := range builds {
		env = append(env, []string{"THREADSAIL_TEST_BUILD=" + build})
	}
	rep, logs, s := playLogs(t, text, env...)
	return rep, parse[line](logs), s
}

// playLogs plays a scenario, with further environment of the first poolers, and returns all poolers' logs.
func playLogs(t *testing.T, text string, env ...[]string) (lab.FleetReport, string, scenario.Scenario) {
	t.Helper()
	s, err := scenario.Parse("scenario.json", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var logs bytes.Buffer
	rep := lab.Fleet{Scenario: s, Logs: &logs, Command: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "serve", "--log-level", "debug")
		cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1")
		return cmd
	}, Env: func(i int) []string {
		if i < len(env) {
			return env[i]
		}
		return nil
	}, Progress: func(line string) { t.Log(line) }}.Run(t)
	var table strings.Builder
	rep.Table(&table)
	t.Log("\n" + table.String())
	for _, b := range rep.Broken {
		t.Error(b)
	}
	return rep, logs.String(), s
}

// parse reads log lines; one that is no JSON is left out.
func parse[L any](logs string) (out []L) {
	for text := range strings.Lines(logs) {
		var l L
		if json.Unmarshal([]byte(text), &l) == nil {
			out = append(out, l)
		}
	}
	return out
}

// fence is a register that only takes tokens not older than the newest: histories of acts are checked against it.
var fence = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) { return input.(uint64) >= state.(uint64), input },
}

// tenure is a lease as its holder used it: from its first grant until it could not act any more.
type tenure struct {
	holder      string
	token       uint64
	from, until int64
}

func tenures(lines []line) []tenure {
	var out []tenure
	for _, l := range lines {
		if l.Message != "lease: held" {
			continue
		}
		if n := len(out); n > 0 && out[n-1].token == l.Token {
			out[n-1].until = max(out[n-1].until, l.Until)
			continue
		}
		out = append(out, tenure{l.Holder, l.Token, l.At, l.Until})
	}
	return out
}

// judgeHistory checks what the poolers did with leases: no two may act at once, and no act or list of an older token comes
// after one of a newer.
func judgeHistory(t *testing.T, lines []line) {
	t.Helper()
	var acts []porcupine.Operation
	taken := map[int][]porcupine.Operation{}
	for _, l := range lines {
		switch l.Message {
		case "list: handed on":
			acts = append(acts, porcupine.Operation{ClientId: l.Pooler, Input: l.Token, Call: l.Began, Return: l.Ended})
		case "list: taken from the fleet":
			taken[l.Pooler] = append(taken[l.Pooler], porcupine.Operation{ClientId: l.Pooler, Input: l.Token, Call: l.At, Return: l.At})
		}
	}
	if !porcupine.CheckOperations(fence, acts) {
		t.Error("an act of an older lease came after one of a newer")
	}
	for i, ops := range taken {
		if !porcupine.CheckOperations(fence, ops) {
			t.Errorf("pooler %d took a list of an older lease after one of a newer", i)
		}
	}
	ends := tenures(lines)
	for i, a := range ends[:max(len(ends)-1, 0)] {
		last := a.from
		for _, l := range lines {
			if l.Token == a.token && l.Message == "list: handed on" {
				last = max(last, l.Ended)
			}
		}
		t.Logf("hand-over from %s to %s: %v after the last act, %v after the lease's end", a.holder, ends[i+1].holder,
			time.Duration(ends[i+1].from-last).Round(time.Millisecond), time.Duration(ends[i+1].from-a.until).Round(time.Millisecond))
	}
	for i, a := range ends {
		for _, b := range ends[i+1:] {
			if a.from < b.until && b.from < a.until {
				t.Errorf("%s may act by token %d while %s may by %d", a.holder, a.token, b.holder, b.token)
			}
		}
	}
	if len(ends) == 0 || len(acts) == 0 || len(taken) == 0 {
		t.Errorf("%d leases, %d acts, %d poolers that took a list: the history is idle", len(ends), len(acts), len(taken))
	}
}

// Six poolers, three of them stewards, with a relay on each link between two: whoever holds the list duty is stalled for
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
	if n := len(tenures(lines)); n < 3 {
		t.Errorf("%d leases, want one more after each of the holder's ends", n)
	}
	for i, met := range rep.Met {
		if !met[1] {
			t.Errorf("pooler %d never heard of the new server", i)
		}
	}
	served := map[int]int{}
	for _, q := range rep.Requests {
		if q.Outcome == judge.Served {
			served[q.Pooler]++
		}
	}
	if len(served) != s.Poolers {
		t.Errorf("%d poolers served, want all %d", len(served), s.Poolers)
	}
}

// Without a quorum of stewards every pooler serves and watches the list service as if it were alone.
func TestLostQuorum(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	rep, lines, s := play(t, `{"poolers": 4, "servers": 2, "length_ms": 8000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 600, "relays": true}, "steps": [
		{"at_ms": 0, "act": "isolate", "poolers": "0,3"}, {"at_ms": 0, "act": "isolate", "poolers": "1,3"}, {"at_ms": 0, "act": "isolate", "poolers": "2,3"},
		{"at_ms": 5000, "act": "replace", "servers": "1"}]}`)
	if n := len(tenures(lines)); n > 1 { // one may have been given before the cut
		t.Errorf("%d leases without a quorum", n)
	}
	if rep.ListCalls < s.Poolers {
		t.Errorf("%d list calls, want each pooler's own", rep.ListCalls)
	}
	for i, met := range rep.Met {
		if !met[1] {
			t.Errorf("pooler %d never heard of the new server", i)
		}
	}
}

// Twelve poolers lose their primary for four seconds. With the fleet's parts the holder alone repeats the all-member rounds
// and tells the others what it finds; without them each does. Both find the new primary and lose no request.
func TestSharedRounds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve processes, twice")
	}
	probes := map[string]int{}
	for name, fleet := range map[string]string{"alone": "", "fleet": `"fleet": {"stewards": 3, "term_ms": 900},`} {
		rep, lines, s := play(t, `{"poolers": 12, "servers": 4, "length_ms": 12000, "seed": 7, "clients": 2, "rest_ms": 40, "writes": 0.3,
		  "patience_ms": 1500, "roles": true, "work_ms": 5, `+fleet+` "steps": [
			{"at_ms": 4000, "act": "down", "servers": "0"}, {"at_ms": 8000, "act": "promote", "servers": "1"}]}`)
		for _, n := range rep.ProbesBySecond[5:8] { // steady pings are shared by all fronts anyway
			probes[name] += n
		}
		told := 0
		for _, l := range lines {
			if l.Message == "primary: told" {
				told++
			}
		}
		if (told > 0) != (fleet != "") {
			t.Errorf("%s: the holder told of %d rounds", name, told)
		}
		wrote := map[int]bool{}
		for _, q := range rep.Requests {
			if q.Write && q.Outcome == judge.Served && q.Began.Sub(rep.Began) > 8*time.Second {
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

// journals reads the poolers' journals, which must be whole.
func journals(t *testing.T, rep lab.FleetReport) (records []audit.Record) {
	t.Helper()
	for _, name := range rep.Journals {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		more, problems := audit.Parse(name, text)
		if len(problems) > 0 || len(more) == 0 {
			t.Errorf("%d acts, %v", len(more), problems)
		}
		records = append(records, more...)
	}
	return records
}

// A pooler whose build the operators allow no more serves reads, refuses every write, holds no lease and says so in its
// journal; the others do as ever.
func TestOldBuildIsShutOut(t *testing.T) {
	if testing.Short() {
		t.Skip("starts four processes")
	}
	rep, lines, s := play(t, `{"poolers": 4, "servers": 2, "length_ms": 5000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.5,
	  "patience_ms": 1500, "roles": true, "fleet": {"stewards": 3, "term_ms": 600, "least_build": "v2.0.0"}}`, "v2.0.0", "v2.0.0", "v2.1.0", "v1.9.9")
	wrote, read := map[int]int{}, map[int]int{}
	for _, q := range rep.Requests {
		switch {
		case q.Outcome != judge.Served:
		case q.Write:
			wrote[q.Pooler]++
		default:
			read[q.Pooler]++
		}
	}
	for i := range s.Poolers {
		if old := i == 3; read[i] == 0 || (wrote[i] == 0) != old {
			t.Errorf("pooler %d served %d writes and %d reads", i, wrote[i], read[i])
		}
	}
	if rep.Refused == 0 {
		t.Error("no write was refused")
	}
	for _, l := range tenures(lines) {
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

// A pooler is cut off from the others while a server is replaced and the configuration of all but that one changes
// (SIGHUP), and joins again; another is killed while it writes. The audit of their journals finds the one straggler, that
// it was brought up once it was back, and no act by an old token; no journal has a torn record.
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
	found := audit.Merge(journals(t, rep), audit.Limits{Grace: 3 * time.Second})
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
