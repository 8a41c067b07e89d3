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

// detectionDelay is how long a member that can't be reached stays among the members of the others, as by gossip.
const detectionDelay = 3 * time.Second

// Network joins buses. It is safe for use by several goroutines.
type Network struct {
	mu                      sync.Mutex
	rng                     *rand.Rand
	buses                   map[string]*Bus
	cutSince                map[[2]string]time.Time // from, to: since when nothing passes
	delay, jitter           time.Duration
	dropRate, duplicateRate float64
	sends, broadcasts       int
}

// New is a network without a fault.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 0)), buses: map[string]*Bus{}, cutSince: map[[2]string]time.Time{}}
}

// Join adds a pooler. One of the same name that has stopped is replaced.
func (n *Network) Join(name string) *Bus {
	b := &Bus{network: n, name: name, handlers: map[string]func(string, []byte){}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buses[name] = b
	return b
}

// SetOneWayCut cuts what goes from one pooler to another, or heals it; the way back stays as it is.
func (n *Network) SetOneWayCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{from, to}
	if _, was := n.cutSince[link]; cut && !was {
		n.cutSince[link] = time.Now()
	} else if !cut {
		delete(n.cutSince, link)
	}
}

// SetCut cuts each link between the two sets, both ways, or heals it.
func (n *Network) SetCut(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				n.SetOneWayCut(x, y, cut)
				n.SetOneWayCut(y, x, cut)
			}
		}
	}
}

// SetIsolated cuts a pooler off from all that have joined, or heals that.
func (n *Network) SetIsolated(name string, cut bool) { n.SetCut([]string{name}, n.names(), cut) }

// SetDelay has each message take from delay to delay+jitter from now on: those that jitter parts overtake each other.
func (n *Network) SetDelay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.jitter = delay, jitter
}

// SetLoss loses a share of the datagrams and has another share of them come twice from now on.
func (n *Network) SetLoss(drop, twice float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropRate, n.duplicateRate = drop, twice
}

// MessageCounts counts the messages given to one pooler and the datagrams given to all, by all poolers so far.
func (n *Network) MessageCounts() (sends, casts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sends, n.broadcasts
}

func (n *Network) names() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.buses))
}

// linkOpen tells whether a message may leave for a pooler now. The caller has the lock.
func (n *Network) linkOpen(from, to string) bool {
	_, cut := n.cutSince[[2]string{from, to}]
	return !cut
}

// deliverLater has a message come to a pooler some time from now, if it is still there and the link was not cut meanwhile. The caller
// has the lock.
func (n *Network) deliverLater(from, to, topic string, body []byte) time.Duration {
	d := n.delay
	if n.jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	time.AfterFunc(d, func() {
		n.mu.Lock()
		b, ok := n.buses[to]
		ok = ok && n.linkOpen(from, to)
		n.mu.Unlock()
		if ok {
			b.deliver(from, topic, slices.Clone(body))
		}
	})
	return d
}

// Bus is one pooler's. It implements bus.Bus.
type Bus struct {
	network *Network
	name    string

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
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	if b.network.buses[b.name] == b {
		delete(b.network.buses, b.name)
	}
}

// Self is documented with bus.Bus.
func (b *Bus) Self() string { return b.name }

// Members are those that have joined and not stopped, but for those that have been cut off from here, either way, for 3 s.
func (b *Bus) Members() []string {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	var out []string
	for name := range b.network.buses {
		if name == b.name || !b.network.detectedDown(b.name, name) && !b.network.detectedDown(name, b.name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (b *Bus) Size() int { return max(len(b.Members()), 1) }

func (n *Network) detectedDown(from, to string) bool {
	since, cut := n.cutSince[[2]string{from, to}]
	return cut && time.Since(since) >= detectionDelay
}

// Send is documented with bus.Bus. Into a cut link a message is lost, and by the seed the sender hears nothing of that or waits
// until ctx ends, two seconds at most.
func (b *Bus) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !slices.Contains(b.Members(), to) || b.isStopped() {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	b.network.mu.Lock()
	b.network.sends++
	var wait time.Duration
	passes := b.network.linkOpen(b.name, to)
	unheard := !passes && b.network.rng.IntN(2) == 0
	if passes {
		wait = b.network.deliverLater(b.name, to, topic, body)
	}
	b.network.mu.Unlock()
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

// Broadcast is documented with bus.Bus.
func (b *Bus) Broadcast(topic string, body []byte) {
	if b.isStopped() {
		return
	}
	for _, to := range b.network.names() {
		if to == b.name {
			continue
		}
		b.network.mu.Lock()
		b.network.broadcasts++
		if b.network.linkOpen(b.name, to) && b.network.rng.Float64() >= b.network.dropRate {
			b.network.deliverLater(b.name, to, topic, body)
			if b.network.rng.Float64() < b.network.duplicateRate {
				b.network.deliverLater(b.name, to, topic, body)
			}
		}
		b.network.mu.Unlock()
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

func (b *Bus) deliver(from, topic string, body []byte) {
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
