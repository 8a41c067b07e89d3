package main

import (
	"bytes"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
)

// processorTime is what a process has used so far, in ticks of 10 ms, from the 14th and 15th field of its stat file.
func processorTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		b.Skip(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

const (
	benchClients = 4
	benchTurn    = 500
)

// build is one pooler under measurement, with clients of its own.
type build struct {
	name    string
	cmd     *exec.Cmd
	clients []standin.Client
	used    time.Duration
}

// begin starts a pooler and connects its clients.
func (x *build) begin(b *testing.B, wire string) {
	addr, _ := startCommand(b, x.cmd, wire)
	for range benchClients {
		c, err := standin.Dial(wire, addr)
		if err != nil {
			b.Fatal(err)
		}
		x.clients = append(x.clients, c)
	}
}

// turn has the clients ask so many reads, and notes the processor time that the pooler takes.
func (x *build) turn(b *testing.B) {
	before := processorTime(b, x.cmd.Process.Pid)
	var wg sync.WaitGroup
	for _, c := range x.clients {
		wg.Go(func() {
			for range benchTurn / benchClients {
				if r := c.Do(standin.Read("any", 2*time.Second)); !r.Served() {
					b.Errorf("%s: got %+v", x.name, r)
				}
			}
		})
	}
	wg.Wait()
	x.used += processorTime(b, x.cmd.Process.Pid) - before
}

// measure has the builds take turns, and reports each one's processor time a request, and its ratio to the first one's.
func measure(b *testing.B, builds []*build) {
	b.ResetTimer()
	done := 0
	for ; done < b.N; done += benchTurn {
		for _, x := range builds {
			x.turn(b)
		}
	}
	for i, x := range builds {
		b.ReportMetric(float64(x.used.Microseconds())/float64(done), x.name+"-cpu-µs/op")
		if i > 0 {
			b.ReportMetric(float64(x.used)/float64(builds[0].used), x.name+"-ratio")
		}
	}
}

// BenchmarkServe measures the processor time of the pooler's process a request, with four clients in a closed loop. Where
// THREADSAIL_OTHER names the binary of another build, both run side by side on the same servers, in turns, and the ratio of
// the test's own build, or the one that THREADSAIL_THIS names, to that one is reported.
func BenchmarkServe(b *testing.B) {
	for _, wire := range []string{"postgres", "mysql"} {
		b.Run(wire, func(b *testing.B) {
			f := standin.NewFleet(b, wire == "mysql", nil, "p", "r")
			env := command(f.Env).Env
			builds := []*build{{name: "this", cmd: command(f.Env, "serve")}}
			if this := os.Getenv("THREADSAIL_THIS"); this != "" {
				builds[0].cmd = exec.Command(this, "serve")
			}
			if other := os.Getenv("THREADSAIL_OTHER"); other != "" {
				builds = append([]*build{{name: "other", cmd: exec.Command(other, "serve")}}, builds...)
			}
			for _, x := range builds {
				x.cmd.Env = env
				x.begin(b, wire)
			}
			measure(b, builds)
		})
	}
}

// BenchmarkTranslate measures MySQL clients before servers of their own wire, before servers that are newer, and before
// PostgreSQL servers, in one run.
func BenchmarkTranslate(b *testing.B) {
	var builds []*build
	for _, c := range []struct {
		name  string
		mysql bool
		login standin.Login
	}{{"same", true, standin.Native}, {"newer", true, standin.Fast}, {"postgres", false, standin.Native}} {
		f := standin.NewMixedFleet(b, true, func(int) bool { return c.mysql }, nil, "p", "r")
		for _, s := range f.Servers {
			s.Demand(c.login)
		}
		x := &build{name: c.name, cmd: command(f.Env, "serve")}
		x.begin(b, "mysql")
		builds = append(builds, x)
	}
	measure(b, builds)
}
