package quota

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

const (
	term  = time.Second
	drift = 50 * time.Millisecond
)

// TestMain plays fewer random days than rapid would: each is twelve seconds of twelve poolers.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", "8")
	}
	os.Exit(m.Run())
}

var limits = config.Limits{Revision: 1, List: []config.Limit{
	{Name: "hot", On: config.LimitRequests, Tenants: true, Rate: 200, Burst: 40, Reserve: 0.25},
	{Name: "new", On: config.LimitConnections, Rate: 100, Burst: 5, Reserve: 0.4},
	tenantLimit,
}}

// stalled is a bus whose process can be stopped: what it was about to say goes out when it goes on, and what comes waits. Its
// clock is slow by skew over a term.
type stalled struct {
	*bustest.Bus
	skew time.Duration
	said *atomic.Int64 // bytes

	mu   sync.Mutex
	wait chan struct{} // closed when it goes on; nil: it runs
}

func (s *stalled) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait == nil {
		s.wait = make(chan struct{})
	}
}

func (s *stalled) cont() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wait != nil {
		close(s.wait)
		s.wait = nil
	}
}

func (s *stalled) runs() {
	s.mu.Lock()
	wait := s.wait
	s.mu.Unlock()
	if wait != nil {
		<-wait
	}
}

func (s *stalled) Send(ctx context.Context, to, topic string, body []byte) error {
	s.runs()
	s.said.Add(int64(len(body)))
	return s.Bus.Send(context.WithoutCancel(ctx), to, topic, body)
}

func (s *stalled) Handle(topic string, f func(string, []byte)) {
	s.Bus.Handle(topic, func(from string, body []byte) {
		s.runs()
		var g Grant
		if topic == topicGrant && json.Unmarshal(body, &g) == nil {
			g.Term += s.skew
			body, _ = json.Marshal(g)
		}
		f(from, body)
	})
}

// node is one pooler; a process of it runs or not.
type node struct {
	name    string
	bus     *stalled
	part    *Component
	steward *replicationtest.Client
	end     context.CancelFunc
	starts  int
	demand  [2]int // wants of each limit in a step
}

// world is a fleet in a bubble.
type world struct {
	net      *bustest.Network
	register *replicationtest.Cluster
	nodes    []*node
	rng      *rand.Rand
	running  sync.WaitGroup
	fresh    int // processes started again
	bytes    atomic.Int64
}

func (w *world) start(n *node) {
	n.starts++
	instance := fmt.Sprint(n.name, "/", n.starts)
	n.bus = &stalled{Bus: w.net.Join(n.name), skew: time.Duration(w.rng.Int64N(int64(drift))), said: &w.bytes}
	n.steward = w.register.Client(instance)
	n.part = New(Options{Instance: instance, Term: term, Drift: drift, FleetSize: len(w.nodes), Limits: limits})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	steward, spread := n.steward, w.rng.Float64()
	ground := fleet.Runtime{Bus: n.bus, View: w.register.View(), Store: steward, Log: zerolog.Nop(), Audit: func(audit.Record) {},
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return steward.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: spread})
		}}
	part := n.part
	w.running.Go(func() { _ = part.Run(ctx, ground) })
}

func (w *world) kill(n *node) {
	n.end()
	n.bus.cont()
	n.bus.Stop()
	n.part = nil
}

// deals is the pooler that deals.
func (w *world) deals() *node {
	for _, n := range w.nodes {
		if n.part != nil {
			n.part.mu.Lock()
			deals := n.part.allocator != nil
			n.part.mu.Unlock()
			if deals {
				return n
			}
		}
	}
	return w.nodes[0]
}

// fault is one thing that goes wrong, for so long.
type fault struct {
	At, For time.Duration
	What    string
	Node    int // -1: who deals
}

func play(seed uint64, size int, length time.Duration, faults []fault) (err error) {
	w := &world{net: bustest.New(seed), register: replicationtest.New(drift), rng: rand.New(rand.NewPCG(seed, 7))}
	w.net.SetDelay(2*time.Millisecond, 4*time.Millisecond)
	for i := range size {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i)})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	defer w.running.Wait()
	defer func() {
		for _, n := range w.nodes {
			if n.part != nil {
				w.kill(n)
			}
		}
	}()
	const step = 20 * time.Millisecond
	var excess, wanted [2]float64
	var undo []func()
	var undoAt []time.Duration
	for now := time.Duration(0); now < length; now += step {
		for _, f := range faults {
			if f.At/step == now/step {
				heal := w.strike(f)
				undo, undoAt = append(undo, heal), append(undoAt, now+f.For)
			}
		}
		for i, at := range undoAt {
			if undo[i] != nil && now >= at {
				undo[i]()
				undo[i] = nil
			}
		}
		if now%(2*time.Second) == 0 && now <= length-3*term {
			for _, n := range w.nodes {
				n.demand = [2]int{w.rng.IntN(4) * w.rng.IntN(6), w.rng.IntN(2)}
			}
			w.nodes[w.rng.IntN(size)].demand = [2]int{30, 10}
		}
		rates := [2]float64{}
		wanted = [2]float64{}
		for i, l := range limits.List[:2] {
			got := 0
			for _, n := range w.nodes {
				if n.part == nil {
					continue
				}
				for range n.demand[i] {
					if _, ok := n.part.Take(l, "k", 1); ok {
						got++
					}
				}
				n.part.Client.mu.Lock()
				if b := n.part.buckets[l.Name+"/k"]; b != nil {
					rates[i] += b.rate(time.Now())
					if n.demand[i] > 0 {
						wanted[i] += b.rate(time.Now())
					}
				}
				n.part.Client.mu.Unlock()
			}
			if rates[i] > l.Rate*(1+1e-9) {
				return fmt.Errorf("at %v %s: rates of %.2f a second are in force, the limit is %v", now, l.Name, rates[i], l.Rate)
			}
			excess[i] = max(0, excess[i]-l.Rate*step.Seconds()) + float64(got)
			started := float64(w.fresh) * max(1, l.Burst*l.Reserve/float64(size))
			if most := l.Burst + float64(size) + started + l.Rate*step.Seconds(); excess[i] > most+1e-6 {
				return fmt.Errorf("at %v %s: %.2f over its rate were taken, the bound is %.2f", now, l.Name, excess[i], most)
			}
		}
		time.Sleep(step)
		synctest.Wait()
	}
	for i, l := range limits.List[:2] { // all is healed, and wants have stood for three terms
		if least := 0.95 * (1 - l.Reserve) * l.Rate; size > 2 && wanted[i] < least {
			return fmt.Errorf("%s: who has wants may take %.1f of %v a second: more lies unused than the reserve", l.Name, wanted[i], l.Rate)
		}
	}
	return nil
}

// strike does a fault, and returns what undoes it.
func (w *world) strike(f fault) (heal func()) {
	n := w.nodes[max(f.Node, 0)%len(w.nodes)]
	if f.Node < 0 {
		n = w.deals()
	}
	switch f.What {
	case "cut":
		w.net.SetIsolated(n.name, true)
		return func() { w.net.SetIsolated(n.name, false) }
	case "half":
		var left, right []string
		for i, n := range w.nodes {
			if i%2 == 0 {
				left = append(left, n.name)
			} else {
				right = append(right, n.name)
			}
		}
		w.net.SetCut(left, right, true)
		return func() { w.net.SetCut(left, right, false) }
	case "one way": // it hears nobody
		for _, o := range w.nodes {
			w.net.SetOneWayCut(o.name, n.name, true)
		}
		return func() {
			for _, o := range w.nodes {
				w.net.SetOneWayCut(o.name, n.name, false)
			}
		}
	case "no stewards":
		steward := n.steward
		steward.SetPartitioned(true)
		return func() { steward.SetPartitioned(false) }
	case "stall":
		b := n.bus
		b.stop()
		return b.cont
	case "slow":
		w.net.SetDelay(100*time.Millisecond, 500*time.Millisecond)
		return func() { w.net.SetDelay(2*time.Millisecond, 4*time.Millisecond) }
	case "loss":
		w.net.SetLoss(0.5, 0.2)
		return func() { w.net.SetLoss(0, 0) }
	default: // "kill"
		if n.part == nil {
			return func() {}
		}
		w.kill(n)
		return func() {
			if n.part == nil {
				w.fresh++
				w.start(n)
			}
		}
	}
}

var what = []string{"cut", "half", "one way", "no stewards", "stall", "slow", "loss", "kill"}

func testBound(t *testing.T, size, most int) {
	rapid.Check(t, func(rt *rapid.T) {
		const length = 12 * time.Second
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{At: time.Duration(rapid.IntRange(0, 60).Draw(rt, "at")) * 100 * time.Millisecond,
				For:  time.Duration(rapid.IntRange(1, 25).Draw(rt, "for")) * 100 * time.Millisecond,
				What: rapid.SampledFrom(what).Draw(rt, "what"), Node: rapid.IntRange(-1, size-1).Draw(rt, "node")}
		}), 0, most).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = play(seed, size, length, faults) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Whatever is cut, stalled, killed, lost or late, and whoever deals: the rates in force never sum up to more than a limit, and
// what is taken over it stays under the bound; once all is healed most of each limit is used.
func TestBoundOf2(t *testing.T)  { testBound(t, 2, 8) }
func TestBoundOf12(t *testing.T) { testBound(t, 12, 12) }

// The same at 300, of which 210 are killed at once, the dealer among them, and 30 are cut off.
func TestBoundOf300(t *testing.T) {
	if testing.Short() {
		t.Skip("300 poolers")
	}
	faults := []fault{{At: 2500 * time.Millisecond, For: 1500 * time.Millisecond, What: "stall", Node: -1}}
	for i := range 210 {
		faults = append(faults, fault{At: 5 * time.Second, For: time.Second, What: "kill", Node: i - 1})
	}
	for i := range 30 {
		faults = append(faults, fault{At: 4 * time.Second, For: 3 * time.Second, What: "cut", Node: 299 - i})
	}
	var err error
	synctest.Test(t, func(*testing.T) { err = play(1, 300, 10*time.Second, faults) })
	if err != nil {
		t.Fatal(err)
	}
}

func TestLevel(t *testing.T) {
	for _, c := range []struct {
		total float64
		wants []float64
		want  float64
	}{
		{10, nil, math.Inf(1)},
		{10, []float64{3, 3}, math.Inf(1)},
		{10, []float64{8, 8}, 5},
		{10, []float64{1, 20, 20, 2}, 3.5},
		{10, []float64{0, 12}, 10},
	} {
		if got := waterLevel(c.total, slices.Clone(c.wants)); got != c.want {
			t.Errorf("%v among %v: %v, want %v", c.total, c.wants, got, c.want)
		}
	}
}

// A pooler goes by the newest answer alone, from its ask on: not by one of an older holder, one that was overtaken, or one that
// came when it was over.
func TestRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limits.List[0]
		p := NewClient("a/1", term, 10, limits)
		ask := func() uint64 {
			p.Take(l, "k", 1)
			a, _, _ := p.NextRequest()
			return a.Number
		}
		grant := func(token, number uint64) Grant {
			return Grant{Token: token, Number: number, Term: term, Quotas: map[string]float64{"hot/k": 50}}
		}
		rate := func() float64 { return p.Metrics().Rate["hot"] }
		p.ObserveLeader("h", 7)
		first := ask()
		time.Sleep(term / 2)
		second := ask()
		if p.ApplyGrant("g", grant(6, second)) || rate() != 5 {
			t.Error("took an older holder's answer")
		}
		if !p.ApplyGrant("h", grant(7, second)) || rate() != 55 {
			t.Errorf("an answer was refused, or gives %v", rate())
		}
		if p.ApplyGrant("h", grant(7, first)) {
			t.Error("took an answer that was overtaken")
		}
		if a, _, _ := p.NextRequest(); a.AppliedNumber != second {
			t.Errorf("goes by the answer to ask %d and tells %d", second, a.AppliedNumber)
		}
		p.ObserveLeader("i", 8)
		if a, _, _ := p.NextRequest(); a.AppliedNumber != 0 || a.Held["hot/k"] != 50 {
			t.Errorf("tells the next holder %+v", a)
		}
		time.Sleep(term - time.Millisecond)
		if rate() != 55 {
			t.Error("over before its end")
		}
		late := ask()
		time.Sleep(time.Millisecond)
		if rate() != 5 {
			t.Error("a slice goes on")
		}
		time.Sleep(term)
		if p.ApplyGrant("i", grant(8, late)) {
			t.Error("took an answer that was over")
		}
	})
}

// A new holder deals a pooler no more than it tells, counts that for others until it is over, and deals anew once all have told
// or all earlier slices are over.
func TestLearning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewAllocator(9, term, drift, 3, limits)
		deal := func(from string, number uint64, held, want float64) float64 {
			a := Request{Instance: from, Number: number, Wants: map[string]float64{"hot/k": want}}
			if held > 0 {
				a.Held = map[string]float64{"hot/k": held}
			}
			g, ok := d.Allocate(from, a)
			if !ok {
				t.Errorf("%s: ask %d refused", from, number)
			}
			return g.Quotas["hot/k"]
		}
		if got := deal("a", 1, 100, 30); got != 30 {
			t.Errorf("a holds 100 and wants 30: %v", got)
		}
		if got := deal("b", 1, 0, 500); got != 0 {
			t.Errorf("b holds none: %v", got)
		}
		if _, ok := d.Allocate("a", Request{Instance: "a", Number: 1}); ok {
			t.Error("answered an ask twice")
		}
		if got := deal("c", 1, 10, 10); got != 10 || d.Learning() {
			t.Errorf("c holds 10: %v; learning %v after all have told", got, d.Learning())
		}
		if got := deal("b", 2, 0, 500); got != 40 { // 150 less the 100 and 10 that may still be in force
			t.Errorf("b, while a may go by what it held: %v", got)
		}
		time.Sleep(term + drift)
		if got := deal("b", 3, 0, 500); got != 150 {
			t.Errorf("b, once all are over: %v", got)
		}
		if e := NewAllocator(10, term, drift, 3, limits); !e.Learning() {
			t.Error("a new holder does not learn")
		} else if time.Sleep(term + drift); e.Learning() {
			t.Error("learns after all is over")
		}
	})
}

// A set of a higher revision in the file of who deals reaches all others through the documents, and
// the sum is within the lower limit two terms later. A lower revision changes nothing.
func TestChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{net: bustest.New(1), register: replicationtest.New(drift), rng: rand.New(rand.NewPCG(1, 7))}
		for i := range 5 {
			w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i)})
		}
		for _, n := range w.nodes {
			w.start(n)
		}
		run := func(d time.Duration) (rate float64) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				rate = 0
				for _, n := range w.nodes {
					n.part.Take(n.part.Limits().List[0], "k", 1)
					rate += n.part.Metrics().Rate["hot"]
				}
			}
			return rate
		}
		if rate := run(5 * time.Second); rate < 150 || rate > 200 {
			t.Errorf("%v a second of a limit of 200", rate)
		}
		lower := config.Limits{Revision: 7, List: slices.Clone(limits.List)}
		lower.List[0].Rate = 40
		w.deals().part.Propose(lower)
		if rate := run(2*term + drift); rate > 40*(1+1e-9) {
			t.Errorf("%v a second of a limit that is 40 now", rate)
		}
		w.nodes[1].part.Propose(limits)
		run(term)
		for _, n := range w.nodes {
			if got := n.part.Limits().Revision; got != 7 {
				t.Errorf("%s goes by revision %d", n.name, got)
			}
			w.kill(n)
		}
		w.running.Wait()
	})
}

var _ bus.Bus = (*stalled)(nil)
