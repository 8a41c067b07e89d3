package shardmap

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

// fakeCopier is a Copier that records the executed acts and fails those that a test selects.
type fakeCopier struct {
	mu      sync.Mutex
	last    Instruction
	acts    []Act
	failing map[Act]bool // acts that fail for now
}

func (c *fakeCopier) Do(_ context.Context, i Instruction) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing[i.Act] || !i.Newer(c.last) {
		return errors.New("act fails in this test, or a newer instruction was executed")
	}
	c.last = i
	c.acts = append(c.acts, i.Act)
	return nil
}

// pooler is one process that runs the component.
type pooler struct {
	component *Component
	bus       *bustest.Bus
	view      *replicationtest.View
	client    *replicationtest.Client
	end       context.CancelFunc
	ended     chan struct{}
}

// fleet is a set of poolers that share one cluster of voters and one network.
type fleet struct {
	t       *testing.T
	cluster *replicationtest.Cluster
	network *bustest.Network
	copier  *fakeCopier
	poolers []*pooler
	starts  int
}

// newFleet starts a fleet and waits until it has a coordinator and a map.
func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, cluster: replicationtest.New(drift), network: bustest.New(1), copier: &fakeCopier{failing: map[Act]bool{}}}
	f.network.SetDelay(5*time.Millisecond, 5*time.Millisecond)
	for i := range size {
		f.poolers = append(f.poolers, f.start(i, nil))
	}
	time.Sleep(3 * term)
	return f
}

// start starts the ith pooler, on a new replica if view is nil.
func (f *fleet) start(i int, view *replicationtest.View) *pooler {
	f.starts++
	name := fmt.Sprint("n", i+1)
	if view == nil {
		view = f.cluster.View()
	}
	p := &pooler{bus: f.network.Join(name), view: view, client: f.cluster.Client(fmt.Sprintf("%s/%d", name, f.starts)), ended: make(chan struct{})}
	p.component = New(Options{Name: name, Epoch: 40, Term: term, MaxClockDrift: drift, MaxPrepared: 20 * term, MaxFenced: 5 * term, Ranges: []Range{{To: "m"}, {From: "m", Cluster: 1}}, Copier: f.copier})
	ctx, cancel := context.WithCancel(f.t.Context())
	p.end = cancel
	runtime := Runtime{Bus: p.bus, View: p.view, Store: p.client, Log: zerolog.Nop(),
		Leadership: p.client.Campaign(ctx, LeaseName, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: float64(i) / 8})}
	go func() {
		defer close(p.ended)
		_ = p.component.Run(ctx, runtime)
	}()
	return p
}

// kill ends a pooler like a crash: from then on it sends and receives nothing, and it releases no lease.
func (f *fleet) kill(p *pooler) {
	p.client.SetPartitioned(true)
	p.bus.Stop()
	p.end()
	<-p.ended
}

// stopAll shuts all poolers down cleanly and waits for them.
func (f *fleet) stopAll() {
	for _, p := range f.poolers {
		p.end()
		<-p.ended
	}
	synctest.Wait()
}

// submitOrder replaces the orders in the operators' file of the last pooler by an order.
func (f *fleet) submitOrder(o Order) {
	p := f.poolers[len(f.poolers)-1]
	options := p.component.options
	options.Orders = []Order{o}
	p.component.Reload(options)
}

// document returns the document MapKey as the voters have it.
func (f *fleet) document() Document {
	doc, err := f.cluster.Client("test").Read(f.t.Context(), MapKey)
	if err != nil {
		f.t.Fatal(err)
	}
	d, err := parseDocument(doc.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

// waitFor waits until a condition holds, and fails the test after a time limit.
func (f *fleet) waitFor(timeout time.Duration, condition string, holds func() bool) {
	f.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > timeout {
			f.t.Fatalf("timed out after %v: %s; document %+v", timeout, condition, f.document())
		}
		time.Sleep(time.Millisecond)
	}
}

// state returns the state of the move with a name.
func (f *fleet) state(name string) State {
	m, _ := f.document().Move(name)
	return m.State
}

// coordinatorIndex returns the index of the pooler that is recorded as the coordinator, or -1 if there is none.
func (f *fleet) coordinatorIndex() int {
	for i, p := range f.poolers {
		if p.component.options.Name == f.document().Holder {
			return i
		}
	}
	return -1
}

// writeKey writes a key at a pooler and returns the home that the write was sent to, or -1 if it was rejected.
func (p *pooler) writeKey(key string) (home int) {
	w, _ := p.component.router.BeginWrite(key, time.Now().Add(term))
	if w == nil {
		return -1
	}
	defer p.component.router.EndWrite(w)
	if _, ok := p.component.router.AuthorizeSend(w); !ok || !p.component.router.IsAnswerValid(w) {
		return -1
	}
	return w.Home
}

// firstOrder orders to move the keys from "a" to "c" from cluster 0 to cluster 1.
var firstOrder = Order{Name: "first", Range: Range{From: "a", To: "c", Cluster: 1}, Source: 0}

// checkWrites writes at all routers while the move of firstOrder is in a state. Writes must go to the old home before the fence and to the
// new home once the move is done. In between, a write may be rejected or go to either home. Writes to another range must succeed in all
// states.
func (f *fleet) checkWrites(state State) {
	f.t.Helper()
	for i, p := range f.poolers {
		home := p.writeKey("b")
		wrongHome := home != 0 && (state == Prepared || state == Copying) || home != 1 && state == Done
		switch {
		case state == Fenced || state == Switched && home < 0: // not all routers have applied the new state
		case home < 0:
			f.t.Errorf("%s: router %d rejects a write", state, i)
		case wrongHome:
			f.t.Errorf("%s: router %d writes to %d", state, i, home)
		}
		if got := p.writeKey("d"); got != 0 {
			f.t.Errorf("write to a range that is not moved goes to %d, want 0", got)
		}
	}
}
