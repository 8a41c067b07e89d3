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

	"threadsail/internal/standin"
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

// BenchmarkServe measures the processor time of the pooler's process a request, with four clients in a closed loop. Where
// THREADSAIL_OTHER names the binary of another build, both run side by side on the same servers, in turns, and the ratio of
// this one's time to the other's is reported. THREADSAIL_THIS names a binary in place of the test's own, which is larger.
func BenchmarkServe(b *testing.B) {
	const clients, turn = 4, 500
	for _, wire := range []string{"postgres", "mysql"} {
		b.Run(wire, func(b *testing.B) {
			f := standin.NewFleet(b, wire == "mysql", nil, "p", "r")
			type build struct {
				name    string
				cmd     *exec.Cmd
				clients []standin.Client
				used    time.Duration
			}
			builds := []*build{{name: "this", cmd: command(f.Env, "serve")}}
			env := builds[0].cmd.Env
			if this := os.Getenv("THREADSAIL_THIS"); this != "" {
				builds[0].cmd = exec.Command(this, "serve")
				builds[0].cmd.Env = env
			}
			if other := os.Getenv("THREADSAIL_OTHER"); other != "" {
				cmd := exec.Command(other, "serve")
				cmd.Env = env
				builds = append(builds, &build{name: "other", cmd: cmd})
			}
			for _, x := range builds {
				addr, _ := startCommand(b, x.cmd, wire)
				for range clients {
					var c standin.Client
					var err error
					if wire == "mysql" {
						c, err = standin.DialMySQL(addr)
					} else {
						c, err = standin.DialPostgres(addr)
					}
					if err != nil {
						b.Fatal(err)
					}
					x.clients = append(x.clients, c)
				}
			}
			do := func(x *build, n int) {
				before := processorTime(b, x.cmd.Process.Pid)
				var wg sync.WaitGroup
				for _, c := range x.clients {
					wg.Go(func() {
						for range n / clients {
							if r := c.Do(standin.Read("any", 2*time.Second)); !r.Served() {
								b.Errorf("%s: got %+v", x.name, r)
							}
						}
					})
				}
				wg.Wait()
				x.used += processorTime(b, x.cmd.Process.Pid) - before
			}
			b.ResetTimer()
			done := 0
			for ; done < b.N; done += turn {
				for _, x := range builds {
					do(x, turn)
				}
			}
			for _, x := range builds {
				b.ReportMetric(float64(x.used.Microseconds())/float64(done), x.name+"-cpu-µs/op")
			}
			if len(builds) == 2 {
				b.ReportMetric(float64(builds[0].used)/float64(builds[1].used), "cpu-ratio")
			}
		})
	}
}
