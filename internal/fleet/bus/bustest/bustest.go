// Package bustest simulates a network of buses within one process, for tests of components that exchange messages. Tests can cut links in
// one or both directions, delay messages, lose and duplicate datagrams, and add and stop poolers. The package uses the clock of package
// time, which testing/synctest can replace. Which messages are lost, delayed or duplicated depends only on the seed and the order of the
// calls. Only tests use the package.
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
	// detectionDelay is the time for which an unreachable pooler remains among the members, as it does with gossip.
	detectionDelay = 3 * time.Second
	// cutSendTimeout is the time after which a send on a cut link fails, if it fails and its context does not end earlier.
	cutSendTimeout = 2 * time.Second
)

// link is the connection from one pooler to another, in one direction.
type link struct{ from, to string }

// Network is a network of buses. It is safe for concurrent use.
type Network struct {
	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	buses         map[string]*Bus    // by name of the pooler
	cutSince      map[link]time.Time // start of the cut of each link that is cut
	delay, jitter time.Duration      // a message takes a time in [delay, delay+jitter)
	dropRate      float64            // fraction of the datagrams that are lost
	duplicateRate float64            // fraction of the delivered datagrams that are delivered twice
	sends         int                // number of messages sent to one pooler
	broadcasts    int                // number of datagrams sent, counted for each receiver
}

// New returns a network without faults. seed determines the random decisions of the network.
func New(seed uint64) *Network {
	return &Network{rng: rand.New(rand.NewPCG(seed, 0)), buses: map[string]*Bus{}, cutSince: map[link]time.Time{}}
}

// Join adds a pooler and returns its bus. It replaces a pooler of the same name.
func (n *Network) Join(name string) *Bus {
	b := &Bus{network: n, name: name, handlers: map[string]bus.Handler{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.buses[name] = b
	return b
}

// SetOneWayCut cuts or restores the link from one pooler to another. The link in the opposite direction does not change.
func (n *Network) SetOneWayCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cutLink := link{from, to}
	if !cut {
		delete(n.cutSince, cutLink)
		return
	}
	if _, wasCut := n.cutSince[cutLink]; !wasCut {
		n.cutSince[cutLink] = time.Now()
	}
}

// SetCut cuts or restores all links between the poolers of two sets, in both directions.
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

// SetIsolated cuts or restores all links between a pooler and the others that have joined.
func (n *Network) SetIsolated(name string, isolated bool) {
	n.SetCut([]string{name}, n.poolers(), isolated)
}

// SetDelay delays each later message by a random time in [delay, delay+jitter). With jitter, messages can overtake each other.
func (n *Network) SetDelay(delay, jitter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
	n.jitter = jitter
}

// SetLoss makes the network drop a fraction of the later datagrams, and deliver a fraction of the others twice.
func (n *Network) SetLoss(dropRate, duplicateRate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropRate = dropRate
	n.duplicateRate = duplicateRate
}

// MessageCounts returns the numbers of messages to one pooler and of datagrams that all poolers have sent. A broadcast counts as one
// datagram for each receiver.
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

// linkOpen reports whether a link is not cut. The caller must hold n.mu.
func (n *Network) linkOpen(from, to string) bool {
	_, cut := n.cutSince[link{from, to}]
	return !cut
}

// detectedDown reports whether a link has been cut for at least detectionDelay. The caller must hold n.mu.
func (n *Network) detectedDown(from, to string) bool {
	since, cut := n.cutSince[link{from, to}]
	return cut && time.Since(since) >= detectionDelay
}

// deliverLater schedules the delivery of a message and returns its delay. The message is lost if the receiver has stopped or the link is
// cut at the time of delivery. The caller must hold n.mu.
func (n *Network) deliverLater(from, to, topic string, body []byte) time.Duration {
	delay := n.delay
	if n.jitter > 0 {
		delay += time.Duration(n.rng.Int64N(int64(n.jitter)))
	}
	time.AfterFunc(delay, func() {
		n.mu.Lock()
		receiver, joined := n.buses[to]
		delivered := joined && n.linkOpen(from, to)
		n.mu.Unlock()
		if delivered {
			receiver.deliver(from, topic, slices.Clone(body))
		}
	})
	return delay
}

// sendOutcome is the outcome of sending a message to one pooler.
type sendOutcome int

const (
	sendDelivered sendOutcome = iota // the message is scheduled for delivery
	sendLost                         // the message is lost, and the sender gets no error
	sendFails                        // the message is lost, and the sender gets an error after a timeout
)

// send sends a message to one pooler, and returns the outcome and the time for which the sender must wait.
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

// sendDatagram sends a datagram to one pooler. The datagram may be lost or delivered twice.
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

// Bus is the bus of one pooler. It implements bus.Bus.
type Bus struct {
	network *Network
	name    string

	mu       sync.Mutex             // guards the fields below
	handlers map[string]bus.Handler // by topic
	stopped  bool
}

var _ bus.Bus = (*Bus)(nil)

// Stop makes the pooler leave the network. It no longer sends or receives messages and is no longer a member.
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

// Members implements bus.Bus. It returns the poolers that have joined and not stopped, except those to or from which the link has been cut
// for detectionDelay.
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

// Send implements bus.Bus. A message on a cut link is lost; at random, Send returns nil at once or an error after cutSendTimeout.
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
		return fmt.Errorf("bustest: %s is unreachable: link is cut", to)
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

// isStopped reports whether the pooler has stopped.
func (b *Bus) isStopped() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stopped
}

// deliver calls the handler of a message's topic, if the topic has one and the pooler has not stopped.
func (b *Bus) deliver(from, topic string, body []byte) {
	if handler := b.handlerOf(topic); handler != nil {
		handler(from, body)
	}
}

// handlerOf returns the handler of a topic, or nil if there is none or the pooler has stopped.
func (b *Bus) handlerOf(topic string) bus.Handler {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return nil
	}
	return b.handlers[topic]
}
