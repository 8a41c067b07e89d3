package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"threadsail/internal/fleet/traffic"
)

// countingTransport counts the traffic of another transport. It has its own channels of packets and streams, because memberlist
// receives both from the channels of its transport.
type countingTransport struct {
	memberlist.NodeAwareTransport
	counter      *traffic.Counter
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	shutdown     chan struct{} // closed by Shutdown
	shutdownOnce sync.Once
	goroutines   sync.WaitGroup // runs forward
}

// newCountingTransport returns a countingTransport for t, or t itself if counter is nil. It starts a goroutine, which ends with
// Shutdown.
func newCountingTransport(t memberlist.NodeAwareTransport, counter *traffic.Counter) memberlist.NodeAwareTransport {
	if counter == nil {
		return t
	}
	c := &countingTransport{
		NodeAwareTransport: t,
		counter:            counter,
		packets:            make(chan *memberlist.Packet),
		streams:            make(chan net.Conn),
		shutdown:           make(chan struct{}),
	}
	c.goroutines.Go(c.forward)
	return c
}

// forward counts received packets and passes them and received streams to memberlist. After the shutdown has begun, it
// discards packets and closes streams that memberlist no longer receives, so that the underlying transport can end.
func (t *countingTransport) forward() {
	for {
		select {
		case packet := <-t.NodeAwareTransport.PacketCh():
			countPacket(packet.Buf, t.counter.AddReceived)
			select {
			case t.packets <- packet:
			case <-t.shutdown:
			}
		case conn := <-t.NodeAwareTransport.StreamCh():
			select {
			case t.streams <- &countingConn{Conn: conn, counter: t.counter}:
			case <-t.shutdown:
				_ = conn.Close()
			}
		case <-t.shutdown:
			return
		}
	}
}

// PacketCh implements memberlist.Transport.
func (t *countingTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *countingTransport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *countingTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *countingTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	at, err := t.NodeAwareTransport.WriteToAddress(b, a)
	if err == nil {
		countPacket(b, t.counter.AddSent)
	}
	return at, err
}

// DialTimeout implements memberlist.Transport.
func (t *countingTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *countingTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	conn, err := t.NodeAwareTransport.DialAddressTimeout(a, timeout)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: t.counter}, nil
}

// Shutdown implements memberlist.Transport.
func (t *countingTransport) Shutdown() error {
	err := t.NodeAwareTransport.Shutdown()
	t.shutdownOnce.Do(func() { close(t.shutdown) })
	t.goroutines.Wait()
	return err
}

// countingConn counts the traffic of a connection: one message in each direction. The first bytes sent or received determine
// the kind of both.
type countingConn struct {
	net.Conn
	counter *traffic.Counter

	mu         sync.Mutex // guards the fields below
	kind       string     // "" until something has been sent or received
	readBegun  bool       // the first bytes have been read
	writeBegun bool       // the first bytes have been written
}

// classify returns the connection's kind, and the number of messages to count: 1 for the first bytes of a direction, otherwise
// 0. It sets begun, the flag of the direction.
func (c *countingConn) classify(b []byte, begun *bool) (kind string, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kind == "" {
		c.kind = streamKind(b)
	}
	if !*begun {
		*begun = true
		messages = 1
	}
	return c.kind, messages
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		kind, messages := c.classify(b[:n], &c.readBegun)
		c.counter.AddReceived(kind, messages, n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		kind, messages := c.classify(b[:n], &c.writeBegun)
		c.counter.AddSent(kind, messages, n)
	}
	return n, err
}
