package transport

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// socketKey is the key of a connection's socket in its context.
type socketKey struct{}

// Listener accepts connections. Its methods must be called on the loop, or before the loop runs.
type Listener struct {
	listener  netpoll.Listener
	closed    bool
	eventLoop netpoll.EventLoop
}

// Listen accepts connections at an address. For each of them accept runs on the loop; it sets the handler or closes the
// connection.
func Listen(loop Loop, budget *Budget, addr string, accept func(*Conn)) (*Listener, error) {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ln, err := netpoll.ConvertListener(tcp)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	return startListener(loop, budget, &ownListener{ln, tcp}, accept)
}

// Inherit accepts connections, as Listen does, on a listening socket that this process was started with and that other
// processes share. It neither binds the socket nor shuts it down.
func Inherit(loop Loop, budget *Budget, fd int, accept func(*Conn)) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	tcp, err := net.FileListener(f) // on a copy of the descriptor
	if err != nil {
		return nil, err
	}
	_ = f.Close()
	ln, err := netpoll.ConvertListener(tcp)
	if err != nil {
		return nil, err
	}
	return startListener(loop, budget, &sharedListener{Listener: ln}, accept)
}

// startListener has netpoll serve a listener. The goroutine that serves it ends when the listener fails. Close takes the listener's
// descriptor away, which netpoll does not notice: the goroutine then stays until the process ends, one a closed listener.
func startListener(loop Loop, budget *Budget, ln netpoll.Listener, accept func(*Conn)) (*Listener, error) {
	// OnPrepare is not used: a connection that the loop closes before netpoll has registered it ends the program. The reader is
	// set from the start: with one that comes later, netpoll could miss for good the bytes that came meanwhile. What it reads is
	// posted behind accept.
	events, err := netpoll.NewEventLoop(func(ctx context.Context, raw netpoll.Connection) error {
		if s, ok := ctx.Value(socketKey{}).(*polled); ok {
			return s.read()
		}
		return raw.Reader().Skip(raw.Reader().Len())
	}, netpoll.WithOnConnect(func(ctx context.Context, raw netpoll.Connection) context.Context {
		if !budget.take() {
			_ = raw.Close()
			return ctx
		}
		s := newPolled(loop, budget, raw)
		s.watched = true
		loop.Post(func() { accept(s.conn) })
		s.watchClose()
		return context.WithValue(ctx, socketKey{}, s)
	}))
	if err != nil {
		_ = ln.Close()
		return nil, err
	}
	l := &Listener{listener: ln, eventLoop: events}
	go func() { _ = events.Serve(ln) }()
	return l, nil
}

// Addr is the address that it listens at.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close stops listening. Open connections stay open. Further calls have no effect.
func (l *Listener) Close() {
	if !l.closed {
		l.closed = true
		_ = l.listener.Close()
	}
}

// Pending reports whether a connection waits to be accepted: a close of the listener would reset it, and discard what its
// client has sent.
func (l *Listener) Pending() bool { return !l.closed && pollReady(l.listener.Fd(), unix.POLLIN) }

// ownListener is a listening socket that only this process holds.
type ownListener struct {
	netpoll.Listener // on a copy of the descriptor
	tcp              net.Listener
}

// Close closes both descriptors. netpoll's Close would close its copy's number twice, and so would the finalizer of a listener
// that is closed only here: by then the number may belong to another file.
func (o *ownListener) Close() error {
	closedListeners.mu.Lock()
	closedListeners.all = append(closedListeners.all, o.Listener)
	closedListeners.mu.Unlock()
	_ = syscall.Close(o.Fd())
	return o.tcp.Close()
}

// closedListeners keeps closed listeners from the garbage collector, and so from their finalizers. There are few: a process
// closes its own as it ends.
var closedListeners struct {
	mu  sync.Mutex // guards all
	all []netpoll.Listener
}

// sharedListener is a listening socket that other processes hold, too. A close here would not take it out of the poller, which
// would go on to report connections under a number that may belong to another file by then. An Accept that reports the socket
// closed does take it out, at the next connection, and leaves that connection to the other processes.
type sharedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// Accept accepts a connection, or reports the socket closed after Close.
func (s *sharedListener) Accept() (net.Conn, error) {
	if s.stopped.Load() {
		return nil, net.ErrClosed
	}
	return s.Listener.Accept()
}

// Close has the next Accept take the socket out of the poller.
func (s *sharedListener) Close() error {
	s.stopped.Store(true)
	return nil
}
