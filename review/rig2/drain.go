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

func init() { cases["drain"] = drainCase }

const (
	drainGrace  = 250 * time.Millisecond // of the settings
	drainSlack  = 50 * time.Millisecond  // every time limit on sockets is longer by this
	heldUp      = 145 * time.Millisecond // the page allows 0.15 s
	drainCycle  = 11 * time.Second
	switchOver  = 600 * time.Millisecond
	drainTested = 3 // poolers

	steadyClients = 4 // of each pooler
	batchClients  = 4
	batchSize     = 64
	firstStop     = 1 * time.Millisecond // from the batch to the first pooler's stop
	nextStop      = 1 * time.Millisecond // and to the next one's
)

// drainCase: the primary begins to drain while clients write. The poolers are held up for 0.145 s. Nothing new may be sent to the draining
// server later than its grace allows.
func drainCase(trouble bool) (broken string) {
	var mu sync.Mutex
	latest := map[string]time.Time{} // by server: the last statement's arrival
	texts := map[string]string{}
	handle := func(s *PGServer, text string) []byte {
		if !strings.HasPrefix(text, "INSERT") {
			return pgRow("val", "x", "SELECT 1")
		}
		mu.Lock()
		latest[s.Name] = time.Now()
		texts[s.Name] = text
		mu.Unlock()
		return pgRow("val", "x", "INSERT 0 1")
	}
	servers := []*PGServer{NewPGServer("db1", true, handle), NewPGServer("db2", false, handle), NewPGServer("db3", false, handle)}
	discovery := NewDiscovery(servers[0].Member("Ready"), servers[1].Member("Ready"), servers[2].Member("Ready"))
	classes := []Class{
		{Name: "lookup", Effect: "free", Read: "lag_bound", BoundMs: 3000, AimMs: 300, DeadlineMs: 750},
		{Name: "sign-off", Effect: "single_shot", Read: "mutate", AimMs: 750, DeadlineMs: 2000, LateWorth: 0.3},
	}
	var poolers []*Pooler
	for n := range drainTested {
		p := NewPooler(PoolerOptions{Discovery: discovery.Addr, Known: discovery.list(), Settings: settings(classes, func(s map[string]any) {
			s["balancers"], s["me"] = drainTested, n
			contract := s["contract"].(map[string]any)
			contract["drainGraceMs"], contract["coldFrom"], contract["coldMs"] = float64(drainGrace/time.Millisecond), 0.2, 17000.0
		})})
		p.Start()
		poolers = append(poolers, p)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, unserved atomic.Int64
	var batches []chan time.Time // one for each pooler
	for _, p := range poolers {
		batch := make(chan time.Time, batchClients)
		batches = append(batches, batch)
		for n := range batchClients + steadyClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				if n < batchClients {
					writeBatches(p.Addr, batch, stop, &served, &unserved)
				} else {
					writeSteadily(p.Addr, stop, &served, &unserved)
				}
			}()
		}
	}
	time.Sleep(2 * time.Second)
	primary, late := 0, 0
	worst := time.Duration(0)
	for cycle := 0; cycle < 8; cycle++ {
		old, next := servers[primary], servers[(primary+1)%len(servers)]
		sendBatches(batches, time.Now()) // so that connections to the primary are open
		time.Sleep(time.Second)
		told := time.Now() // before discovery writes it
		discovery.Change(old.Member("Terminating"))
		batchAt := told.Add(165*time.Millisecond + rand.N(10*time.Millisecond))
		sendBatches(batches, batchAt)
		if trouble {
			for n, p := range poolers {
				go func() {
					time.Sleep(time.Until(batchAt.Add(firstStop + time.Duration(n)*nextStop)))
					p.Signal(syscall.SIGSTOP)
					time.Sleep(heldUp)
					p.Signal(syscall.SIGCONT)
				}()
			}
		}
		time.Sleep(switchOver)
		mu.Lock()
		last, text := latest[old.Name].Sub(told), texts[old.Name]
		mu.Unlock()
		record("cycle %d: discovery has told that %s drains; the last statement came to it %.0f ms later: %s", cycle, old.Name,
			float64(last)/float64(time.Millisecond), text)
		worst = max(worst, last)
		if last > drainGrace+drainSlack {
			late++
			record("LATE: more than %v", drainGrace+drainSlack)
		}
		old.setPrimary(false)
		next.setPrimary(true)
		primary = (primary + 1) % len(servers)
		time.Sleep(2 * time.Second)
		discovery.Change(old.Member("Ready"))
		time.Sleep(time.Until(told.Add(drainCycle - time.Second)))
	}
	close(stop)
	clients.Wait()
	say("%d writes served, %d not; in %d of 8 drains a statement was sent too late, the latest %.0f ms after discovery had told", served.Load(), unserved.Load(), late,
		float64(worst)/float64(time.Millisecond))
	if served.Load() < 1000 {
		cannot("too few writes were served")
	}
	if late > 0 {
		return fmt.Sprintf("in %d of 8 drains a statement was sent later than %v after the poolers were told", late, drainGrace+drainSlack)
	}
	return ""
}

func (s *PGServer) setPrimary(primary bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.primary = primary
}

// sendBatches has each pooler's clients send a batch at a time.
func sendBatches(batches []chan time.Time, at time.Time) {
	for _, batch := range batches {
		for range batchClients {
			batch <- at
		}
	}
}

// writeBatches sends many writes at once, at each time that it is told.
func writeBatches(addr string, batches chan time.Time, stop chan struct{}, served, unserved *atomic.Int64) {
	client, err := DialPG(addr)
	if err != nil {
		cannot("%v", err)
	}
	for {
		var texts []string
		for range batchSize {
			texts = append(texts, signOff())
		}
		select {
		case <-stop:
			return
		case at := <-batches:
			time.Sleep(time.Until(at))
		}
		client.write(texts, served, unserved)
	}
}

// writeSteadily sends one write after the other.
func writeSteadily(addr string, stop chan struct{}, served, unserved *atomic.Int64) {
	client, err := DialPG(addr)
	if err != nil {
		cannot("%v", err)
	}
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		client.write([]string{signOff()}, served, unserved)
	}
}

func signOff() string {
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%x', '\\x9f03') RETURNING val /* id=%x,c=sign-off,d=2000,cluster=0 */", rand.Uint32(), rand.Uint64())
}

// write sends writes at once and reads their answers.
func (p *PGClient) write(texts []string, served, unserved *atomic.Int64) {
	if err := p.Send(texts...); err != nil {
		cannot("%v", err)
	}
	for range texts {
		got, err := p.Read(6 * time.Second)
		if err != nil {
			cannot("a write has no answer: %v", err)
		}
		if got.Code == "" {
			served.Add(1)
		} else {
			unserved.Add(1)
		}
	}
}
