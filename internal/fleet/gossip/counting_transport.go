package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"threadsail/internal/fleet/traffic"
)

// countingTransport counts what passes a transport. memberlist takes packets and streams off channels, so that each transport
// needs channels of its own.
type countingTransport struct {
	memberlist.NodeAwareTransport
	counter      *traffic.Counter
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	shutdown     chan struct{} // closed by Shutdown
	shutdownOnce sync.Once
	goroutines   sync.WaitGroup // forward
}

// newCountingTransport returns a transport that counts, or t itself where there is no counter. It starts a goroutine, which
// ends with Shutdown.
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

// forward counts what comes and passes it on. What comes after the shutdown is taken but read by nobody, so that the
// transport can end.
func (t *countingTransport) forward() {
	for {
		select {
		case p := <-t.NodeAwareTransport.PacketCh():
			countPacket(p.Buf, t.counter.AddReceived)
			select {
			case t.packets <- p:
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

// countingConn counts what a connection carries: a message each way, of the kind that the first bytes sent or received say.
type countingConn struct {
	net.Conn
	counter *traffic.Counter

	mu         sync.Mutex // guards the fields below
	kind       string     // "": nothing has been sent or received
	readBegun  bool
	writeBegun bool
}

// classify returns the connection's kind, and 1 message for the first bytes of a direction.
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
