package main

import (
	"context"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/lab/scalepooler"
)

// All parts at tiny sizes: each gives its rows, which a record takes. Structure is judged, and counts that the rules fix; no timing.
func TestScalePooler(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	m := scalepooler.Measurement{Parts: scalepooler.Parts, Plays: 1, Clients: []int{0, 20}, Servers: []int{4, 12}, Askers: []int{2}, Balancers: []int{5, 5000},
		Rate: 50, Groups: 4, Own: 2, Window: 500 * time.Millisecond, Settle: 200 * time.Millisecond, Idle: 200 * time.Millisecond, Work: time.Millisecond,
		Listeners: 2, Progress: func(line string) { t.Log(line) }, Command: func() *exec.Cmd {
			cmd := exec.Command(os.Args[0], "serve")
			cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1")
			return cmd
		}}
	rows, err := m.Run(t.Context(), t)
	if err != nil {
		t.Fatal(err)
	}
	if err := (capacity.Run{Name: "tiny", Rows: rows}).Save(t.TempDir()); err != nil {
		t.Error(err)
	}
	find := func(phase, figure string, size int) float64 {
		i := slices.IndexFunc(rows, func(r capacity.Row) bool {
			return r.Phase == phase && r.Figure == figure && r.Size == size && r.Kind == "pooler" && r.Plays == 1
		})
		if i < 0 {
			t.Errorf("no row of %s, %s at %d", phase, figure, size)
			return -1
		}
		return rows[i].Median
	}
	for _, want := range []struct {
		phase, figure string
		size          int
		least, most   float64
	}{{"empty", "rss", 1, 1 << 20, 1 << 30}, {"resting", "rss", 20, 1 << 20, 1 << 30}, {"busy", "rss", 20, 1 << 20, 1 << 30}, {"busy", "requests_open", 20, 20, 20},
		{"startup", "startup", 12, 0, 1e9}, {"startup", "list_taken", 12, 0, 1e9}, {"startup", "list_bytes", 12, 12 * 80, 13 * 130}, {"rest", "cpu", 4, 0, 1e9},
		{"delta", "cpu", 12, 0, 1e9}, {"whole_list", "list_taken", 12, 0, 1e9}, {"reads_2_clients_4_servers", "cpu_each", 50, 0, 1e9},
		{"writes_2_clients_12_servers", "rate", 50, 0, 1e9}, {"untouched_fleet_5", "pings", 4, 0, 0}, {"rest_fleet_5", "pings", 4, 0.1, 1e9},
		{"rest_fleet_5000", "pings", 4, 0, 0}, {"untouched_fleet_5000", "connections_primary", 1, 0, 0}, {"all_groups_fleet_5", "connections_home", 1, 0, 1e9}} {
		if got := find(want.phase, want.figure, want.size); got < want.least || got > want.most {
			t.Errorf("%s, %s at %d: %v, want %v to %v", want.phase, want.figure, want.size, got, want.least, want.most)
		}
	}
	if !slices.ContainsFunc(rows, func(r capacity.Row) bool { return r.Kind == "derived" && r.Size == 5000 }) {
		t.Error("nothing is derived for the fleet")
	}
}

// A size that would not fit is turned down before anything starts, and a run that is told to end does so with what it has.
func TestScalePoolerEnds(t *testing.T) {
	m := scalepooler.Measurement{Parts: []string{scalepooler.Clients}, Plays: 1, Clients: []int{1 << 30}, Servers: []int{3}, Askers: []int{1}, Balancers: []int{1},
		Listeners: 1, Command: func() *exec.Cmd { t.Error("it was started"); return exec.Command("false") }}
	if _, err := m.Run(t.Context(), t); err == nil || !strings.Contains(err.Error(), "ulimit -n") {
		t.Errorf("%v, want the limit named", err)
	}
	m.Clients = []int{0}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if rows, err := m.Run(ctx, t); err == nil || len(rows) > 0 {
		t.Errorf("%d rows, %v, want an end at once", len(rows), err)
	}
}
