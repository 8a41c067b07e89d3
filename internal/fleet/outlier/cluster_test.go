package outlier

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus/bustest"
)

// clusterServers are the servers of a cluster's one group.
var clusterServers = []string{"a", "b", "c", "d"}

// ownProbeInterval is how long a testPooler that has left a server waits before it tries it again.
const ownProbeInterval = 3 * time.Second

// testPooler is a pooler as the component sees one: it sends reads to the servers of one group, leaves a server after two failures or by
// the fleet's ejection, and tries it then each ownProbeInterval.
type testPooler struct {
	*Component
	name         string
	readInterval time.Duration // the mean
	isBad        func(server string) bool
	idle         atomic.Bool
	primaryDowns atomic.Int32
	stop         context.CancelFunc
	lastSentAt   map[string]time.Time // by server; of the reading goroutine, as are failures
	failures     map[string]int       // in a row

	mu         sync.Mutex // guards the fields below
	ejected    map[string]bool
	records    []audit.Record
	badSendsAt map[string][]time.Time // reads to servers that were bad for this pooler
}

// SetEjected implements Host.
func (p *testPooler) SetEjected(server string, ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected[server] = ejected
}

// ReportPrimaryDown implements Host.
func (p *testPooler) ReportPrimaryDown(int) { p.primaryDowns.Add(1) }

// Members implements Host.
func (p *testPooler) Members() map[int][]string { return map[int][]string{0: clusterServers} }

// ejects reports whether the pooler leaves a server by the fleet's ejection.
func (p *testPooler) ejects(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ejected[server]
}

// countEjected counts the servers that the pooler leaves by the fleet's ejection.
func (p *testPooler) countEjected() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ejected := range p.ejected {
		if ejected {
			n++
		}
	}
	return n
}

func (p *testPooler) record(r audit.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.At = time.Now().UnixNano()
	p.records = append(p.records, r)
}

// read sends reads to servers at random, until ctx ends.
func (p *testPooler) read(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.readInterval/2 + time.Duration(random.Int64N(int64(p.readInterval)))):
		}
		server := clusterServers[random.IntN(len(clusterServers))]
		if !p.idle.Load() {
			p.readFrom(time.Now(), server)
		}
	}
}

// readFrom sends a read to a server, unless the pooler has left it.
func (p *testPooler) readFrom(now time.Time, server string) {
	hasLeft := p.failures[server] >= consecutiveFailures || p.ejects(server)
	if hasLeft && now.Sub(p.lastSentAt[server]) < ownProbeInterval {
		return
	}
	p.lastSentAt[server] = now
	if p.MaySend(0, &dispatch.Request{}, server) != dispatch.Send {
		return
	}
	if !p.isBad(server) {
		p.failures[server] = 0
		p.Observe(server, 0, Success, time.Millisecond)
		return
	}
	p.failures[server]++
	p.mu.Lock()
	p.badSendsAt[server] = append(p.badSendsAt[server], now)
	p.mu.Unlock()
	p.Observe(server, 0, Failure, time.Second)
}

// cluster is poolers in three zones on one network, in a synctest bubble.
type cluster struct {
	network *bustest.Network
	poolers []*testPooler
	seed    uint64
	ctx     context.Context // of all poolers
	running sync.WaitGroup
}

// startCluster starts n poolers; isBad tells when a server is bad for one of them.
func startCluster(t *testing.T, n int, seed uint64, readInterval time.Duration, isBad func(pooler int, server string) bool) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{network: bustest.New(seed), poolers: make([]*testPooler, n), seed: seed, ctx: ctx}
	for i := range n {
		c.startPooler(i, readInterval, func(server string) bool { return isBad(i, server) })
	}
	t.Cleanup(func() {
		cancel()
		c.running.Wait()
	})
	return c
}

// startPooler starts the i-th pooler, in the place of one that was there.
func (c *cluster) startPooler(i int, readInterval time.Duration, isBad func(server string) bool) {
	ctx, stop := context.WithCancel(c.ctx)
	p := &testPooler{name: fmt.Sprint("n", i), readInterval: readInterval, isBad: isBad, stop: stop, lastSentAt: map[string]time.Time{},
		failures: map[string]int{}, ejected: map[string]bool{}, badSendsAt: map[string][]time.Time{}}
	p.Component = New(testSettings, fmt.Sprint("z", i%3), p)
	c.poolers[i] = p
	member := c.network.Join(p.name)
	c.running.Go(func() { _ = p.Run(ctx, fleet.Runtime{Bus: member, Log: zerolog.Nop(), Audit: p.record}) }) // ends with ctx
	c.running.Go(func() { p.read(ctx, rand.New(rand.NewPCG(c.seed, uint64(i)))) })                           // ends with ctx
}

// names returns the names of the poolers from one to another.
func (c *cluster) names(from, to int) (names []string) {
	for _, p := range c.poolers[from:to] {
		names = append(names, p.name)
	}
	return names
}

// countEjecting counts the poolers that leave a server by the fleet's ejection.
func (c *cluster) countEjecting(server string) (n int) {
	for _, p := range c.poolers {
		if p.ejects(server) {
			n++
		}
	}
	return n
}

// countEjections counts the ejections of a server that have ever begun at any pooler.
func (c *cluster) countEjections(server string) (n int) {
	for _, p := range c.poolers {
		p.mu.Lock()
		for _, r := range p.records {
			if r.Act == audit.EjectionBegun && r.Server == server {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

// requireNoEjections fails if a server was ever ejected by any pooler.
func (c *cluster) requireNoEjections(t *testing.T, servers ...string) {
	t.Helper()
	for _, server := range servers {
		if n := c.countEjections(server); n > 0 {
			t.Errorf("%s was ejected %d times", server, n)
		}
	}
}

// countBadSends counts the reads that went to a server while it was bad, from one time to another.
func (c *cluster) countBadSends(server string, from, to time.Time) (n int) {
	for _, p := range c.poolers {
		p.mu.Lock()
		for _, at := range p.badSendsAt[server] {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

// broadcasts returns how many broadcasts the network has carried.
func (c *cluster) broadcasts() int {
	_, broadcasts := c.network.MessageCounts()
	return broadcasts
}

// requireWithin waits until something holds, for so long at most, and returns how long it took.
func requireWithin(t *testing.T, limit time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}
