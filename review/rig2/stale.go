package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleCase }

const (
	ageBound  = 800 * time.Millisecond // of timetable-view
	ageSlack  = 50 * time.Millisecond  // every time limit on sockets is longer by this
	slowdown  = 17                     // so many times slower is the log applied
	slowFor   = 2500 * time.Millisecond
	slowCycle = 10 * time.Second
)

// replay is how far a replica has applied the log.
type replay struct {
	mu    sync.Mutex
	since time.Time // from when on it applies the log slowly; zero: it does not
}

// slow applies the log slowly from now on, for slowFor.
func (r *replay) slow() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since = time.Now()
	time.AfterFunc(slowFor, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.since = time.Time{}
	})
	return r.since
}

// age is how old its data is.
func (r *replay) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	const ship = 5 * time.Millisecond
	if r.since.IsZero() {
		return ship
	}
	passed := time.Since(r.since)
	return ship + passed - passed/slowdown
}

// staleCase: replicas apply their log slowly for a while, and poolers are held up for 0.145 s. No read may be answered from data older than
// its class allows.
func staleCase(trouble bool) (broken string) {
	var log replay
	var stale, reads, served, unserved atomic.Int64
	var oldest atomic.Int64
	handle := func(s *PGServer, text string) []byte {
		age := time.Duration(0)
		if s.Name != "db1" {
			age = log.age()
		}
		if strings.HasPrefix(text, "SELECT val") {
			reads.Add(1)
			oldest.Store(max(oldest.Load(), int64(age)))
			if age > ageBound+ageSlack {
				stale.Add(1)
				record("STALE: %s answers from data that is %.0f ms old: %s", s.Name, float64(age)/float64(time.Millisecond), text)
			}
		}
		return pgRow("val", "x", "SELECT 1")
	}
	servers := []*PGServer{NewPGServer("db1", true, handle), NewPGServer("db2", false, handle), NewPGServer("db3", false, handle)}
	for _, s := range servers[1:] {
		s.position = func() int64 { return time.Now().Add(-log.age()).UnixMilli() }
	}
	discovery := NewDiscovery(servers[0].Member("Ready"), servers[1].Member("Ready"), servers[2].Member("Ready"))
	classes := []Class{
		{Name: "timetable-view", Effect: "free", Read: "lag_bound", BoundMs: 800, AimMs: 750, DeadlineMs: 2500},
		{Name: "booking-write", Effect: "guarded", Group: "cell", Read: "mutate", AimMs: 1000, DeadlineMs: 3000, WindowMs: 2000, LateWorth: 0.7},
	}
	p := NewPooler(PoolerOptions{Settings: settings(classes, nil), Discovery: discovery.Addr, Known: discovery.list()})
	p.Start()
	stop := make(chan struct{})
	batch := make(chan time.Time, batchClients)
	var clients sync.WaitGroup
	view := func() string {
		return fmt.Sprintf("SELECT val FROM state WHERE uid = '%x' /* id=%x,c=timetable-view,d=2500,cluster=0 */", rand.Uint32(), rand.Uint64())
	}
	for n := range batchClients + steadyClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			client, err := DialPG(p.Addr)
			if err != nil {
				cannot("%v", err)
			}
			for {
				texts := []string{view()}
				wait := time.After(20 * time.Millisecond)
				if n < batchClients {
					wait = nil
					for range batchSize - 1 {
						texts = append(texts, view())
					}
				}
				select {
				case <-stop:
					return
				case at := <-batchOf(n < batchClients, batch):
					time.Sleep(time.Until(at))
				case <-wait:
				}
				client.write(texts, &served, &unserved)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	late := 0
	for cycle := 0; cycle < 8; cycle++ {
		before := stale.Load()
		for range batchClients { // so that connections to the replicas are open
			batch <- time.Now()
		}
		time.Sleep(time.Second)
		begun := log.slow()
		record("cycle %d: the replicas apply their log %d times slower for %v", cycle, slowdown, slowFor)
		batchAt := begun.Add(800*time.Millisecond + rand.N(25*time.Millisecond))
		for range batchClients {
			batch <- batchAt
		}
		if trouble {
			time.Sleep(time.Until(batchAt.Add(time.Millisecond + rand.N(2*time.Millisecond))))
			p.Signal(syscall.SIGSTOP)
			time.Sleep(heldUp)
			p.Signal(syscall.SIGCONT)
		}
		time.Sleep(time.Until(begun.Add(slowCycle)))
		if stale.Load() > before {
			late++
		}
	}
	close(stop)
	clients.Wait()
	say("%d reads served, %d not; %d answered from data that was too old, in %d of 8 cycles; the oldest was %.0f ms old", served.Load(), unserved.Load(), stale.Load(), late,
		float64(oldest.Load())/float64(time.Millisecond))
	if served.Load() < 1000 {
		cannot("too few reads were served")
	}
	if stale.Load() > 0 {
		return fmt.Sprintf("%d reads were answered from data older than %v", stale.Load(), ageBound+ageSlack)
	}
	return ""
}

// batchOf returns the channel of the batches, or none for a client that sends steadily.
func batchOf(sendsBatches bool, batch chan time.Time) chan time.Time {
	if sendsBatches {
		return batch
	}
	return nil
}
