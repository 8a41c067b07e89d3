// Package bustest is a network of buses within one process, for tests of what poolers say to each other: links are cut, one way
// or both, slow or lossy, and poolers come and go. It reads the time plainly, so that testing/synctest gives it a clock; what
// is lost, late or doubled follows from the seed and the order of the calls.
package bustest

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
)

// noticed is how long a member that can't be reached stays among the members of the others, as by gossip.
const noticed = 3 * time.Second

// Network joins buses. It is safe for use by several goroutines.
type Network struct {
	mu            sync.Mutex
	rng           *rand.Rand
	buses         map[string]*Bus
	cut           map[[2]string]time.Time // from, to: since when nothing passes
	delay, jitter time.Duration
	drop, twice   float64
	sends, casts  int
}

// New is a network without a fault.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 0)), buses: map[string]*Bus{}, cut: map[[2]string]time.Time{}}
}

// Join adds a pooler. One of the same name that has stopped is replaced.
func (n *Network) Join(name string) *Bus {
	b := &Bus{n: n, name: name, handlers: map[string]func(string, []byte){}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buses[name] = b
	return b
}

// OneWay cuts what goes from one pooler to another, or heals it; the way back stays as it is.
func (n *Network) OneWay(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{from, to}
	if _, was := n.cut[link]; cut && !was {
		n.cut[link] = time.Now()
	} else if !cut {
		delete(n.cut, link)
	}
}

// Cut cuts each link between the two sets, both ways, or heals it.
func (n *Network) Cut(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				n.OneWay(x, y, cut)
				n.OneWay(y, x, cut)
			}
		}
	}
}

// Isolate cuts a pooler off from all that have joined, or heals that.
func (n *Network) Isolate(name string, cut bool) { n.Cut([]string{name}, n.names(), cut) }

// Delay has each message take from delay to delay+jitter from now on: those that jitter parts overtake each other.
func (n *Network) Delay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter = delay, jitter
}

// Drop loses a share of the datagrams and has another share of them come twice from now on.
func (n *Network) Drop(drop, twice float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop, n.twice = drop, twice
}

// Said counts the messages given to one pooler and the datagrams given to all, by all poolers so far.
func (n *Network) Said() (sends, casts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sends, n.casts
}

func (n *Network) names() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.buses))
}

// passes tells whether a message may leave for a pooler now. The caller has the lock.
func (n *Network) passes(from, to string) bool {
	_, cut := n.cut[[2]string{from, to}]
	return !cut
}

// after has a message come to a pooler some time from now, if it is still there and the link was not cut meanwhile. The caller
// has the lock.
func (n *Network) after(from, to, topic string, body []byte) time.Duration {
	d := n.delay
	if n.jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	time.AfterFunc(d, func() {
		n.mu.Lock()
		b, ok := n.buses[to]
		ok = ok && n.passes(from, to)
		n.mu.Unlock()
		if ok {
			b.hear(from, topic, slices.Clone(body))
		}
	})
	return d
}

// Bus is one pooler's. It implements bus.Bus.
type Bus struct {
	n    *Network
	name string

	mu       sync.Mutex
	handlers map[string]func(from string, body []byte)
	stopped  bool
}

var _ bus.Bus = (*Bus)(nil)

// Stop has the pooler leave: it hears and says nothing any more, and is no member.
func (b *Bus) Stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	if b.n.buses[b.name] == b {
		delete(b.n.buses, b.name)
	}
}

// Self is documented with bus.Bus.
func (b *Bus) Self() string { return b.name }

// Members are those that have joined and not stopped, but for those that have been cut off from here, either way, for 3 s.
func (b *Bus) Members() []string {
	b.n.mu.Lock()
	defer b.n.mu.Unlock()
	var out []string
	for name := range b.n.buses {
		if name == b.name || !b.n.gone(b.name, name) && !b.n.gone(name, b.name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (b *Bus) Size() int { return max(len(b.Members()), 1) }

func (n *Network) gone(from, to string) bool {
	since, cut := n.cut[[2]string{from, to}]
	return cut && time.Since(since) >= noticed
}

// Send is documented with bus.Bus. Into a cut link a message is lost, and by the seed the sender hears nothing of that or waits
// until ctx ends, two seconds at most.
func (b *Bus) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !slices.Contains(b.Members(), to) || b.isStopped() {
		return fmt.Errorf("%w: %s", bus.ErrUnknown, to)
	}
	b.n.mu.Lock()
	b.n.sends++
	var wait time.Duration
	passes := b.n.passes(b.name, to)
	unheard := !passes && b.n.rng.IntN(2) == 0
	if passes {
		wait = b.n.after(b.name, to, topic, body)
	}
	b.n.mu.Unlock()
	switch {
	case unheard:
		return nil
	case !passes:
		wait = 2 * time.Second
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
	}
	if !passes {
		return fmt.Errorf("bustest: %s can't be reached", to)
	}
	return nil
}

// Cast is documented with bus.Bus.
func (b *Bus) Cast(topic string, body []byte) {
	if b.isStopped() {
		return
	}
	for _, to := range b.n.names() {
		if to == b.name {
			continue
		}
		b.n.mu.Lock()
		b.n.casts++
		if b.n.passes(b.name, to) && b.n.rng.Float64() >= b.n.drop {
			b.n.after(b.name, to, topic, body)
			if b.n.rng.Float64() < b.n.twice {
				b.n.after(b.name, to, topic, body)
			}
		}
		b.n.mu.Unlock()
	}
}

// Handle is documented with bus.Bus.
func (b *Bus) Handle(topic string, f func(from string, body []byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = f
}

func (b *Bus) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

func (b *Bus) hear(from, topic string, body []byte) {
	b.mu.Lock()
	f := b.handlers[topic]
	if b.stopped {
		f = nil
	}
	b.mu.Unlock()
	if f != nil {
		f(from, body)
	}
}
