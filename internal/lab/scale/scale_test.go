package scale

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestMain is also the process of hollow poolers.
func TestMain(m *testing.M) {
	if os.Getenv("SCALE_HOLLOW") != "" {
		if err := Hollow(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// Six hollow poolers go through two phases: both directions are counted, and nothing that was started is left. Times are not judged.
func TestRun(t *testing.T) {
	var mu sync.Mutex
	var started []*exec.Cmd
	rep, err := Run(t, Options{Mechanism: Gossip, Sizes: []int{6}, Plays: 1, Children: 2, Window: 3 * time.Second, JoinMost: time.Minute, Most: 3 * time.Minute, Fill: 50,
		Phases: []string{Changes60, Loss5}, Hollow: func() *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "SCALE_HOLLOW=1")
			mu.Lock()
			defer mu.Unlock()
			started = append(started, cmd)
			return cmd
		}, Progress: func(line string) { t.Log(line) }})
	if err != nil {
		t.Fatal(err)
	}
	have := map[string]float64{}
	for _, r := range rep.Rows {
		have[r.Phase+" "+r.Figure] += r.Median
	}
	for _, want := range []string{"bytes_in", "bytes_out", "messages_in", "messages_out", "rss", "goroutines", "bytes_out:ping"} {
		if have[Changes60+" "+want] <= 0 {
			t.Errorf("%s is not counted: %v", want, have)
		}
	}
	if len(started) != 3 {
		t.Errorf("%d processes were started", len(started))
	}
	for _, cmd := range started {
		if err := cmd.Process.Signal(syscall.Signal(0)); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("process %d has not ended: %v", cmd.Process.Pid, err)
		}
	}
}

// A run that is stopped ends what it has started, and tells so.
func TestStop(t *testing.T) {
	stop := make(chan struct{})
	var cmds []*exec.Cmd
	rep, err := Run(t, Options{Mechanism: Gossip, Sizes: []int{6}, Plays: 1, Children: 1, Window: time.Hour, JoinMost: time.Minute, Most: time.Hour, Phases: []string{Rest},
		Hollow: func() *exec.Cmd {
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), "SCALE_HOLLOW=1")
			cmds = append(cmds, cmd)
			return cmd
		}, Stop: stop, Progress: func(line string) {
			if strings.Contains(line, "settling") {
				close(stop)
			}
		}})
	if err != nil || len(rep.Rows) > 0 || len(rep.Notes) != 1 {
		t.Errorf("%v, %+v", err, rep)
	}
	for _, cmd := range cmds {
		if err := cmd.Process.Signal(syscall.Signal(0)); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("process %d has not ended: %v", cmd.Process.Pid, err)
		}
	}
}

func TestParseTraffic(t *testing.T) {
	text := "done\nedge_proxy_pending 3\nedge_proxy_fleet_bytes{kind=\"shared/word\",way=\"in\"} 7\nedge_proxy_fleet_messages{kind=\"shared/word\",way=\"out\"} 2\nend\n"
	got, err := parseTraffic(strings.NewReader(text))
	if err != nil || len(got) != 1 || got[0].Kind != "shared/word" || got[0].BytesIn != 7 || got[0].MessagesOut != 2 {
		t.Errorf("%+v %v", got, err)
	}
	for _, bad := range []string{"done\n", "edge_proxy_fleet_bytes{kind=\"a\",way=\"in\"} x\nend\n"} {
		if _, err := parseTraffic(strings.NewReader(bad)); err == nil {
			t.Errorf("%q is read", bad)
		}
	}
}

func TestRefusals(t *testing.T) {
	for _, o := range []Options{{Mechanism: "smoke"}, {Mechanism: Gossip, Sizes: []int{5001}, Plays: 1, Children: 1, Most: time.Minute},
		{Mechanism: Gossip, Sizes: []int{2}, Plays: 1, Children: 1, Most: time.Minute}, {Mechanism: Gossip, Sizes: []int{9}, Plays: 1, Children: 1, Real: 300, Most: time.Minute}} {
		if _, err := Run(t, o); err == nil {
			t.Errorf("%+v runs", o)
		}
	}
}
