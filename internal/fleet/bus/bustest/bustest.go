// Package bustest is a network of buses within one process, for tests of what poolers send each other. Links are cut, one way or both
// ways, slow or lossy, and poolers join and stop. The package reads the time from package time, so testing/synctest can provide the
// clock; what is lost, delayed or duplicated follows from the seed and the order of the calls. It is for tests alone.
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

const (
	// detectionDelay is how long a pooler that can't be reached stays among the members of the others, as it does by gossip.
	detectionDelay = 3 * time.Second
	// cutSendTimeout is how long a message into a cut link takes to fail, if it fails and its context does not end earlier.
	cutSendTimeout = 2 * time.Second
)

// link is one direction between two poolers.
type link struct{ from, to string }

// Network joins buses. It is safe for concurrent use.
type Network struct {
	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	buses         map[string]*Bus    // by pooler
	cutSince      map[link]time.Time // of the links that are cut
	delay, jitter time.Duration      // a message takes from delay to delay+jitter
	dropRate      float64            // share of the datagrams that are lost
	duplicateRate float64            // share of the delivered datagrams that are delivered twice
	sends         int                // messages to one pooler so far
	broadcasts    int                // datagrams so far, one for each receiver
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 0)), buses: map[string]*Bus{}, cutSince: map[link]time.Time{}}
}

// Join adds a pooler, in place of one of the same name.
func (n *Network) Join(name string) *Bus {
	b := &Bus{network: n, name: name, handlers: map[string]bus.Handler{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buses[name] = b
	return b
}

// SetOneWayCut cuts the link from one pooler to another, or heals it. The opposite link stays as it is.
func (n *Network) SetOneWayCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	if !cut {
		delete(n.cutSince, l)
		return
	}
	if _, cutBefore := n.cutSince[l]; !cutBefore {
		n.cutSince[l] = time.Now()
	}
}

// SetCut cuts each link between the poolers of two sets, both ways, or heals it.
func (n *Network) SetCut(a, b []string, cut bool) {
	for _, first := range a {
		for _, second := range b {
			if first != second {
				n.SetOneWayCut(first, second, cut)
				n.SetOneWayCut(second, first, cut)
			}
		}
	}
}

// SetIsolated cuts a pooler off from all that have joined, or heals that.
func (n *Network) SetIsolated(name string, isolated bool) {
	n.SetCut([]string{name}, n.poolers(), isolated)
}

// SetDelay makes each later message take from delay to delay+jitter, so that messages can overtake each other.
func (n *Network) SetDelay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
	n.jitter = jitter
}

// SetLoss makes the network lose a share of the later datagrams, and deliver a share of the others twice.
func (n *Network) SetLoss(dropRate, duplicateRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropRate = dropRate
	n.duplicateRate = duplicateRate
}

// MessageCounts returns the messages to one pooler, and the datagrams to all with one counted for each receiver, that all poolers have
// sent so far.
func (n *Network) MessageCounts() (sends, broadcasts int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sends, n.broadcasts
}

// poolers returns the names of the poolers that have joined, sorted.
func (n *Network) poolers() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.buses))
}

// linkOpen reports whether a link is not cut. The caller holds the mutex.
func (n *Network) linkOpen(from, to string) bool {
	_, cut := n.cutSince[link{from, to}]
	return !cut
}

// detectedDown reports whether a link has been cut for so long that its ends know. The caller holds the mutex.
func (n *Network) detectedDown(from, to string) bool {
	since, cut := n.cutSince[link{from, to}]
	return cut && time.Since(since) >= detectionDelay
}

// deliverLater delivers a message after the network's delay, which it returns, if the receiver has not stopped and the link is open
// then. The caller holds the mutex.
func (n *Network) deliverLater(from, to, topic string, body []byte) time.Duration {
	delay := n.delay
	if n.jitter > 0 {
		delay += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	time.AfterFunc(delay, func() {
		n.mu.Lock()
		receiver, joined := n.buses[to]
		arrives := joined && n.linkOpen(from, to)
		n.mu.Unlock()
		if arrives {
			receiver.deliver(from, topic, slices.Clone(body))
		}
	})
	return delay
}

// sendOutcome is what becomes of a message to one pooler.
type sendOutcome int

const (
	sendDelivered sendOutcome = iota // it is on its way
	sendLost                         // it is lost, and the sender does not learn that
	sendFails                        // it is lost, and the sender waits in vain
)

// send sends a message to one pooler, and returns what becomes of it and how long the sender waits.
func (n *Network) send(from, to, topic string, body []byte) (outcome sendOutcome, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sends++
	switch {
	case n.linkOpen(from, to):
		return sendDelivered, n.deliverLater(from, to, topic, body)
	case n.rng.IntN(2) == 0:
		return sendLost, 0
	}
	return sendFails, cutSendTimeout
}

// sendDatagram sends one pooler a datagram, which may be lost or delivered twice.
func (n *Network) sendDatagram(from, to, topic string, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broadcasts++
	if !n.linkOpen(from, to) || n.rng.Float64() < n.dropRate {
		return
	}
	n.deliverLater(from, to, topic, body)
	if n.rng.Float64() < n.duplicateRate {
		n.deliverLater(from, to, topic, body)
	}
}

// Bus is one pooler's. It implements bus.Bus.
type Bus struct {
	network *Network
	name    string

	mu       sync.Mutex             // guards the fields below
	handlers map[string]bus.Handler // by topic
	stopped  bool
}

var _ bus.Bus = (*Bus)(nil)

// Stop makes the pooler leave: it sends and receives nothing any more, and is no member.
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

// Self implements bus.Bus.
func (b *Bus) Self() string { return b.name }

// Members implements bus.Bus: the poolers that have joined and not stopped, but for those to or from which the link has been cut for
// detectionDelay.
func (b *Bus) Members() []string {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	var members []string
	for name := range b.network.buses {
		if name == b.name || !b.network.detectedDown(b.name, name) && !b.network.detectedDown(name, b.name) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// Size implements bus.Bus.
func (b *Bus) Size() int { return max(len(b.Members()), 1) }

// Send implements bus.Bus. A message into a cut link is lost: by the seed the sender learns nothing of that, or gets an error after
// cutSendTimeout.
func (b *Bus) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !slices.Contains(b.Members(), to) || b.isStopped() {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	outcome, wait := b.network.send(b.name, to, topic, body)
	if outcome == sendLost {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if outcome == sendFails {
		return fmt.Errorf("bustest: %s can't be reached", to)
	}
	return nil
}

// Broadcast implements bus.Bus.
func (b *Bus) Broadcast(topic string, body []byte) {
	if b.isStopped() {
		return
	}
	for _, to := range b.network.poolers() {
		if to != b.name {
			b.network.sendDatagram(b.name, to, topic, body)
		}
	}
}

// Handle implements bus.Bus.
func (b *Bus) Handle(topic string, handler bus.Handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = handler
}

func (b *Bus) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// deliver calls the handler of a message's topic, if there is one and the pooler has not stopped.
func (b *Bus) deliver(from, topic string, body []byte) {
	if handler := b.handlerOf(topic); handler != nil {
		handler(from, body)
	}
}

// handlerOf returns the handler of a topic; nil if there is none, or if the pooler has stopped.
func (b *Bus) handlerOf(topic string) bus.Handler {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil
	}
	return b.handlers[topic]
}
