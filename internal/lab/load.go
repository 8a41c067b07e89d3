// Package lab runs experiments on a pooler with stand-in servers and clients, on loopback. The judge is what the stand-ins
// have seen, never the pooler's word. Tests and cmd/threadsail-lab use it.
package lab

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"threadsail/internal/lab/standin"
)

// Counts is what became of requests.
type Counts struct {
	Served  int `json:"Served"`
	Refused int `json:"Refused"`
	Failed  int `json:"Failed"`
	Lost    int `json:"Lost"` // no answer, or one that came after the client had given up
}

// Sum is how many there were.
func (c Counts) Sum() int { return c.Served + c.Refused + c.Failed + c.Lost }

// lateBy is how late, beyond its patience, a client on a slow machine may see its answer.
const lateBy = 2 * time.Second

// Load is clients in a closed loop: each asks, waits for its answer, rests, and asks again.
type Load struct {
	wire, addr string
	patience   time.Duration
	rest       time.Duration
	stop       chan struct{}
	wg         sync.WaitGroup

	mu      sync.Mutex
	counts  Counts
	writeOK []time.Time // of writes that were served
	took    *hdrhistogram.Histogram
	causes  map[string]int
}

// NewLoad prepares clients of a front; rest is what each leaves between an answer and its next request.
func NewLoad(wire, addr string, patience, rest time.Duration) *Load {
	return &Load{wire: wire, addr: addr, patience: patience, rest: rest, stop: make(chan struct{}),
		took: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), causes: map[string]int{}}
}

// Start starts so many clients; seed makes their choices, of which writes is the share of writes.
func (l *Load) Start(clients int, seed uint64, writes float64) {
	for i := range clients {
		l.wg.Go(func() { l.client(rand.New(rand.NewPCG(seed, uint64(i))), writes) })
	}
}

// Stop ends the load once each client has its answer.
func (l *Load) Stop() {
	close(l.stop)
	l.wg.Wait()
}

func (l *Load) client(rng *rand.Rand, writes float64) {
	var c standin.Client
	defer func() {
		if c != nil {
			_ = c.Close() // it is given up
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(l.rest):
		}
		if c == nil {
			var err error
			if c, err = standin.Dial(l.wire, l.addr); err != nil {
				l.note(standin.Result{Err: err}, 0, false)
				c = nil
				continue
			}
		}
		write := rng.Float64() < writes
		text := standin.Read("any", l.patience)
		if write {
			text = standin.Write(fmt.Sprintf("%016x", rng.Uint64()), l.patience)
		}
		began := time.Now()
		r := c.Do(text)
		if l.note(r, time.Since(began), write); r.Err != nil {
			_ = c.Close() // it is given up
			c = nil
		}
	}
}

func (l *Load) note(r standin.Result, took time.Duration, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case r.Err != nil:
		l.counts.Lost++
		l.causes[r.Err.Error()]++
	case took > l.patience+lateBy:
		l.counts.Lost++
		l.causes["no answer in time"]++
	case r.Refused:
		l.counts.Refused++
	case r.Failed:
		l.counts.Failed++
		l.causes["code "+r.Code]++
	default:
		l.counts.Served++
		if write {
			l.writeOK = append(l.writeOK, time.Now())
		}
		_ = l.took.RecordValue(max(took.Microseconds(), 1))
	}
}

// Now is what became of the requests so far, and why some of them were lost or failed.
func (l *Load) Now() (Counts, map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := map[string]int{}
	for k, n := range l.causes {
		causes[k] = n
	}
	return l.counts, causes
}

// Took is a quantile, from 0 to 100, of the time that served requests have taken, as their clients saw it.
func (l *Load) Took(quantile float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.took.ValueAtQuantile(quantile)) * time.Microsecond
}

// WriteGap is the longest time in which no write was served.
func (l *Load) WriteGap() (gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 1; i < len(l.writeOK); i++ {
		gap = max(gap, l.writeOK[i].Sub(l.writeOK[i-1]))
	}
	return gap
}
