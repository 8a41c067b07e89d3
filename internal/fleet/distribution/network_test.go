package distribution

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network is a simulated network within the process. Connections buffer a limited number of bytes. Links can be cut in one direction or
// both; data in flight then waits, as with TCP, until the link is healed. It uses package time, whose clock testing/synctest replaces.
type network struct {
	mu         sync.Mutex // guards the fields below
	listeners  map[string]*listener
	cuts       map[link]chan struct{} // closed when the link is healed
	delay      time.Duration          // delay of every link
	linkDelays map[link]time.Duration // additional delay of single links
}

// link is one direction of the path between two names.
type link struct{ from, to string }

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cuts: map[link]chan struct{}{}, linkDelays: map[link]time.Duration{}}
}

// listener accepts the connections to one name.
type listener struct {
	network *network
	name    string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// listen returns a listener for the connections to a name.
func (n *network) listen(name string) net.Listener {
	l := &listener{network: n, name: name, pending: make(chan net.Conn, 4096), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.pending:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.name] == l {
			delete(l.network.listeners, l.name)
		}
	})
	l.resetPending()
	return nil
}

// resetPending closes the connections that have not been accepted.
func (l *listener) resetPending() {
	for {
		select {
		case conn := <-l.pending:
			_ = conn.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.name} }

var errNoListener = errors.New("connection refused: no listener")

// dialer returns a Dialer for connections from a name. It blocks while the path in either direction is cut.
func (n *network) dialer(from string) Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if !n.wait(ctx, link{from, to}) || !n.wait(ctx, link{to, from}) {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errNoListener
		}
		dialed, dialedEnd := net.Pipe()
		acceptedEnd, accepted := net.Pipe()
		go n.pump(link{from, to}, dialedEnd, acceptedEnd) // ends with either connection
		go n.pump(link{to, from}, acceptedEnd, dialedEnd) // ends with either connection
		select {
		case l.pending <- accepted:
			select {
			case <-l.closed:
				l.resetPending()
			default:
			}
			return dialed, nil
		case <-l.closed:
			_ = dialed.Close()
			_ = accepted.Close()
			return nil, errNoListener
		}
	}
}

// wait blocks until a link is not cut. ok is false if ctx ended before.
func (n *network) wait(ctx context.Context, l link) (ok bool) {
	for {
		n.mu.Lock()
		healed := n.cuts[l]
		n.mu.Unlock()
		if healed == nil {
			return true
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}

// delayOf returns the delay of a link.
func (n *network) delayOf(l link) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.linkDelays[l]
}

// pump transfers the data of one direction of a connection. The end of the connection, too, is delivered only while the link is not cut.
func (n *network) pump(l link, in, out net.Conn) {
	chunks := make(chan []byte, 16) // chunks of 4 KB: the buffers of both sides
	go readChunks(in, chunks)
	broken := false
	for chunk := range chunks {
		if delay := n.delayOf(l); delay > 0 {
			time.Sleep(delay)
		}
		n.wait(context.Background(), l)
		if _, err := out.Write(chunk); err != nil {
			broken = true
			_ = in.Close()
		}
	}
	if !broken {
		n.wait(context.Background(), l)
	}
	_ = out.Close()
	_ = in.Close()
}

// readChunks reads from a connection and sends the data to chunks, until the connection ends.
func readChunks(in net.Conn, chunks chan<- []byte) {
	defer close(chunks)
	buffer := make([]byte, 4<<10)
	for {
		k, err := in.Read(buffer)
		if err != nil {
			return
		}
		chunks <- bytes.Clone(buffer[:k])
	}
}

// setDelay sets the delay of every link.
func (n *network) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// setLinkDelay sets the additional delay of one link.
func (n *network) setLinkDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDelays[link{from, to}] = delay
}

// cut cuts or heals the link from one name to another.
func (n *network) cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	healed, isCut := n.cuts[l]
	switch {
	case cut && !isCut:
		n.cuts[l] = make(chan struct{})
	case !cut && isCut:
		close(healed)
		delete(n.cuts, l)
	}
}

// cutFrom cuts or heals the links from a name to others.
func (n *network) cutFrom(name string, others []string, cut bool) {
	for _, other := range others {
		n.cut(name, other, cut)
	}
}

// cutTo cuts or heals the links to a name from others.
func (n *network) cutTo(name string, others []string, cut bool) {
	for _, other := range others {
		n.cut(other, name, cut)
	}
}

// cutAround cuts or heals the links between a name and others in both directions.
func (n *network) cutAround(name string, others []string, cut bool) {
	n.partition([]string{name}, others, cut)
}

// partition cuts or heals all links between two sets of names.
func (n *network) partition(left, right []string, cut bool) {
	for _, leftName := range left {
		for _, rightName := range right {
			if leftName != rightName {
				n.cut(leftName, rightName, cut)
				n.cut(rightName, leftName, cut)
			}
		}
	}
}

// heal heals all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, healed := range n.cuts {
		close(healed)
		delete(n.cuts, l)
	}
}
