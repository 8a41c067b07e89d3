package gossip

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"threadsail/internal/fleet/traffic"
)

// memberlist's types of messages, the first byte of each.
const (
	typePushPull = 6
	typeCompound = 7
	typeUser     = 8
	typeCRC      = 12
)

// trafficKindFrame is what packets take around their messages: checksums and lengths.
const trafficKindFrame = "frame"

var memberlistKinds = map[byte]string{0: "ping", 1: "ping_req", 2: "ack", 3: "suspect", 4: "alive", 5: "dead", typePushPull: "push_pull", 11: "nack", 13: "error"}

// leaderMessageKinds are those of the messages that are no bus's, by what they begin with.
var leaderMessageKinds = map[string]string{}

func init() {
	for _, kind := range []string{"word", "want", "list", "lost", "found"} {
		leaderMessageKinds[`{"kind":"`+kind+`"`] = "duty/" + kind
	}
}

// countingTransport counts what passes a transport. memberlist takes packets and streams off channels, so each needs one of its own.
type countingTransport struct {
	memberlist.NodeAwareTransport
	counter      *traffic.Counter
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	shutdown     chan struct{}
	shutdownOnce sync.Once
	goroutines   sync.WaitGroup
}

func newCountingTransport(t memberlist.NodeAwareTransport, c *traffic.Counter) memberlist.NodeAwareTransport {
	if c == nil {
		return t
	}
	n := &countingTransport{NodeAwareTransport: t, counter: c, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), shutdown: make(chan struct{})}
	n.goroutines.Go(n.forward)
	return n
}

// forward counts what comes. What comes after the end is read by nobody, but taken, so that the transport can end.
func (n *countingTransport) forward() {
	for {
		select {
		case p := <-n.NodeAwareTransport.PacketCh():
			countPacket(p.Buf, n.counter.In)
			select {
			case n.packets <- p:
			case <-n.shutdown:
			}
		case c := <-n.NodeAwareTransport.StreamCh():
			select {
			case n.streams <- &countingConn{Conn: c, counter: n.counter}:
			case <-n.shutdown:
				_ = c.Close()
			}
		case <-n.shutdown:
			return
		}
	}
}

func (n *countingTransport) PacketCh() <-chan *memberlist.Packet { return n.packets }
func (n *countingTransport) StreamCh() <-chan net.Conn           { return n.streams }

func (n *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return n.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (n *countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	at, err := n.NodeAwareTransport.WriteToAddress(b, a)
	if err == nil {
		countPacket(b, n.counter.Out)
	}
	return at, err
}

func (n *countingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return n.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (n *countingTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	c, err := n.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counter: n.counter}, nil
}

func (n *countingTransport) Shutdown() error {
	err := n.NodeAwareTransport.Shutdown()
	n.shutdownOnce.Do(func() { close(n.shutdown) })
	n.goroutines.Wait()
	return err
}

// countPacket counts the messages of a packet, each by its kind, and what is around them.
func countPacket(b []byte, add func(kind string, messages, bytes int)) {
	frame := 0
	if len(b) > 5 && b[0] == typeCRC {
		b, frame = b[5:], 5
	}
	if len(b) < 2 || b[0] != typeCompound || len(b) < 2+2*int(b[1]) {
		add(messageKind(b), 1, len(b))
	} else {
		lengths, parts := b[2:2+2*int(b[1])], b[2+2*int(b[1]):]
		frame += len(b) - len(parts)
		for ; len(lengths) > 0; lengths = lengths[2:] {
			size := min(int(binary.BigEndian.Uint16(lengths)), len(parts))
			add(messageKind(parts[:size]), 1, size)
			parts = parts[size:]
		}
		frame += len(parts)
	}
	if frame > 0 {
		add(trafficKindFrame, 0, frame)
	}
}

// messageKind is what a message is called: a bus's by its topic, one of the list duty by its own kind.
func messageKind(b []byte) string {
	switch {
	case len(b) == 0:
		return traffic.Other
	case b[0] == typeUser:
		return userMessageKind(b[1:])
	}
	if kind, ok := memberlistKinds[b[0]]; ok {
		return kind
	}
	return traffic.Other
}

func userMessageKind(b []byte) string {
	if _, topic, _, err := decodeMessage(b); err == nil {
		return topic
	}
	if end := bytes.IndexByte(b, ','); end > 0 {
		if kind, ok := leaderMessageKinds[string(b[:end])]; ok {
			return kind
		}
	}
	return traffic.Other
}

// userMessageHeader begins a user's message on a stream; its length and itself follow.
const userMessageHeader = "\x08\x81\xaaUserMsgLen"

// streamKind tells a stream's kind by the first bytes that were read from it or written to it.
func streamKind(b []byte) string {
	rest, ok := bytes.CutPrefix(b, []byte(userMessageHeader))
	if !ok || len(rest) == 0 {
		return messageKind(b)
	}
	size := 0 // of MessagePack's number behind its first byte
	if first := rest[0]; first >= 0xcc && first <= 0xd3 {
		size = 1 << (first & 3)
	}
	return userMessageKind(rest[min(1+size, len(rest)):])
}

// countingConn counts what a connection carries: a message each way, the kind by the first that goes or comes.
type countingConn struct {
	net.Conn
	counter *traffic.Counter

	mu                    sync.Mutex
	kind                  string
	readBegun, writeBegun bool // a message has begun
}

// classify is the stream's kind, and 1 for the first bytes of one way.
func (s *countingConn) classify(b []byte, begun *bool) (kind string, messages int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kind == "" {
		s.kind = streamKind(b)
	}
	if !*begun {
		*begun, messages = true, 1
	}
	return s.kind, messages
}

func (s *countingConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if n > 0 {
		kind, messages := s.classify(b[:n], &s.readBegun)
		s.counter.In(kind, messages, n)
	}
	return n, err
}

func (s *countingConn) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	if n > 0 {
		kind, messages := s.classify(b[:n], &s.writeBegun)
		s.counter.Out(kind, messages, n)
	}
	return n, err
}
