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
func TestBoundOf2(t *testing.T) { testBound(t, 2, 8) }

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
