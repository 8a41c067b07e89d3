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
// under way waits, as on TCP, until they are healed. Time is read plainly, so that testing/synctest gives it a clock.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	gates     map[[2]string]chan struct{} // by from, to: closed when the link is healed
	delay     time.Duration
	slow      map[[2]string]time.Duration // by from, to: beyond delay
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, gates: map[[2]string]chan struct{}{}}
}

type listener struct {
	n     *network
	name  string
	calls chan net.Conn
	ended chan struct{}
	once  sync.Once
}

// listen takes the calls to a name.
func (n *network) listen(name string) net.Listener {
	l := &listener{n: n, name: name, calls: make(chan net.Conn, 4096), ended: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.calls:
		return c, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.ended)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if l.n.listeners[l.name] == l {
			delete(l.n.listeners, l.name)
		}
	})
	l.reset()
	return nil
}

// reset ends the calls that an ended listener leaves behind.
func (l *listener) reset() {
	for {
		select {
		case c := <-l.calls:
			_ = c.Close()
		default:
			return
		}
	}
}

func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.name} }

var errNoListener = errors.New("nobody listens")

// dialer calls from a name.
func (n *network) dialer(from string) Dialer {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if !n.pass(ctx, from, to) || !n.pass(ctx, to, from) {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errNoListener
		}
		mine, here := net.Pipe()
		there, theirs := net.Pipe()
		go n.pump(from, to, here, there)
		go n.pump(to, from, there, here)
		select {
		case l.calls <- theirs:
			select {
			case <-l.ended:
				l.reset()
			default:
			}
			return mine, nil
		case <-l.ended:
			_ = mine.Close()
			_ = theirs.Close()
			return nil, errNoListener
		}
	}
}

// pass waits until a link carries, or ctx ends.
func (n *network) pass(ctx context.Context, from, to string) bool {
	for {
		n.mu.Lock()
		gate := n.gates[[2]string{from, to}]
		n.mu.Unlock()
		if gate == nil {
			return true
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return false
		}
	}
}

// pump carries one direction of a connection; its end, too, comes only over a link that carries.
func (n *network) pump(from, to string, in, out net.Conn) {
	chunks := make(chan []byte, 16) // of 4 KB: the buffers of both sides
	go func() {
		defer close(chunks)
		b := make([]byte, 4<<10)
		for {
			k, err := in.Read(b)
			if err != nil {
				return
			}
			chunks <- bytes.Clone(b[:k])
		}
	}()
	broken := false
	for b := range chunks {
		n.mu.Lock()
		delay := n.delay + n.slow[[2]string{from, to}]
		n.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		n.pass(context.Background(), from, to)
		if _, err := out.Write(b); err != nil {
			broken = true
			_ = in.Close()
		}
	}
	if !broken {
		n.pass(context.Background(), from, to)
	}
	_ = out.Close()
	_ = in.Close()
}

// cut cuts what goes from one name to another, or heals it.
func (n *network) cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]string{from, to}
	gate, was := n.gates[link]
	switch {
	case cut && !was:
		n.gates[link] = make(chan struct{})
	case !cut && was:
		close(gate)
		delete(n.gates, link)
	}
}

// part cuts each link between two sets of names, both ways, or heals it.
func (n *network) part(a, b []string, cut bool) {
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
	for link, gate := range n.gates {
		close(gate)
		delete(n.gates, link)
	}
}
