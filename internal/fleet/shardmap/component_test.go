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

// Without faults a move goes through all states, no router is refused before the fence or after the switch, and the fence lasts for a
// few messages.
func TestMoveWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		if got := f.document().Epoch; got != 40 {
			t.Errorf("the first map's epoch is %d, want the operators'", got)
		}
		f.order(moveToOne)
		var fenced time.Duration
		f.waitFor(10*term, "the move is done", func() bool {
			state := f.state("first")
			f.checkWrites(state)
			if state == Fenced {
				fenced += time.Millisecond
			}
			return state == Done
		})
		if fenced == 0 || fenced > term/2 {
			t.Errorf("fenced for %v", fenced)
		}
		t.Logf("fenced for %v at messages of 5 to 10 ms; acts %v", fenced, f.copier.acts)
	})
}

// A router that is cut off while its range is copied writes for less than a term more, and its clients learn when to retry. The
// others are without writes for no more than a term, the drift, and the time of the messages. Once the cut is healed the router writes
// to the new home.
func TestRouterCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.copier.stop[ActCopy] = true
		f.order(moveToOne)
		f.waitFor(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		lone := f.poolers[(f.coordinator()+1)%len(f.poolers)]
		other := f.poolers[(f.coordinator()+2)%len(f.poolers)]
		f.network.SetIsolated(lone.component.options.Name, true)
		lone.client.SetPartitioned(true)
		lone.view.SetPartitioned(true)
		f.copier.mu.Lock()
		f.copier.stop[ActCopy] = false
		f.copier.mu.Unlock()
		began, last := time.Now(), time.Now()
		var none time.Duration
		f.waitFor(5*term, "done", func() bool {
			if lone.write("b") >= 0 {
				last = time.Now()
			}
			if other.write("b") < 0 {
				none += time.Millisecond
			}
			return f.state("first") == Done
		})
		if wrote := last.Sub(began); wrote > term-drift {
			t.Errorf("it writes for %v", wrote)
		}
		if bound := term + drift + term/checksPerTerm + 100*time.Millisecond; none < term/2 || none > bound {
			t.Errorf("no writes for %v, want at most %v", none, bound)
		}
		if w, after := lone.component.router.BeginWrite("b", time.Now()); w != nil || after <= 0 {
			t.Errorf("its client may retry after %v", after)
		}
		if home, _, _ := lone.component.router.Home("b"); home != 0 || lone.write("d") != 0 {
			t.Error("reads and other ranges do not go on")
		}
		t.Logf("no writes for %v; the lone router wrote for %v", none, last.Sub(began))
		f.network.SetIsolated(lone.component.options.Name, false)
		lone.client.SetPartitioned(false)
		lone.view.SetPartitioned(false)
		f.waitFor(term, "it writes to the new home", func() bool { return lone.write("b") == 1 })
	})
}

// The coordinator is killed in each state, and another takes the move on from where it stands. A pooler that restarts from an old replica
// writes nothing before its replica is as new as its own enrollment.
func TestCoordinatorKilledInEachState(t *testing.T) {
	for _, state := range []State{Prepared, Copying, Fenced, Switched} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				defer f.stop()
				old := f.poolers[0].view.Restart()
				f.poolers[0].view.SetPartitioned(false)
				stopped := map[State]Act{Copying: ActCopy, Fenced: ActFinish, Switched: ActClose}[state]
				f.copier.stop[stopped] = true
				idle := f.poolers[(f.coordinator()+1)%4]
				if state == Prepared {
					idle.view.SetPartitioned(true) // a router that does not learn of the move
				}
				f.order(moveToOne)
				f.waitFor(8*term, string(state), func() bool { return f.state("first") == state })
				killed := f.coordinator()
				f.kill(f.poolers[killed])
				f.copier.mu.Lock()
				f.copier.stop[stopped] = false
				f.copier.mu.Unlock()
				idle.view.SetPartitioned(false)
				f.poolers[killed] = f.start(killed, old)
				for range 10 {
					if home := f.poolers[killed].write("b"); home >= 0 {
						t.Errorf("it writes to %d by an old replica", home)
					}
					time.Sleep(term / 10)
				}
				old.SetPartitioned(false)
				f.waitFor(12*term, "done", func() bool { return f.state("first") == Done })
				for i, p := range f.poolers {
					f.waitFor(term, "written at the new home", func() bool { return p.write("b") == 1 })
					if got := p.write("d"); got != 0 {
						t.Errorf("router %d writes another range to %d", i, got)
					}
				}
			})
		})
	}
}

// No move waits for a pooler that was stopped in order; a move waits for one that was killed, until the operators retire it.
func TestPoolersThatEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		others := f.poolers[:2]
		if f.coordinator() < 2 {
			others = f.poolers[2:4]
		}
		others[0].end()
		<-others[0].ended
		if others[0].write("b") >= 0 {
			t.Error("a stopped pooler writes though no move waits for it")
		}
		f.kill(others[1])
		f.order(moveToOne)
		time.Sleep(5 * term)
		if got := f.state("first"); got != Prepared {
			t.Errorf("%s, with a killed pooler that is not retired", got)
		}
		options := f.poolers[4].component.options
		options.Orders, options.Retired = []Order{moveToOne}, []string{others[1].component.router.Instance}
		f.poolers[4].component.Reload(options)
		f.waitFor(5*term, "done", func() bool { return f.state("first") == Done })
	})
}

// Changes of other documents, as those of a fleet that restarts, make no pooler send a request: it sends one three times a term, and when
// it has something new to acknowledge.
func TestRequestsAreNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.copier.stop[ActCopy] = true
		f.order(moveToOne)
		f.waitFor(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		before, _ := f.network.MessageCounts()
		for n := range 300 {
			if _, err := f.cluster.Client("other").Put(t.Context(), fmt.Sprint("other/", n), 0, []byte("x"), replication.Fence{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Millisecond)
		}
		after, _ := f.network.MessageCounts()
		if n := after - before; n > 3*2*(requestsPerTerm+1) { // three poolers' requests and their grants, for a term
			t.Errorf("%d messages in a term", n)
		}
	})
}

// The loss of the voters stops no write while no move is under way.
func TestLostVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		for _, p := range f.poolers {
			p.client.SetPartitioned(true)
			p.view.SetPartitioned(true)
		}
		time.Sleep(100 * term)
		for i, p := range f.poolers {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
	})
}

// A move that can't go on is undone, and so is one that the operators no longer want. Writes go on at the old home.
func TestUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		f.copier.stop[ActFinish] = true
		f.order(moveToOne)
		f.waitFor(10*term, "fenced", func() bool { return f.state("first") == Fenced })
		f.waitFor(7*term, "undone by its time", func() bool { return f.state("first") == Undone })
		f.copier.stop[ActCopy] = true
		second := Order{Name: "second", Range: Range{From: "a", To: "c", Cluster: 1}}
		f.order(second)
		f.waitFor(10*term, "copying", func() bool { return f.state("second") == Copying })
		second.Undo = true
		f.order(second)
		f.waitFor(2*term, "undone by order", func() bool { return f.state("second") == Undone })
		time.Sleep(term)
		for i, p := range f.poolers {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
		f.network.SetIsolated("n2", true)
		f.poolers[1].view.SetPartitioned(true)
		f.poolers[1].client.SetPartitioned(true)
		f.order(Order{Name: "third", Range: Range{From: "a", To: "c", Cluster: 1}})
		f.waitFor(30*term, "undone, as one router does not know of it", func() bool { return f.state("third") == Undone })
	})
}
