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

// fakeCopier is a Copier that records its acts and fails those that a test stops.
type fakeCopier struct {
	mu   sync.Mutex
	last Instruction
	acts []Act
	stop map[Act]bool // acts that fail for now
}

func (c *fakeCopier) Do(_ context.Context, i Instruction) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stop[i.Act] || !i.Newer(c.last) {
		return errors.New("not now")
	}
	c.last = i
	c.acts = append(c.acts, i.Act)
	return nil
}

// pooler is one process with the component.
type pooler struct {
	component *Component
	bus       *bustest.Bus
	view      *replicationtest.View
	client    *replicationtest.Client
	end       context.CancelFunc
	ended     chan struct{}
}

// fleet is some poolers with one cluster of voters and one network.
type fleet struct {
	t       *testing.T
	cluster *replicationtest.Cluster
	network *bustest.Network
	copier  *fakeCopier
	poolers []*pooler
	starts  int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, cluster: replicationtest.New(drift), network: bustest.New(1), copier: &fakeCopier{stop: map[Act]bool{}}}
	f.network.SetDelay(5*time.Millisecond, 5*time.Millisecond)
	for i := range n {
		f.poolers = append(f.poolers, f.start(i, nil))
	}
	time.Sleep(3 * term)
	return f
}

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

// kill ends a pooler as a crash would: it sends and receives nothing from then on, and releases nothing.
func (f *fleet) kill(p *pooler) {
	p.client.SetPartitioned(true)
	p.bus.Stop()
	p.end()
	<-p.ended
}

func (f *fleet) stop() {
	for _, p := range f.poolers {
		p.end()
		<-p.ended
	}
	synctest.Wait()
}

func (f *fleet) order(o Order) {
	p := f.poolers[len(f.poolers)-1]
	options := p.component.options
	options.Orders = []Order{o}
	p.component.Reload(options)
}

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

// waitFor waits until a condition holds, for at most a time.
func (f *fleet) waitFor(most time.Duration, what string, holds func() bool) {
	f.t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > most {
			f.t.Fatalf("not within %v: %s; %+v", most, what, f.document())
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) state(name string) State {
	m, _ := f.document().Move(name)
	return m.State
}

// coordinator returns which pooler coordinates, by the document; -1: none.
func (f *fleet) coordinator() int {
	for i, p := range f.poolers {
		if p.component.options.Name == f.document().Holder {
			return i
		}
	}
	return -1
}

// write writes a key by a pooler, and returns the home that the write went to; -1: it was refused.
func (p *pooler) write(key string) (home int) {
	w, _ := p.component.router.BeginWrite(key, time.Now().Add(term))
	if w == nil {
		return -1
	}
	defer p.component.router.EndWrite(w)
	if _, ok := p.component.router.AuthorizeSend(w); !ok || !p.component.router.AnswerCounts(w) {
		return -1
	}
	return w.Home
}

var moveToOne = Order{Name: "first", Range: Range{From: "a", To: "c", Cluster: 1}, Source: 0}

// checkWrites writes at all routers while the move to the first target is in a state: to the old home before the fence, to the new home
// once the move is done, and anywhere or nowhere in between.
func (f *fleet) checkWrites(state State) {
	f.t.Helper()
	for i, p := range f.poolers {
		home := p.write("b")
		wrongHome := home != 0 && (state == Prepared || state == Copying) || home != 1 && state == Done
		switch {
		case state == Fenced || state == Switched && home < 0: // not all routers know yet
		case home < 0:
			f.t.Errorf("%s: router %d is refused", state, i)
		case wrongHome:
			f.t.Errorf("%s: router %d writes to %d", state, i, home)
		}
		if got := p.write("d"); got != 0 {
			f.t.Errorf("another range: %d", got)
		}
	}
}
