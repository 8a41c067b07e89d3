package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication/replicationtest"
)

// fault is an injected fault. It begins At after the start of the scenario.
type fault struct {
	At, Length time.Duration
	Kind       string
	Node       int // index of the affected pooler; -1 for the leader
}

// scenarioStep is the interval at which a scenario takes tokens and sums the rates in force.
const scenarioStep = 20 * time.Millisecond

// scenario simulates a fleet that takes tokens of the first two limits while faults are injected and healed.
type scenario struct {
	*testFleet
	length time.Duration
	faults []fault
	heals  []scheduledHeal
	excess [2]float64 // by limit: tokens taken in excess of its rate
	usable [2]float64 // by limit: sum of the rates in force at poolers with demand, in the last step
}

// scheduledHeal is the end of a fault at a time of the scenario.
type scheduledHeal struct {
	at   time.Duration
	heal func() // nil once it has been called
}

// runScenario runs a fleet of size poolers with the faults, and returns an error if an invariant was violated.
func runScenario(seed uint64, size int, length time.Duration, faults []fault) error {
	f := &testFleet{network: bustest.New(seed), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(seed, 7))}
	f.network.SetDelay(2*time.Millisecond, 4*time.Millisecond)
	for i := range size {
		f.nodes = append(f.nodes, &node{name: fmt.Sprint("n", i)})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	s := &scenario{testFleet: f, length: length, faults: faults}
	defer s.stop()
	for now := time.Duration(0); now < length; now += scenarioStep {
		s.injectAndHeal(now)
		s.changeDemand(now)
		for i := range s.excess {
			if err := s.takeTokens(now, i); err != nil {
				return err
			}
		}
		time.Sleep(scenarioStep)
		synctest.Wait()
	}
	return s.checkUsage()
}

// stop kills all poolers and waits until they have stopped.
func (s *scenario) stop() {
	for _, n := range s.nodes {
		if n.component != nil {
			s.kill(n)
		}
	}
	s.running.Wait()
}

// injectAndHeal injects the faults that begin in the step at now, and heals those that are over.
func (s *scenario) injectAndHeal(now time.Duration) {
	for _, f := range s.faults {
		if f.At/scenarioStep == now/scenarioStep {
			s.heals = append(s.heals, scheduledHeal{at: now + f.Length, heal: s.inject(f)})
		}
	}
	for i, scheduled := range s.heals {
		if scheduled.heal != nil && now >= scheduled.at {
			scheduled.heal()
			s.heals[i].heal = nil
		}
	}
}

// changeDemand changes the demand of the poolers every two seconds, until three terms before the end.
func (s *scenario) changeDemand(now time.Duration) {
	if now%(2*time.Second) != 0 || now > s.length-3*term {
		return
	}
	for _, n := range s.nodes {
		n.demand = [2]int{s.rng.IntN(4) * s.rng.IntN(6), s.rng.IntN(2)}
	}
	s.nodes[s.rng.IntN(len(s.nodes))].demand = [2]int{30, 10}
}

// takeTokens takes tokens of the i-th limit at all poolers, and returns an error if the rates in force or the tokens taken exceed a bound.
func (s *scenario) takeTokens(now time.Duration, i int) error {
	l := limits.List[i]
	taken := 0
	rates := 0.0
	s.usable[i] = 0
	for _, n := range s.nodes {
		if n.component == nil {
			continue
		}
		taken += n.take(l, n.demand[i])
		rate := n.rateInForce(l)
		rates += rate
		if n.demand[i] > 0 {
			s.usable[i] += rate
		}
	}
	if rates > l.Rate*(1+1e-9) {
		return fmt.Errorf("at %v: limit %s: the rates in force are %.2f a second, want at most %v", now, l.Name, rates, l.Rate)
	}
	s.excess[i] = max(0, s.excess[i]-l.Rate*scenarioStep.Seconds()) + float64(taken)
	size := float64(len(s.nodes))
	started := float64(s.restarts) * max(1, l.Burst*l.Reserve/size)
	if bound := l.Burst + size + started + l.Rate*scenarioStep.Seconds(); s.excess[i] > bound+1e-6 {
		return fmt.Errorf("at %v: limit %s: %.2f tokens were taken in excess of its rate, want at most %.2f", now, l.Name, s.excess[i], bound)
	}
	return nil
}

// take makes a number of attempts to take a token of a limit, and returns how many succeeded.
func (n *node) take(l config.Limit, attempts int) int {
	taken := 0
	for range attempts {
		if _, ok := n.component.Take(l, "k", 1); ok {
			taken++
		}
	}
	return taken
}

// rateInForce returns the rate in force at a pooler for a limit.
func (n *node) rateInForce(l config.Limit) float64 {
	n.component.Client.mu.Lock()
	defer n.component.Client.mu.Unlock()
	b := n.component.buckets[bucketKey(l, "k")]
	if b == nil {
		return 0
	}
	return b.rate(time.Now())
}

// checkUsage returns an error if too little of a limit is usable at the poolers with demand, after all faults have been healed and the
// demand has not changed for three terms. It checks nothing in a fleet of two.
func (s *scenario) checkUsage() error {
	if len(s.nodes) <= 2 {
		return nil
	}
	for i, usable := range s.usable {
		l := limits.List[i]
		if minUsable := 0.95 * (1 - l.Reserve) * l.Rate; usable < minUsable {
			return fmt.Errorf("limit %s: poolers with demand can take %.1f of %v a second: more than the reserve is unused", l.Name, usable, l.Rate)
		}
	}
	return nil
}

// inject injects a fault and returns a function that heals it.
func (f *testFleet) inject(injected fault) (heal func()) {
	n := f.nodes[max(injected.Node, 0)%len(f.nodes)]
	if injected.Node < 0 {
		n = f.leader()
	}
	switch injected.Kind {
	case "cut":
		f.network.SetIsolated(n.name, true)
		return func() { f.network.SetIsolated(n.name, false) }
	case "half":
		return f.cutInHalves()
	case "one way": // the pooler receives no messages
		return f.cutIncoming(n)
	case "no voters":
		voters := n.voters
		voters.SetPartitioned(true)
		return func() { voters.SetPartitioned(false) }
	case "stall":
		b := n.bus
		b.stall()
		return b.resume
	case "slow":
		f.network.SetDelay(100*time.Millisecond, 500*time.Millisecond)
		return func() { f.network.SetDelay(2*time.Millisecond, 4*time.Millisecond) }
	case "loss":
		f.network.SetLoss(0.5, 0.2)
		return func() { f.network.SetLoss(0, 0) }
	default: // "kill"
		if n.component == nil {
			return func() {}
		}
		f.kill(n)
		return func() {
			if n.component == nil {
				f.restarts++
				f.start(n)
			}
		}
	}
}

// cutInHalves partitions the poolers with even indices from those with odd indices.
func (f *testFleet) cutInHalves() (heal func()) {
	var halves [2][]string
	for i, n := range f.nodes {
		halves[i%2] = append(halves[i%2], n.name)
	}
	f.network.SetCut(halves[0], halves[1], true)
	return func() { f.network.SetCut(halves[0], halves[1], false) }
}

// cutIncoming cuts the links from all other poolers to a pooler.
func (f *testFleet) cutIncoming(n *node) (heal func()) {
	for _, other := range f.nodes {
		f.network.SetOneWayCut(other.name, n.name, true)
	}
	return func() {
		for _, other := range f.nodes {
			f.network.SetOneWayCut(other.name, n.name, false)
		}
	}
}

var faultKinds = []string{"cut", "half", "one way", "no voters", "stall", "slow", "loss", "kill"}

func testBound(t *testing.T, size, maxFaults int) {
	rapid.Check(t, func(rt *rapid.T) {
		const length = 12 * time.Second
		faults := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{At: time.Duration(rapid.IntRange(0, 60).Draw(rt, "at")) * 100 * time.Millisecond,
				Length: time.Duration(rapid.IntRange(1, 25).Draw(rt, "length")) * 100 * time.Millisecond,
				Kind:   rapid.SampledFrom(faultKinds).Draw(rt, "kind"), Node: rapid.IntRange(-1, size-1).Draw(rt, "node")}
		}), 0, maxFaults).Draw(rt, "faults")
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = runScenario(seed, size, length, faults) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// Whichever poolers are partitioned, stalled or killed, and whichever messages are lost or delayed: the sum of the rates in force never
// exceeds a limit, the tokens taken in excess of its rate stay within the bound, and after all faults have been healed most of each limit
// is usable.
func TestBoundWith2Poolers(t *testing.T) { testBound(t, 2, 8) }

func TestBoundWith12Poolers(t *testing.T) { testBound(t, 12, 12) }

// The same bounds hold for 300 poolers, of which 210, including the leader, are killed at once, and 30 are isolated.
func TestBoundWith300Poolers(t *testing.T) {
	if testing.Short() {
		t.Skip("300 poolers")
	}
	faults := []fault{{At: 2500 * time.Millisecond, Length: 1500 * time.Millisecond, Kind: "stall", Node: -1}}
	for i := range 210 {
		faults = append(faults, fault{At: 5 * time.Second, Length: time.Second, Kind: "kill", Node: i - 1})
	}
	for i := range 30 {
		faults = append(faults, fault{At: 4 * time.Second, Length: 3 * time.Second, Kind: "cut", Node: 299 - i})
	}
	var err error
	synctest.Test(t, func(*testing.T) { err = runScenario(1, 300, 10*time.Second, faults) })
	if err != nil {
		t.Fatal(err)
	}
}

// A leader whose lease expires and is renewed under the same token keeps its allocator, so that the rates in force stay within the limits.
// With a new allocator they reached 130 a second for a limit of 100 in four of five runs.
func TestBoundAfterLeaseRenewal(t *testing.T) {
	faults := []fault{
		{At: 0, Length: 300 * time.Millisecond, Kind: "stall", Node: 1},
		{At: 3600 * time.Millisecond, Length: 1400 * time.Millisecond, Kind: "one way", Node: 0},
		{At: 600 * time.Millisecond, Length: 400 * time.Millisecond, Kind: "one way", Node: -1},
		{At: 2800 * time.Millisecond, Length: 600 * time.Millisecond, Kind: "no voters", Node: -1},
	}
	for range 10 {
		var err error
		synctest.Test(t, func(*testing.T) { err = runScenario(1, 2, 12*time.Second, faults) })
		if err != nil {
			t.Fatal(err)
		}
	}
}
