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

// ownProbeInterval is the time between two attempts of a testPooler at a server that it avoids.
const ownProbeInterval = 3 * time.Second

// testPooler simulates a pooler with a Component. It sends reads to the servers of one group. It avoids a server after consecutiveFailures
// failures, or while the fleet ejects it, and then sends it one read each ownProbeInterval.
type testPooler struct {
	*Component
	name         string
	readInterval time.Duration // mean time between reads
	isBad        func(server string) bool
	idle         atomic.Bool
	primaryDowns atomic.Int32
	stop         context.CancelFunc
	lastSentAt   map[string]time.Time // by server; used only by the goroutine of read
	failures     map[string]int       // consecutive failures by server; used only by the goroutine of read

	mu         sync.Mutex // guards the fields below
	ejected    map[string]bool
	records    []audit.Record
	badSendsAt map[string][]time.Time // by server: times of the reads sent while the server was bad for this pooler
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

// ejects reports whether the pooler avoids a server because the fleet ejects it.
func (p *testPooler) ejects(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ejected[server]
}

// countEjected returns the number of servers that the pooler avoids because the fleet ejects them.
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

// read sends reads to randomly chosen servers until ctx is done.
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

// readFrom sends a read to a server, unless the pooler avoids the server and has sent it a read within ownProbeInterval.
func (p *testPooler) readFrom(now time.Time, server string) {
	avoidsServer := p.failures[server] >= consecutiveFailures || p.ejects(server)
	if avoidsServer && now.Sub(p.lastSentAt[server]) < ownProbeInterval {
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

// cluster is a set of poolers in three zones on one network. It must run in a synctest bubble.
type cluster struct {
	network *bustest.Network
	poolers []*testPooler
	seed    uint64
	ctx     context.Context // parent of the contexts of all poolers
	running sync.WaitGroup
}

// startCluster starts n poolers. isBad reports whether a server currently fails the reads of a pooler.
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

// startPooler starts the i-th pooler and replaces the previous one, if any.
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

// names returns the names of the poolers with indices in [from, to).
func (c *cluster) names(from, to int) (names []string) {
	for _, p := range c.poolers[from:to] {
		names = append(names, p.name)
	}
	return names
}

// countEjecting returns the number of poolers that avoid a server because the fleet ejects it.
func (c *cluster) countEjecting(server string) (n int) {
	for _, p := range c.poolers {
		if p.ejects(server) {
			n++
		}
	}
	return n
}

// countEjections returns the number of ejections of a server that have begun so far, at all poolers together.
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

// requireNoEjections fails the test if any pooler has ever ejected one of the servers.
func (c *cluster) requireNoEjections(t *testing.T, servers ...string) {
	t.Helper()
	for _, server := range servers {
		if n := c.countEjections(server); n > 0 {
			t.Errorf("%s was ejected %d times", server, n)
		}
	}
}

// countBadSends returns the number of reads that were sent to a server while it was bad, after from and up to to.
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

// broadcasts returns the number of broadcasts on the network so far.
func (c *cluster) broadcasts() int {
	_, broadcasts := c.network.MessageCounts()
	return broadcasts
}

// requireWithin waits until condition returns true and returns how long that took. It fails the test if that takes longer than limit.
func requireWithin(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met within %v: %s", limit, description)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}
