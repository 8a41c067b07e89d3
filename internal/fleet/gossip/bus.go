package gossip

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"threadsail/internal/fleet/bus"
)

const (
	// maxGossipBytes is the largest message that is also passed on by gossip, whose packets hold 1400 bytes with other messages
	// beside it.
	maxGossipBytes = 1 << 10
	// maxConcurrentSends is how many messages may be on their way to connections at the same time: a descriptor each.
	maxConcurrentSends = 8
)

// Bus is the components' way to the other poolers, over a Node.
type Bus struct {
	node      *Node
	sendSlots chan struct{}
	wake      chan struct{} // wakes broadcastPending

	mu            sync.Mutex // guards the fields below
	handlers      map[string]func(from string, body []byte)
	pending       map[string][]byte // by topic: the newest message that waits to be broadcast
	pendingTopics []string          // in the order of their first messages
}

var _ bus.Bus = (*Bus)(nil)

func newBus(n *Node) *Bus {
	return &Bus{
		node:      n,
		sendSlots: make(chan struct{}, maxConcurrentSends),
		wake:      make(chan struct{}, 1),
		handlers:  map[string]func(string, []byte){},
		pending:   map[string][]byte{},
	}
}

// Self is documented with bus.Bus.
func (b *Bus) Self() string { return b.node.options.Name }

// Members is documented with bus.Bus.
func (b *Bus) Members() []string {
	nodes := b.node.nodes() // by name alone: decoding their metas takes longer than all else here
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	slices.Sort(names)
	return names
}

// Size is documented with bus.Bus.
func (b *Bus) Size() int { return max(len(b.node.nodes()), 1) }

// Send is documented with bus.Bus. A message to this pooler itself goes without the network.
func (b *Bus) Send(ctx context.Context, to, topic string, body []byte) error {
	message, err := encodeMessage(b.Self(), topic, body)
	if err != nil {
		return err
	}
	if to == b.Self() {
		b.deliver(message)
		return nil
	}
	select {
	case b.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	sent := make(chan error, 1)
	go func() { // ends with the send, after tcpTimeout at the latest; the context may end before
		defer func() { <-b.sendSlots }()
		sent <- b.send(to, message)
	}()
	select {
	case err := <-sent:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send waits for the network.
func (b *Bus) send(to string, message []byte) error {
	err := b.node.Send(to, message)
	if errors.Is(err, ErrUnknownMember) {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	return err
}

// Broadcast is documented with bus.Bus.
func (b *Bus) Broadcast(topic string, body []byte) {
	message, err := encodeMessage(b.Self(), topic, body)
	if err != nil {
		b.node.options.Log.Warn().Err(err).Str("topic", topic).Msg("gossip: message can't be encoded")
		return
	}
	b.mu.Lock()
	if _, waits := b.pending[topic]; !waits {
		b.pendingTopics = append(b.pendingTopics, topic)
	}
	b.pending[topic] = message
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Handle is documented with bus.Bus.
func (b *Bus) Handle(topic string, handler func(from string, body []byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = handler
}

// broadcastPending sends all other poolers the messages that wait, the newest of each topic, until the node is closed. It has
// a goroutine of its own, because hundreds of datagrams must not delay a caller of Broadcast.
func (b *Bus) broadcastPending() {
	for {
		select {
		case <-b.node.shutdown:
			return
		case <-b.wake:
		}
		for {
			topic, message, ok := b.nextPending()
			if !ok {
				break
			}
			b.broadcast(topic, message)
		}
	}
}

// nextPending takes the message that has waited longest.
func (b *Bus) nextPending() (topic string, message []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pendingTopics) == 0 {
		return "", nil, false
	}
	topic = b.pendingTopics[0]
	b.pendingTopics = b.pendingTopics[1:]
	message = b.pending[topic]
	delete(b.pending, topic)
	return topic, message, true
}

func (b *Bus) broadcast(topic string, message []byte) {
	if len(message) <= maxGossipBytes {
		b.node.broadcasts.QueueBroadcast(broadcast{"bus/" + topic, message})
	}
	for _, n := range b.node.nodes() {
		if n.Name != b.Self() {
			_ = b.node.memberlist.SendBestEffort(n, message)
		}
	}
}

// deliver passes a message to its topic's handler. One that can't be decoded, or that nobody handles, has no effect.
func (b *Bus) deliver(message []byte) {
	from, topic, body, err := decodeMessage(message)
	if err != nil {
		b.node.options.Log.Warn().Err(err).Msg("gossip: message can't be decoded")
		return
	}
	b.mu.Lock()
	handler := b.handlers[topic]
	b.mu.Unlock()
	if handler != nil {
		handler(from, body)
	}
}
