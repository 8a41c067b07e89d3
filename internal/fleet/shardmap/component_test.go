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

// cells is two clusters' data of the range, as a copier that the test reads.
type cells struct {
	mu    sync.Mutex
	last  Instruction
	acts  []Act
	stop  map[Act]bool // acts that fail for now
	begun func(Act)
}

func (c *cells) Do(_ context.Context, i Instruction) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun != nil {
		c.begun(i.Act)
	}
	if c.stop[i.Act] || !i.Newer(c.last) {
		return errors.New("not now")
	}
	c.last = i
	c.acts = append(c.acts, i.Act)
	return nil
}

// pooler is one process with the part.
type pooler struct {
	part   *Component
	bus    *bustest.Bus
	view   *replicationtest.View
	client *replicationtest.Client
	end    context.CancelFunc
	ended  chan struct{}
}

// fleet is some poolers on one register and one network.
type fleet struct {
	t   *testing.T
	reg *replicationtest.Cluster
	net *bustest.Network
	c   *cells
	p   []*pooler
	n   int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, reg: replicationtest.New(drift), net: bustest.New(1), c: &cells{stop: map[Act]bool{}}}
	f.net.SetDelay(5*time.Millisecond, 5*time.Millisecond)
	for i := range n {
		f.p = append(f.p, f.start(i, nil))
	}
	time.Sleep(3 * term)
	return f
}

func (f *fleet) start(i int, view *replicationtest.View) *pooler {
	f.n++
	name := fmt.Sprint("n", i+1)
	if view == nil {
		view = f.reg.View()
	}
	p := &pooler{bus: f.net.Join(name), view: view, client: f.reg.Client(fmt.Sprintf("%s/%d", name, f.n)), ended: make(chan struct{})}
	p.part = New(Options{Name: name, Epoch: 40, Term: term, MaxClockDrift: drift, MaxPrepared: 20 * term, MaxFenced: 5 * term, Ranges: []Range{{To: "m"}, {From: "m", Cluster: 1}}, Copier: f.c})
	ctx, cancel := context.WithCancel(f.t.Context())
	p.end = cancel
	ground := Runtime{Bus: p.bus, View: p.view, Store: p.client, Log: zerolog.Nop(),
		Leadership: p.client.Campaign(ctx, LeaseName, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: float64(i) / 8})}
	go func() {
		defer close(p.ended)
		_ = p.part.Run(ctx, ground)
	}()
	return p
}

// kill ends a pooler as a crash would: it says and hears nothing from then on, and gives nothing back.
func (f *fleet) kill(p *pooler) {
	p.client.SetPartitioned(true)
	p.bus.Stop()
	p.end()
	<-p.ended
}

func (f *fleet) stop() {
	for _, p := range f.p {
		p.end()
		<-p.ended
	}
	synctest.Wait()
}

func (f *fleet) order(o Order) {
	p := f.p[len(f.p)-1]
	opt := p.part.options
	opt.Orders = []Order{o}
	p.part.Reload(opt)
}

func (f *fleet) document() Document {
	doc, err := f.reg.Client("test").Read(f.t.Context(), MapKey)
	if err != nil {
		f.t.Fatal(err)
	}
	d, err := parseDocument(doc.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return d
}

// until waits for something to come true, for at most a time.
func (f *fleet) until(most time.Duration, what string, is func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !is() {
		if time.Since(began) > most {
			f.t.Fatalf("not within %v: %s; %+v", most, what, f.document())
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

func (f *fleet) state(name string) State {
	m, _ := f.document().Move(name)
	return m.State
}

// holder is who is in office, by the document.
func (f *fleet) holder() int {
	for i, p := range f.p {
		if p.part.options.Name == f.document().Holder {
			return i
		}
	}
	return -1
}

// write is a write of a key by a pooler; home: where it went; -1: refused.
func (p *pooler) write(key string) (home int) {
	w, _ := p.part.router.BeginWrite(key, time.Now().Add(term))
	if w == nil {
		return -1
	}
	defer p.part.router.EndWrite(w)
	if _, ok := p.part.router.AuthorizeSend(w); !ok || !p.part.router.AnswerCounts(w) {
		return -1
	}
	return w.Home
}

var moveToOne = Order{Name: "first", Range: Range{From: "a", To: "c", Cluster: 1}, Source: 0}

// Without a fault a move goes through all states, no router is refused before its fence or behind its switch, and the fence
// lasts for a few words.
func TestMoveWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		if got := f.document().Epoch; got != 40 {
			t.Errorf("the first map's epoch is %d, not the operators'", got)
		}
		f.order(moveToOne)
		var fenced time.Duration
		f.until(10*term, "the move is done", func() bool {
			state := f.state("first")
			for i, p := range f.p {
				home := p.write("b")
				switch {
				case state == Fenced || state == Switched && home < 0: // not all know yet
				case home < 0:
					t.Errorf("%s: router %d is refused", state, i)
				case home != 0 && (state == Prepared || state == Copying) || home != 1 && state == Done:
					t.Errorf("%s: router %d writes to %d", state, i, home)
				}
				if got := p.write("d"); got != 0 {
					t.Errorf("another range: %d", got)
				}
			}
			if state == Fenced {
				fenced += time.Millisecond
			}
			return state == Done
		})
		if fenced == 0 || fenced > term/2 {
			t.Errorf("fenced for %v", fenced)
		}
		t.Logf("fenced for %v at words of 5 to 10 ms; acts %v", fenced, f.c.acts)
	})
}

// A router that is cut off while its range is copied writes for less than a term more, is told when to come again, and the others
// are without writes for no more than a term, the drift, and what the words take. Once it is back it writes to the new home.
func TestRouterCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.c.stop[ActCopy] = true
		f.order(moveToOne)
		f.until(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		lone := f.p[(f.holder()+1)%len(f.p)]
		other := f.p[(f.holder()+2)%len(f.p)]
		f.net.SetIsolated(lone.part.options.Name, true)
		lone.client.SetPartitioned(true)
		lone.view.SetPartitioned(true)
		f.c.mu.Lock()
		f.c.stop[ActCopy] = false
		f.c.mu.Unlock()
		began, last := time.Now(), time.Now()
		var none time.Duration
		f.until(5*term, "done", func() bool {
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
		if w, after := lone.part.router.BeginWrite("b", time.Now()); w != nil || after <= 0 {
			t.Errorf("its client is told to come again after %v", after)
		}
		if home, _, _ := lone.part.router.Home("b"); home != 0 || lone.write("d") != 0 {
			t.Error("reads and other ranges do not go on")
		}
		t.Logf("no writes for %v; the lone router wrote for %v", none, last.Sub(began))
		f.net.SetIsolated(lone.part.options.Name, false)
		lone.client.SetPartitioned(false)
		lone.view.SetPartitioned(false)
		f.until(term, "it writes to the new home", func() bool { return lone.write("b") == 1 })
	})
}

// Whoever holds the moves is killed in each state, and another takes the move up where it stands; a restart from an old copy may
// write nothing before it is as new as its own enrolment.
func TestHolderKilledInEachState(t *testing.T) {
	for _, state := range []State{Prepared, Copying, Fenced, Switched} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				defer f.stop()
				old := f.p[0].view.Restart()
				f.p[0].view.SetPartitioned(false)
				stopped := map[State]Act{Copying: ActCopy, Fenced: ActFinish, Switched: ActClose}[state]
				f.c.stop[stopped] = true
				idle := f.p[(f.holder()+1)%4]
				if state == Prepared {
					idle.view.SetPartitioned(true) // one that does not learn of it
				}
				f.order(moveToOne)
				f.until(8*term, string(state), func() bool { return f.state("first") == state })
				k := f.holder()
				f.kill(f.p[k])
				f.c.mu.Lock()
				f.c.stop[stopped] = false
				f.c.mu.Unlock()
				idle.view.SetPartitioned(false)
				f.p[k] = f.start(k, old)
				for range 10 {
					if home := f.p[k].write("b"); home >= 0 {
						t.Errorf("it writes to %d by an old copy", home)
					}
					time.Sleep(term / 10)
				}
				old.SetPartitioned(false)
				f.until(12*term, "done", func() bool { return f.state("first") == Done })
				for i, p := range f.p {
					f.until(term, "written at the new home", func() bool { return p.write("b") == 1 })
					if got := p.write("d"); got != 0 {
						t.Errorf("router %d writes another range to %d", i, got)
					}
				}
			})
		})
	}
}

// A pooler that has ended in order is not waited for, and one that was killed is, until the operators strike it out.
func TestPoolersThatEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		others := f.p[:2]
		if f.holder() < 2 {
			others = f.p[2:4]
		}
		others[0].end()
		<-others[0].ended
		if others[0].write("b") >= 0 {
			t.Error("it writes though no move waits for it")
		}
		f.kill(others[1])
		f.order(moveToOne)
		time.Sleep(5 * term)
		if got := f.state("first"); got != Prepared {
			t.Errorf("%s, with one dead that nobody has struck out", got)
		}
		opt := f.p[4].part.options
		opt.Orders, opt.Retired = []Order{moveToOne}, []string{others[1].part.router.Instance}
		f.p[4].part.Reload(opt)
		f.until(5*term, "done", func() bool { return f.state("first") == Done })
	})
}

// Changes of other documents, as of a fleet that starts again, make no pooler ask: it asks three times a term, and with news.
func TestAsksAreNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.c.stop[ActCopy] = true
		f.order(moveToOne)
		f.until(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		before, _ := f.net.MessageCounts()
		for n := range 300 {
			if _, err := f.reg.Client("other").Put(t.Context(), fmt.Sprint("other/", n), 0, []byte("x"), replication.Fence{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Millisecond)
		}
		after, _ := f.net.MessageCounts()
		if n := after - before; n > 3*2*(requestsPerTerm+1) { // three poolers' asks and their grants, for a term
			t.Errorf("%d messages in a term", n)
		}
	})
}

// Lost stewards stop no write of a map at rest.
func TestLostStewards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		for _, p := range f.p {
			p.client.SetPartitioned(true)
			p.view.SetPartitioned(true)
		}
		time.Sleep(100 * term)
		for i, p := range f.p {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
	})
}

// A move that can't go on is undone, and so is one that the operators want no more; writes go on at the old home.
func TestUndone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		f.c.stop[ActFinish] = true
		f.order(moveToOne)
		f.until(10*term, "fenced", func() bool { return f.state("first") == Fenced })
		f.until(7*term, "undone by its time", func() bool { return f.state("first") == Undone })
		f.c.stop[ActCopy] = true
		second := Order{Name: "second", Range: Range{From: "a", To: "c", Cluster: 1}}
		f.order(second)
		f.until(10*term, "copying", func() bool { return f.state("second") == Copying })
		second.Undo = true
		f.order(second)
		f.until(2*term, "undone by order", func() bool { return f.state("second") == Undone })
		time.Sleep(term)
		for i, p := range f.p {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
		f.net.SetIsolated("n2", true)
		f.p[1].view.SetPartitioned(true)
		f.p[1].client.SetPartitioned(true)
		f.order(Order{Name: "third", Range: Range{From: "a", To: "c", Cluster: 1}})
		f.until(30*term, "undone, as one router does not know of it", func() bool { return f.state("third") == Undone })
	})
}
