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
	// maxGossipBytes is the size of the largest message that is also gossiped, in bytes. A gossip packet holds 1400 bytes,
	// including other messages.
	maxGossipBytes = 1 << 10
	// maxConcurrentSends is the maximum number of messages sent over TCP at the same time; each uses a file descriptor.
	maxConcurrentSends = 8
)

// Bus is the bus.Bus of a Node, by which components exchange messages with other poolers.
type Bus struct {
	node      *Node
	sendSlots chan struct{}
	wake      chan struct{} // wakes broadcastPending

	mu            sync.Mutex                                // guards the fields below
	handlers      map[string]func(from string, body []byte) // by topic
	pending       map[string][]byte                         // by topic: the newest message to broadcast
	pendingTopics []string                                  // topics in pending, ordered by their first pending message
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

// Self implements bus.Bus.
func (b *Bus) Self() string { return b.node.options.Name }

// Members implements bus.Bus.
func (b *Bus) Members() []string {
	nodes := b.node.nodes() // not Node.Members, which also decodes each meta, at a higher cost than the rest of this method
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	slices.Sort(names)
	return names
}

// Size implements bus.Bus.
func (b *Bus) Size() int { return max(len(b.node.nodes()), 1) }

// Send implements bus.Bus. It delivers a message to this pooler itself directly, without the network.
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
	go func() { // ends with the send, after tcpTimeout at the latest; ctx may end earlier
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

// send sends a message to one pooler and blocks on the network. It returns bus.ErrUnknownMember if the pooler is not considered
// alive.
func (b *Bus) send(to string, message []byte) error {
	err := b.node.Send(to, message)
	if errors.Is(err, ErrUnknownMember) {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	return err
}

// Broadcast implements bus.Bus.
func (b *Bus) Broadcast(topic string, body []byte) {
	message, err := encodeMessage(b.Self(), topic, body)
	if err != nil {
		b.node.options.Log.Warn().Err(err).Str("topic", topic).Msg("gossip: message can't be encoded")
		return
	}
	b.mu.Lock()
	if _, isPending := b.pending[topic]; !isPending {
		b.pendingTopics = append(b.pendingTopics, topic)
	}
	b.pending[topic] = message
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Handle implements bus.Bus.
func (b *Bus) Handle(topic string, handler func(from string, body []byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = handler
}

// broadcastPending broadcasts the pending messages, the newest one of each topic, until the node is closed. It runs on a
// separate goroutine, because sending hundreds of datagrams must not delay the callers of Broadcast.
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

// nextPending removes the first pending topic and returns it with its message. ok is false if nothing is pending.
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

// broadcast queues a message for gossip, if it is small enough, and sends a datagram to each of the other poolers.
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

// deliver calls the handler of a message's topic. It logs and ignores a message that can't be decoded, and ignores one without
// a handler.
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
