package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/lab"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/scenario"
)

// TestMain has the test's own binary be the program.
func TestMain(m *testing.M) {
	if os.Getenv("THREADSAIL_TEST_RUN") != "" {
		version = os.Getenv("THREADSAIL_TEST_BUILD")
		fmt.Fprintf(os.Stderr, "{\"message\":%q}\n", processBegins)
		if os.Getenv("THREADSAIL_TEST_WRITER") != "" {
			testComponents = append(testComponents, component{Component: documentWriter{}})
		}
		main()
		return
	}
	os.Exit(m.Run())
}

// processBegins is a process's first log line.
const processBegins = "test: the process begins"

// play plays a scenario, with the builds of the first poolers, and returns what their logs say of the leader's lease.
func play(t *testing.T, text string, builds ...string) (lab.FleetReport, []leaseLine, scenario.Scenario) {
	t.Helper()
	var env [][]string
	for _, build := range builds {
		env = append(env, []string{"THREADSAIL_TEST_BUILD=" + build})
	}
	rep, logs, s := playLogs(t, text, env...)
	return rep, parse[leaseLine](logs), s
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

// parse decodes log lines; one that is no JSON is left out.
func parse[L any](logs string) (out []L) {
	for text := range strings.Lines(logs) {
		var l L
		if json.Unmarshal([]byte(text), &l) == nil {
			out = append(out, l)
		}
	}
	return out
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

// servedRequests counts the requests served, by pooler.
func servedRequests(rep lab.FleetReport) (reads, writes map[int]int) {
	reads, writes = map[int]int{}, map[int]int{}
	for _, q := range rep.Requests {
		switch {
		case q.Outcome != judge.Served:
		case q.Write:
			writes[q.Pooler]++
		default:
			reads[q.Pooler]++
		}
	}
	return reads, writes
}
