package distribution

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network is one within the process: connections that buffer some bytes, and links that are cut, one way or both, on which what is
// under way waits, as on TCP, until they are healed. It reads the plain clock, which testing/synctest replaces.
type network struct {
	mu         sync.Mutex // guards the fields below
	listeners  map[string]*listener
	cuts       map[link]chan struct{} // closed when the link is healed
	delay      time.Duration          // of every link
	linkDelays map[link]time.Duration // beyond delay
}

// link is one direction between two names.
type link struct{ from, to string }

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cuts: map[link]chan struct{}{}, linkDelays: map[link]time.Duration{}}
}

// listener accepts the connections to a name.
type listener struct {
	network *network
	name    string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// listen accepts connections to a name.
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

// resetPending ends the connections that a closed listener has not accepted.
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

var errNoListener = errors.New("nobody listens")

// dialer dials from a name.
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

// wait waits until a link carries, or ctx ends (ok false).
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

// delayOf is how long a link takes.
func (n *network) delayOf(l link) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.linkDelays[l]
}

// pump carries one direction of a connection; its end, too, comes only over a link that carries.
func (n *network) pump(l link, in, out net.Conn) {
	chunks := make(chan []byte, 16) // of 4 KB: the buffers of both sides
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

// readChunks reads until the connection ends.
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

// setDelay sets how long every link takes.
func (n *network) setDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// setLinkDelay sets how long a link takes beyond all others.
func (n *network) setLinkDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkDelays[link{from, to}] = delay
}

// cut cuts or heals what goes from one name to another.
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

// cutFrom cuts or heals what goes from a name to others, cutTo what comes to it, and cutAround both.
func (n *network) cutFrom(name string, others []string, cut bool) {
	for _, other := range others {
		n.cut(name, other, cut)
	}
}

// cutTo is documented with cutFrom.
func (n *network) cutTo(name string, others []string, cut bool) {
	for _, other := range others {
		n.cut(other, name, cut)
	}
}

// cutAround is documented with cutFrom.
func (n *network) cutAround(name string, others []string, cut bool) {
	n.partition([]string{name}, others, cut)
}

// partition cuts or heals all that goes between two sets of names.
func (n *network) partition(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			if x != y {
				n.cut(x, y, cut)
				n.cut(y, x, cut)
			}
		}
	}
}

// heal heals every link.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, healed := range n.cuts {
		close(healed)
		delete(n.cuts, l)
	}
}
