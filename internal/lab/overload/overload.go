// Package overload plays clients and servers that misbehave against one process of the pooler, and measures what becomes of ordinary
// clients beside them and of the process's memory.
//
// A run starts stand-in servers, the pooler's program as a process of its own, ordinary clients with one request at a time, and the
// clients of one Trouble. All of it is on loopback and ends with the run. The package judges nothing: a Report is the caller's to judge.
package overload

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"threadsail/internal/lab/standin"
)

const (
	serviceTime  = 5 * time.Millisecond   // of a server for each statement
	lateAfter    = 550 * time.Millisecond // past its time, after which an answer is late
	lastWait     = 3 * time.Second        // past its time, after which a client stops waiting for its answer
	hostTick     = time.Millisecond       // of the watch over this process
	warmUp       = 500 * time.Millisecond // of the ordinary clients alone
	ordinaryWait = 40 * time.Millisecond  // between two requests of an ordinary client
	writeEvery   = 3                      // one request in so many is a write
)

// Run is one run.
type Run struct {
	Wire     string // "postgres" or "mysql"
	MemoryMB int
	Sockets  int
	Trouble  Trouble
	Clients  int // of the trouble; 0: as many as the trouble names
	Ordinary int // ordinary clients
	Patience time.Duration
	Length   time.Duration
	Upgrade  bool             // halfway a second process takes the listening socket over, and the first is told to end; PostgreSQL only
	Command  func() *exec.Cmd // the program, without its environment
	// Troublemaker is a program that calls PlayTrouble: the clients of the trouble are another process, so that they take no time
	// from the ordinary ones and from the servers.
	Troublemaker func() *exec.Cmd
}

// TroubleEnv is the variable by which a Troublemaker is told what to play.
const TroubleEnv = "THREADSAIL_OVERLOAD_TROUBLE"

// troubleOrder is the value of TroubleEnv.
type troubleOrder struct {
	Wire, Addr, Trouble string
	Clients             int
}

// PlayTrouble plays the clients of a trouble, as TroubleEnv says, until standard input ends.
func PlayTrouble() error {
	var order troubleOrder
	if err := json.Unmarshal([]byte(os.Getenv(TroubleEnv)), &order); err != nil {
		return fmt.Errorf("overload: %s: %w", TroubleEnv, err)
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, trouble := range Troubles(order.Wire) {
		for i := range order.Clients {
			if trouble.Name == order.Trouble {
				client := troubleClient{run: Run{Wire: order.Wire, Trouble: trouble.part(i)}, addr: order.Addr, number: i}
				running.Go(func() { client.play(stop) })
			}
		}
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	close(stop)
	running.Wait()
	return err
}

// startTrouble starts the clients of the trouble, which end when end is called.
func (r Run) startTrouble(addr string) (end func(), err error) {
	order, err := json.Marshal(troubleOrder{Wire: r.Wire, Addr: addr, Trouble: r.Trouble.Name, Clients: r.clients()})
	if err != nil {
		return nil, err
	}
	cmd := r.Troublemaker()
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.Env = append(cmd.Env, TroubleEnv+"="+string(order))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return func() {
		_ = input.Close()
		_ = cmd.Wait()
	}, nil
}

// Report is what a run has measured.
type Report struct {
	Run      Run
	Requests Requests
	// PeakMB and PeakAnonymousMB are the highest resident memory of the process, and its part that no file backs.
	PeakMB, PeakAnonymousMB float64
	Exited                  error         // of a process that ended by itself; nil: it ran on
	HostStall               time.Duration // the longest time for which the clients' and servers' own process did not run
	Log                     string
}

// Requests counts the requests of the ordinary clients by their ends.
type Requests struct {
	Served, Refused, Failed int
	Late                    int // answered over lateAfter past their time, whatever the answer
	Unanswered              int // no answer until lastWait past their time, or a close in place of it
	Worst                   time.Duration
}

// Total returns the number of requests.
func (r Requests) Total() int { return r.Served + r.Refused + r.Failed + r.Late + r.Unanswered }

// String is the line of the report's table.
func (r Report) String() string {
	return fmt.Sprintf("%-9s %-22s %4d clients %4d MB: served %d, refused %d, failed %d, late %d, unanswered %d, worst %d ms, peak %.1f MB (%.1f anonymous), host stalled %d ms",
		r.Run.Wire, r.Run.Trouble.Name, r.Run.clients(), r.Run.MemoryMB, r.Requests.Served, r.Requests.Refused, r.Requests.Failed,
		r.Requests.Late, r.Requests.Unanswered, r.Requests.Worst.Milliseconds(), r.PeakMB, r.PeakAnonymousMB, r.HostStall.Milliseconds())
}

func (r Run) clients() int {
	if r.Clients > 0 {
		return r.Clients
	}
	return r.Trouble.Clients
}

// Play plays a run. It fails the host if the pooler does not start.
func (r Run) Play(host standin.Host) Report {
	host.Helper()
	fleet := r.fleet(host)
	socket, err := newSharedSocket(r.Upgrade)
	if err != nil {
		host.Fatal(err)
	}
	host.Cleanup(socket.close)
	process, err := startProcess(r.Command(), fleet.Env, r.Wire, socket)
	if err != nil {
		host.Fatal(err)
	}
	host.Cleanup(process.stop)
	stop := make(chan struct{})
	var running sync.WaitGroup
	results := make(chan Requests, r.Ordinary)
	for i := range r.Ordinary {
		client := ordinaryClient{run: r, addr: process.addr, number: i}
		running.Go(func() { results <- client.play(stop) })
	}
	time.Sleep(warmUp)
	endTrouble, err := r.startTrouble(process.addr)
	if err != nil {
		host.Fatal(err)
	}
	stall := watchHost(stop)
	time.Sleep(r.Length / 2)
	if r.Upgrade {
		successor, err := startProcess(r.Command(), fleet.Env, r.Wire, socket)
		if err != nil {
			host.Fatal(err)
		}
		host.Cleanup(successor.stop)
		process.terminate()
	}
	time.Sleep(r.Length / 2)
	close(stop)
	endTrouble()
	running.Wait()
	close(results)
	report := Report{Run: r, Exited: process.ended(), HostStall: <-stall}
	report.PeakMB, report.PeakAnonymousMB = process.peak()
	for result := range results {
		report.Requests.add(result)
	}
	report.Log = process.log()
	return report
}

// watchHost measures how long this process does not run, until stop is closed.
func watchHost(stop chan struct{}) (longest chan time.Duration) {
	longest = make(chan time.Duration, 1)
	go func() {
		ticker := time.NewTicker(hostTick)
		defer ticker.Stop()
		stall := time.Duration(0)
		for last := time.Now(); ; {
			select {
			case <-stop:
				longest <- stall
				return
			case <-ticker.C:
			}
			now := time.Now()
			stall = max(stall, now.Sub(last)-hostTick)
			last = now
		}
	}()
	return longest
}

func (r *Requests) add(other Requests) {
	r.Served += other.Served
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Late += other.Late
	r.Unanswered += other.Unanswered
	r.Worst = max(r.Worst, other.Worst)
}

// fleet starts the servers and writes the pooler's files.
func (r Run) fleet(host standin.Host) *standin.Fleet {
	fleet := standin.NewFleet(host, r.Wire == "mysql", func(settings map[string]any) {
		caps := settings["caps"].(map[string]any)
		caps["maxOpen"] = 20000
		for i, limit := range []int{2500, 1500, 3000} {
			settings["lanes"].([]any)[i].(map[string]any)["hardLimitMs"] = limit
		}
	}, "p", "r", "s")
	fleet.Configure("limits", map[string]any{"cores": 1, "memory_mb": r.MemoryMB, "sockets": r.Sockets})
	for _, server := range fleet.Servers {
		server.Do(func(standin.Seen) standin.Act {
			time.Sleep(serviceTime)
			return standin.Answer
		})
		server.SetPace(r.Trouble.ServerPace)
		server.Spoil(func(seen standin.Seen) []byte {
			if strings.Contains(seen.Text, largeKey) {
				time.Sleep(serviceTime)
				return largeAnswer(r.Wire)
			}
			return nil
		})
	}
	return fleet
}
