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
	{Name: "hot", Target: config.LimitRequests, Tenants: true, Rate: 200, Burst: 40, Reserve: 0.25},
	{Name: "new", Target: config.LimitConnections, Rate: 100, Burst: 5, Reserve: 0.4},
	tenantLimit,
}}

// stallableBus is the bus of a process that can be stalled: what it was about to send is sent once it resumes, and what arrives
// waits. Its clock is slow by skew over a term.
type stallableBus struct {
	*bustest.Bus
	skew      time.Duration
	sentBytes *atomic.Int64

	mu      sync.Mutex
	resumed chan struct{} // closed when the process resumes; nil: it runs
}

func (s *stallableBus) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *stallableBus) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

func (s *stallableBus) waitUntilRunning() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (s *stallableBus) Send(ctx context.Context, to, topic string, body []byte) error {
	s.waitUntilRunning()
	s.sentBytes.Add(int64(len(body)))
	return s.Bus.Send(context.WithoutCancel(ctx), to, topic, body)
}

func (s *stallableBus) Handle(topic string, f func(string, []byte)) {
	s.Bus.Handle(topic, func(from string, body []byte) {
		s.waitUntilRunning()
		var g Grant
		if topic == topicGrant && json.Unmarshal(body, &g) == nil {
			g.Term += s.skew
			body, _ = json.Marshal(g)
		}
		f(from, body)
	})
}

// node is one pooler. component is that of its running process; nil: none runs.
type node struct {
	name      string
	bus       *stallableBus
	component *Component
	voters    *replicationtest.Client
	end       context.CancelFunc
	starts    int
	demand    [2]int // tokens of each limit that are wanted in a step
}

// world is a fleet within a synctest bubble.
type world struct {
	network   *bustest.Network
	cluster   *replicationtest.Cluster
	nodes     []*node
	rng       *rand.Rand
	running   sync.WaitGroup
	restarts  int // of processes
	sentBytes atomic.Int64
}

func (w *world) start(n *node) {
	n.starts++
	instance := fmt.Sprint(n.name, "/", n.starts)
	n.bus = &stallableBus{Bus: w.network.Join(n.name), skew: time.Duration(w.rng.Int64N(int64(drift))), sentBytes: &w.sentBytes}
	n.voters = w.cluster.Client(instance)
	n.component = New(Options{Instance: instance, Term: term, Drift: drift, FleetSize: len(w.nodes), Limits: limits})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	voters, jitter := n.voters, w.rng.Float64()
	runtime := fleet.Runtime{Bus: n.bus, View: w.cluster.View(), Store: voters, Log: zerolog.Nop(), Audit: func(audit.Record) {},
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return voters.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: jitter})
		}}
	component := n.component
	w.running.Go(func() { _ = component.Run(ctx, runtime) })
}

func (w *world) kill(n *node) {
	n.end()
	n.bus.resume()
	n.bus.Stop()
	n.component = nil
}

// leader returns the pooler that allocates, or the first.
func (w *world) leader() *node {
	for _, n := range w.nodes {
		if n.component != nil {
			n.component.mu.Lock()
			leads := n.component.allocating
			n.component.mu.Unlock()
			if leads {
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
	Node    int // -1: the leader
}

// dayStep is the step of a day: in each, tokens are taken and the rates in force are summed.
const dayStep = 20 * time.Millisecond

// day is a fleet that takes tokens of the first two limits while faults come and go.
type day struct {
	*world
	length time.Duration
	faults []fault
	heals  []scheduledHeal
	excess [2]float64 // by limit: tokens that were taken above its rate
	wanted [2]float64 // by limit: rates in force at poolers with wants, as of the last step
}

// scheduledHeal heals a fault at a time of the day.
type scheduledHeal struct {
	at   time.Duration
	heal func() // nil: done
}

// play runs a fleet for a time with the faults, and returns how an invariant was violated, if one was.
func play(seed uint64, size int, length time.Duration, faults []fault) error {
	w := &world{network: bustest.New(seed), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(seed, 7))}
	w.network.SetDelay(2*time.Millisecond, 4*time.Millisecond)
	for i := range size {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i)})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	d := &day{world: w, length: length, faults: faults}
	defer d.end()
	for now := time.Duration(0); now < length; now += dayStep {
		d.injectAndHeal(now)
		d.changeDemand(now)
		for i := range d.excess {
			if err := d.takeTokens(now, i); err != nil {
				return err
			}
		}
		time.Sleep(dayStep)
		synctest.Wait()
	}
	return d.checkUsage()
}

// end kills all poolers and waits for them.
func (d *day) end() {
	for _, n := range d.nodes {
		if n.component != nil {
			d.kill(n)
		}
	}
	d.running.Wait()
}

// injectAndHeal injects the faults that begin in a step, and heals those that are over.
func (d *day) injectAndHeal(now time.Duration) {
	for _, f := range d.faults {
		if f.At/dayStep == now/dayStep {
			d.heals = append(d.heals, scheduledHeal{at: now + f.For, heal: d.inject(f)})
		}
	}
	for i, scheduled := range d.heals {
		if scheduled.heal != nil && now >= scheduled.at {
			scheduled.heal()
			d.heals[i].heal = nil
		}
	}
}

// changeDemand changes what the poolers want, each two seconds up to three terms before the end.
func (d *day) changeDemand(now time.Duration) {
	if now%(2*time.Second) != 0 || now > d.length-3*term {
		return
	}
	for _, n := range d.nodes {
		n.demand = [2]int{d.rng.IntN(4) * d.rng.IntN(6), d.rng.IntN(2)}
	}
	d.nodes[d.rng.IntN(len(d.nodes))].demand = [2]int{30, 10}
}

// takeTokens takes tokens of the ith limit at all poolers, and holds the rates in force and what was taken against the bounds.
func (d *day) takeTokens(now time.Duration, i int) error {
	l := limits.List[i]
	taken := 0
	rates := 0.0
	d.wanted[i] = 0
	for _, n := range d.nodes {
		if n.component == nil {
			continue
		}
		taken += n.take(l, n.demand[i])
		rate := n.rateInForce(l)
		rates += rate
		if n.demand[i] > 0 {
			d.wanted[i] += rate
		}
	}
	if rates > l.Rate*(1+1e-9) {
		return fmt.Errorf("at %v %s: rates of %.2f a second are in force, the limit is %v", now, l.Name, rates, l.Rate)
	}
	d.excess[i] = max(0, d.excess[i]-l.Rate*dayStep.Seconds()) + float64(taken)
	size := float64(len(d.nodes))
	started := float64(d.restarts) * max(1, l.Burst*l.Reserve/size)
	if most := l.Burst + size + started + l.Rate*dayStep.Seconds(); d.excess[i] > most+1e-6 {
		return fmt.Errorf("at %v %s: %.2f over its rate were taken, the bound is %.2f", now, l.Name, d.excess[i], most)
	}
	return nil
}

// take tries to take tokens of a limit, and returns how many were taken.
func (n *node) take(l config.Limit, wants int) int {
	taken := 0
	for range wants {
		if _, ok := n.component.Take(l, "k", 1); ok {
			taken++
		}
	}
	return taken
}

// rateInForce returns the rate of a limit that is in force at a pooler.
func (n *node) rateInForce(l config.Limit) float64 {
	n.component.Client.mu.Lock()
	defer n.component.Client.mu.Unlock()
	b := n.component.buckets[bucketKey(l, "k")]
	if b == nil {
		return 0
	}
	return b.rate(time.Now())
}

// checkUsage checks that most of each limit is used, once all faults are healed and wants have stood for three terms.
func (d *day) checkUsage() error {
	if len(d.nodes) <= 2 {
		return nil
	}
	for i, wanted := range d.wanted {
		l := limits.List[i]
		if least := 0.95 * (1 - l.Reserve) * l.Rate; wanted < least {
			return fmt.Errorf("%s: those with wants may take %.1f of %v a second: more than the reserve is unused", l.Name, wanted, l.Rate)
		}
	}
	return nil
}

// inject injects a fault, and returns what heals it.
func (w *world) inject(f fault) (heal func()) {
	n := w.nodes[max(f.Node, 0)%len(w.nodes)]
	if f.Node < 0 {
		n = w.leader()
	}
	switch f.What {
	case "cut":
		w.network.SetIsolated(n.name, true)
		return func() { w.network.SetIsolated(n.name, false) }
	case "half":
		return w.cutInHalves()
	case "one way": // it receives nothing
		return w.cutIncoming(n)
	case "no voters":
		voters := n.voters
		voters.SetPartitioned(true)
		return func() { voters.SetPartitioned(false) }
	case "stall":
		b := n.bus
		b.stall()
		return b.resume
	case "slow":
		w.network.SetDelay(100*time.Millisecond, 500*time.Millisecond)
		return func() { w.network.SetDelay(2*time.Millisecond, 4*time.Millisecond) }
	case "loss":
		w.network.SetLoss(0.5, 0.2)
		return func() { w.network.SetLoss(0, 0) }
	default: // "kill"
		if n.component == nil {
			return func() {}
		}
		w.kill(n)
		return func() {
			if n.component == nil {
				w.restarts++
				w.start(n)
			}
		}
	}
}

// cutInHalves cuts every second pooler off from the others.
func (w *world) cutInHalves() (heal func()) {
	var halves [2][]string
	for i, n := range w.nodes {
		halves[i%2] = append(halves[i%2], n.name)
	}
	w.network.SetCut(halves[0], halves[1], true)
	return func() { w.network.SetCut(halves[0], halves[1], false) }
}

// cutIncoming cuts the links from all others to a pooler.
func (w *world) cutIncoming(n *node) (heal func()) {
	for _, other := range w.nodes {
		w.network.SetOneWayCut(other.name, n.name, true)
	}
	return func() {
		for _, other := range w.nodes {
			w.network.SetOneWayCut(other.name, n.name, false)
		}
	}
}

var faultKinds = []string{"cut", "half", "one way", "no voters", "stall", "slow", "loss", "kill"}

func testBound(t *testing.T, size, most int) {
	rapid.Check(t, func(rt *rapid.T) {
		const length = 12 * time.Second
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{At: time.Duration(rapid.IntRange(0, 60).Draw(rt, "at")) * 100 * time.Millisecond,
				For:  time.Duration(rapid.IntRange(1, 25).Draw(rt, "for")) * 100 * time.Millisecond,
				What: rapid.SampledFrom(faultKinds).Draw(rt, "what"), Node: rapid.IntRange(-1, size-1).Draw(rt, "node")}
		}), 0, most).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = play(seed, size, length, faults) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Whatever is cut, stalled, killed, lost or late, and whoever leads: the rates in force never sum up to more than a limit, what is
// taken over it stays under the bound, and once all faults are healed most of each limit is used.
func TestBoundOf2(t *testing.T)  { testBound(t, 2, 8) }
func TestBoundOf12(t *testing.T) { testBound(t, 12, 12) }

// The same at 300, of which 210 are killed at once, the leader among them, and 30 are cut off.
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

// A leader whose lease lapses and is renewed under the same token goes on with what it has allocated: the rates in force stay within the
// limits. With an allocator that began anew they reached 130 a second of a limit of 100, in four plays of five.
func TestBoundAfterLapse(t *testing.T) {
	faults := []fault{
		{At: 0, For: 300 * time.Millisecond, What: "stall", Node: 1},
		{At: 3600 * time.Millisecond, For: 1400 * time.Millisecond, What: "one way", Node: 0},
		{At: 600 * time.Millisecond, For: 400 * time.Millisecond, What: "one way", Node: -1},
		{At: 2800 * time.Millisecond, For: 600 * time.Millisecond, What: "no voters", Node: -1},
	}
	for range 10 {
		var err error
		synctest.Test(t, func(*testing.T) { err = play(1, 2, 12*time.Second, faults) })
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestWaterLevel(t *testing.T) {
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

// A pooler applies the newest grant alone, from its request on: not one of an earlier leader, one that was overtaken, or one that
// arrives after its end.
func TestApplyGrantRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := limits.List[0]
		client := NewClient("a/1", term, 10, limits)
		request := func() uint64 {
			client.Take(l, "k", 1)
			r, _, _ := client.NextRequest()
			return r.Number
		}
		grant := func(token, number uint64) Grant {
			return Grant{Token: token, Number: number, Term: term, Quotas: map[string]float64{"hot/k": 50}}
		}
		rate := func() float64 { return client.Metrics().Rate["hot"] }
		client.ObserveLeader("h", 7)
		first := request()
		time.Sleep(term / 2)
		second := request()
		if client.ApplyGrant("g", grant(6, second)) || rate() != 5 {
			t.Error("applied an earlier leader's grant")
		}
		if !client.ApplyGrant("h", grant(7, second)) || rate() != 55 {
			t.Errorf("a grant was refused, or gives %v", rate())
		}
		if client.ApplyGrant("h", grant(7, first)) {
			t.Error("applied a grant that was overtaken")
		}
		if r, _, _ := client.NextRequest(); r.AppliedNumber != second {
			t.Errorf("applies the grant of request %d and reports %d", second, r.AppliedNumber)
		}
		client.ObserveLeader("i", 8)
		if r, _, _ := client.NextRequest(); r.AppliedNumber != 0 || r.Held["hot/k"] != 50 {
			t.Errorf("reports to the next leader %+v", r)
		}
		time.Sleep(term - time.Millisecond)
		if rate() != 55 {
			t.Error("the quota has ended before its time")
		}
		late := request()
		time.Sleep(time.Millisecond)
		if rate() != 5 {
			t.Error("the quota goes on after its end")
		}
		time.Sleep(term)
		if client.ApplyGrant("i", grant(8, late)) {
			t.Error("applied a grant that has ended")
		}
	})
}

// A new leader grants a pooler no more than the pooler reports, counts that against others until it has ended, and allocates anew once
// all poolers have reported or all earlier quotas have ended.
func TestLearning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := NewAllocator(9, term, drift, 3, limits)
		allocate := func(from string, number uint64, held, want float64) float64 {
			r := Request{Instance: from, Number: number, Wants: map[string]float64{"hot/k": want}}
			if held > 0 {
				r.Held = map[string]float64{"hot/k": held}
			}
			g, ok := allocator.Allocate(from, r)
			if !ok {
				t.Errorf("%s: request %d refused", from, number)
			}
			return g.Quotas["hot/k"]
		}
		if got := allocate("a", 1, 100, 30); got != 30 {
			t.Errorf("a holds 100 and wants 30: %v", got)
		}
		if got := allocate("b", 1, 0, 500); got != 0 {
			t.Errorf("b holds none: %v", got)
		}
		if _, ok := allocator.Allocate("a", Request{Instance: "a", Number: 1}); ok {
			t.Error("answered a request twice")
		}
		if got := allocate("c", 1, 10, 10); got != 10 || allocator.Learning() {
			t.Errorf("c holds 10: %v; learning %v after all have reported", got, allocator.Learning())
		}
		if got := allocate("b", 2, 0, 500); got != 40 { // 150 less the 100 and 10 that may still be in force
			t.Errorf("b, while a may apply what it held: %v", got)
		}
		time.Sleep(term + drift)
		if got := allocate("b", 3, 0, 500); got != 150 {
			t.Errorf("b, once all quotas have ended: %v", got)
		}
		if next := NewAllocator(10, term, drift, 3, limits); !next.Learning() {
			t.Error("a new leader does not learn")
		} else if time.Sleep(term + drift); next.Learning() {
			t.Error("learns after all earlier quotas have ended")
		}
	})
}

// Limits of a higher revision in the leader's file reach all other poolers through the documents, and the sum is within the lower
// limit two terms later. A lower revision changes nothing.
func TestChangeOfLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{network: bustest.New(1), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(1, 7))}
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
					n.component.Take(n.component.Limits().List[0], "k", 1)
					rate += n.component.Metrics().Rate["hot"]
				}
			}
			return rate
		}
		if rate := run(5 * time.Second); rate < 150 || rate > 200 {
			t.Errorf("%v a second of a limit of 200", rate)
		}
		lower := config.Limits{Revision: 7, List: slices.Clone(limits.List)}
		lower.List[0].Rate = 40
		w.leader().component.Propose(lower)
		if rate := run(2*term + drift); rate > 40*(1+1e-9) {
			t.Errorf("%v a second of a limit that is 40 now", rate)
		}
		w.nodes[1].component.Propose(limits)
		run(term)
		for _, n := range w.nodes {
			if got := n.component.Limits().Revision; got != 7 {
				t.Errorf("%s applies revision %d", n.name, got)
			}
			w.kill(n)
		}
		w.running.Wait()
	})
}

var _ bus.Bus = (*stallableBus)(nil)
