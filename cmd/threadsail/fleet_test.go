package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"threadsail/internal/lab"
	"threadsail/internal/lab/judge"
	"threadsail/internal/lab/scenario"
)

// Twelve processes of the pooler before three servers: four are cut off from the primary, one is killed and started
// again, one stalls, the links of four others are slow, two others' links to a replica are reset, the primary hands over
// to a replica, a replica is replaced under a new name, and half of the poolers move to new list services. Every request of a
// pooler that was up must have its one final answer in time, and no attempt may overlap another of the same request.
// Timings are not judged.
func TestFleetUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts twelve processes")
	}
	path := filepath.Join(t.TempDir(), "scenario.json")
	text := `{"poolers": 12, "servers": 3, "length_ms": 12000, "seed": 7, "clients": 2, "rest_ms": 40, "writes": 0.3,
	  "patience_ms": 1500, "steps": [
		{"at_ms": 1500, "act": "cut", "poolers": "0-3", "servers": "0", "for_ms": 3000},
		{"at_ms": 2500, "act": "kill", "poolers": "5", "for_ms": 2000},
		{"at_ms": 3000, "act": "stop", "poolers": "7", "for_ms": 1500},
		{"at_ms": 5000, "act": "delay", "poolers": "8-11", "servers": "all", "delay_ms": 20, "jitter_ms": 20, "for_ms": 2000},
		{"at_ms": 6000, "act": "reset", "poolers": "4,6", "servers": "1", "for_ms": 1000},
		{"at_ms": 8000, "act": "promote", "servers": "1"},
		{"at_ms": 9000, "act": "replace", "servers": "2"},
		{"at_ms": 10000, "act": "move", "poolers": "0-5"}]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	var logs bytes.Buffer
	rep := lab.Fleet{Scenario: s, Logs: &logs, Command: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "serve")
		cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1")
		return cmd
	}, Progress: func(line string) { t.Log(line) }}.Run(t)
	var table strings.Builder
	rep.Table(&table)
	t.Log("\n" + table.String())
	for _, b := range rep.Broken {
		t.Error(b)
	}
	if rep.Starts != 13 {
		t.Errorf("%d starts, want 13", rep.Starts)
	}
	checkServedAfterRestart(t, rep, 5)
	if strings.Count(logs.String(), `"pooler":5,`) == 0 {
		t.Error("no log of the restarted pooler")
	}
	if rep.ListRequests < 12+6 {
		t.Errorf("%d list calls, want the moved poolers at their new list services", rep.ListRequests)
	}
}

// checkServedAfterRestart checks that a pooler that was killed served again.
func checkServedAfterRestart(t *testing.T, rep lab.FleetReport, pooler int) {
	t.Helper()
	var back time.Time // when it was up again
	for _, o := range rep.Outages {
		if o.Pooler == pooler {
			back = o.To
		}
	}
	served := 0
	for _, q := range rep.Requests {
		if q.Pooler == pooler && q.Outcome == judge.Served && q.BeganAt.After(back) {
			served++
		}
	}
	if back.IsZero() || served == 0 {
		t.Errorf("the killed pooler served %d after its restart at %v", served, back)
	}
}

// silent stands for a broken pooler: it says where it listens, as the pooler does, takes connections and answers nothing.
func silent() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Fprintf(os.Stderr, "{\"front\":\"postgres\",\"addr\":%q}\n", ln.Addr().String())
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(1)
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
}

// The judge is not idle: poolers that answer nothing lose every request.
func TestFleetJudgesSilence(t *testing.T) {
	s, err := scenario.Parse("silent.json", []byte(`{"poolers": 2, "servers": 1, "length_ms": 500, "patience_ms": 100}`))
	if err != nil {
		t.Fatal(err)
	}
	rep := lab.Fleet{Scenario: s, Command: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "serve")
		cmd.Env = append(os.Environ(), "THREADSAIL_TEST_SILENT=1")
		return cmd
	}}.Run(t)
	if rep.Lost == 0 || rep.Served+rep.Refused+rep.Failed != 0 || len(rep.Broken) == 0 {
		t.Errorf("lost %d, answered %d, broken %q: want all lost", rep.Lost, rep.Served+rep.Refused+rep.Failed, rep.Broken)
	}
}

// Lists are pushed, replicas follow the log, and reports stop it: servers drain while poolers serve, while one starts and
// after their lists have moved. Nothing may come to them long after the grace; how long exactly is not judged here.
func TestFleetOfPushedLists(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s, err := scenario.Parse("scenario", []byte(`{"poolers": 2, "servers": 6, "length_ms": 9000, "seed": 7, "clients": 4, "rest_ms": 30,
	  "writes": 0.1, "unkeyed": true, "work_ms": 5, "patience_ms": 1500, "push": true, "grace_ms": 250,
	  "log": {"wait_ms": 50, "bound_ms": 300, "reports": 0.1, "report_ms": 400}, "steps": [
		{"at_ms": 1000, "act": "drain", "servers": "1"},
		{"at_ms": 1000, "act": "kill", "poolers": "0", "for_ms": 300},
		{"at_ms": 3500, "act": "move", "poolers": "1"},
		{"at_ms": 4000, "act": "drain", "servers": "2"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	rep := lab.Fleet{Scenario: s, Command: func() *exec.Cmd {
		cmd := exec.Command(os.Args[0], "serve")
		cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1")
		return cmd
	}, Progress: func(line string) { t.Log(line) }}.Run(t)
	var table strings.Builder
	rep.Table(&table)
	t.Log("\n" + table.String())
	for _, b := range rep.Broken {
		t.Error(b)
	}
	if len(rep.Drained) != 2 || rep.Served == 0 {
		t.Errorf("%d servers drained, %d requests served", len(rep.Drained), rep.Served)
	}
	for _, d := range rep.Drained {
		if d.Last > s.DrainGracePeriod+3*time.Second {
			t.Errorf("a statement came to %s %v after the news", d.Server, d.Last)
		}
	}
}
