package gossip

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"

	"threadsail/internal/fleet/bus"
)

// busMessageMarker begins a message of the bus; every other one is JSON. Behind it come the sender's name and the topic, each with its
// length as a uvarint before it, and the body.
const busMessageMarker = 1

const (
	maxTopicBytes = 128
	// maxGossipBytes is the largest body that is also passed on by gossip, whose packets hold 1400 bytes with other words beside it.
	maxGossipBytes = 1 << 10
	// maxConcurrentSends is how many messages may be on their way to connections at once: a descriptor each.
	maxConcurrentSends = 8
)

// Bus is the parts' way to the other poolers, over Peers.
type Bus struct {
	node      *Node
	sendSlots chan struct{}

	mu            sync.Mutex
	handlers      map[string]func(from string, body []byte)
	pending       map[string][]byte // by topic: the newest that waits to be given to all
	pendingTopics []string          // of those topics
	wake          chan struct{}
}

var _ bus.Bus = (*Bus)(nil)

func newBus(p *Node) *Bus {
	return &Bus{node: p, sendSlots: make(chan struct{}, maxConcurrentSends), handlers: map[string]func(string, []byte){}, pending: map[string][]byte{},
		wake: make(chan struct{}, 1)}
}

// Bus is the parts' way to the other poolers.
func (p *Node) Bus() *Bus { return p.bus }

// Self is documented with bus.Bus.
func (b *Bus) Self() string { return b.node.options.Name }

// Members is documented with bus.Bus.
func (b *Bus) Members() []string {
	nodes := b.node.nodes() // by name alone: what they tell of themselves takes longer to read than all else here
	out := make([]string, len(nodes))
	for i, n := range nodes {
		out[i] = n.Name
	}
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (b *Bus) Size() int { return max(len(b.node.nodes()), 1) }

// Send is documented with bus.Bus. To this pooler itself it goes without the network.
func (b *Bus) Send(ctx context.Context, to, topic string, body []byte) error {
	text, err := encodeMessage(b.Self(), topic, body)
	if err != nil {
		return err
	}
	if to == b.Self() {
		b.deliver(text)
		return nil
	}
	select {
	case b.sendSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	sent := make(chan error, 1)
	go func() {
		err := b.node.Send(to, text)
		<-b.sendSlots
		if errors.Is(err, ErrUnknownMember) {
			err = fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
		}
		sent <- err
	}()
	select {
	case err := <-sent:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Broadcast is documented with bus.Bus.
func (b *Bus) Broadcast(topic string, body []byte) {
	text, err := encodeMessage(b.Self(), topic, body)
	if err != nil {
		b.node.log("bus: " + err.Error())
		return
	}
	b.mu.Lock()
	if _, waits := b.pending[topic]; !waits {
		b.pendingTopics = append(b.pendingTopics, topic)
	}
	b.pending[topic] = text
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Handle is documented with bus.Bus.
func (b *Bus) Handle(topic string, f func(from string, body []byte)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handlers[topic] = f
}

// broadcastPending gives all others what waits, the newest of each topic: hundreds of datagrams must hold nobody.
func (b *Bus) broadcastPending() {
	for {
		select {
		case <-b.node.shutdown:
			return
		case <-b.wake:
		}
		for {
			b.mu.Lock()
			if len(b.pendingTopics) == 0 {
				b.mu.Unlock()
				break
			}
			topic := b.pendingTopics[0]
			text := b.pending[topic]
			b.pendingTopics = b.pendingTopics[1:]
			delete(b.pending, topic)
			b.mu.Unlock()
			if len(text) <= maxGossipBytes {
				b.node.broadcasts.QueueBroadcast(broadcast{"bus/" + topic, text})
			}
			for _, n := range b.node.nodes() {
				if n.Name != b.Self() {
					_ = b.node.memberlist.SendBestEffort(n, text)
				}
			}
		}
	}
}

// deliver takes a message of the bus. One that can't be read, or that nobody handles, has no effect.
func (b *Bus) deliver(text []byte) {
	from, topic, body, err := decodeMessage(text)
	if err != nil {
		b.node.log("bus: " + err.Error())
		return
	}
	b.mu.Lock()
	f := b.handlers[topic]
	b.mu.Unlock()
	if f != nil {
		f(from, body)
	}
}

func encodeMessage(from, topic string, body []byte) ([]byte, error) {
	if len(topic) == 0 || len(topic) > maxTopicBytes {
		return nil, fmt.Errorf("a topic of %d bytes", len(topic))
	}
	text := make([]byte, 0, 1+2*binary.MaxVarintLen16+len(from)+len(topic)+len(body))
	text = append(text, busMessageMarker)
	for _, s := range []string{from, topic} {
		text = append(binary.AppendUvarint(text, uint64(len(s))), s...)
	}
	return append(text, body...), nil
}

var errMalformedMessage = errors.New("a message that can't be read")

// decodeMessage undoes seal.
func decodeMessage(text []byte) (from, topic string, body []byte, err error) {
	if len(text) == 0 || text[0] != busMessageMarker {
		return "", "", nil, errMalformedMessage
	}
	text = text[1:]
	for _, s := range []*string{&from, &topic} {
		n, used := binary.Uvarint(text)
		if used <= 0 || n > uint64(len(text)-used) {
			return "", "", nil, errMalformedMessage
		}
		*s, text = string(text[used:used+int(n)]), text[used+int(n):]
	}
	if from == "" || topic == "" || len(topic) > maxTopicBytes {
		return "", "", nil, errMalformedMessage
	}
	return from, topic, text, nil
}
