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

// socketKey is the context key of a connection's socket.
type socketKey struct{}

// Listener is a TCP listener. Its methods must be called on the loop, or before the loop runs.
type Listener struct {
	listener  netpoll.Listener
	closed    bool
	eventLoop netpoll.EventLoop
}

// Listen listens on addr and accepts connections. For each connection it calls accept on the loop, which must set the handler or
// close the connection. A connection for which the budget has no free descriptor is closed at once.
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

// Inherit accepts connections like Listen, on a listening socket that this process inherited as descriptor fd and shares with
// other processes. It neither binds the socket nor shuts it down. It closes fd after duplicating it.
func Inherit(loop Loop, budget *Budget, fd int, accept func(*Conn)) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	tcp, err := net.FileListener(f) // uses a duplicate of the descriptor
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

// startListener serves a listener with netpoll on a new goroutine, which ends when the listener fails. netpoll does not notice
// when Close closes the listener's descriptor: the goroutine of a closed listener remains until the process ends.
func startListener(loop Loop, budget *Budget, ln netpoll.Listener, accept func(*Conn)) (*Listener, error) {
	// OnPrepare is not used: the program would crash if the loop closed a connection before netpoll has registered it. The
	// request handler is set from the start: if it were set later, netpoll might never report bytes that arrived before. The bytes
	// that it reads are posted to the loop after accept.
	events, err := netpoll.NewEventLoop(func(ctx context.Context, raw netpoll.Connection) error {
		if s, ok := ctx.Value(socketKey{}).(*polledSocket); ok {
			return s.read()
		}
		return raw.Reader().Skip(raw.Reader().Len())
	}, netpoll.WithOnConnect(func(ctx context.Context, raw netpoll.Connection) context.Context {
		if !budget.take() {
			_ = raw.Close()
			return ctx
		}
		s := newPolledSocket(loop, budget, raw)
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

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close stops listening. Accepted connections stay open. Further calls have no effect.
func (l *Listener) Close() {
	if !l.closed {
		l.closed = true
		_ = l.listener.Close()
	}
}

// Pending reports whether a connection is waiting to be accepted. Closing the listener would reset it and discard the bytes
// that its client has sent.
func (l *Listener) Pending() bool { return !l.closed && pollReady(l.listener.Fd(), unix.POLLIN) }

// ownListener is a listener on a socket that no other process shares.
type ownListener struct {
	netpoll.Listener // uses a duplicate of tcp's descriptor
	tcp              net.Listener
}

// Close closes both descriptors. It does not use netpoll's Close, which would close the number of its duplicate twice; by then
// the number may belong to another file. The finalizer of the netpoll listener would do the same, so Close keeps it from
// running.
func (l *ownListener) Close() error {
	closedListeners.mu.Lock()
	closedListeners.all = append(closedListeners.all, l.Listener)
	closedListeners.mu.Unlock()
	_ = syscall.Close(l.Fd())
	return l.tcp.Close()
}

// closedListeners keeps closed listeners reachable, so that their finalizers never run. There are few, as a process closes its
// listeners when it ends.
var closedListeners struct {
	mu  sync.Mutex // guards all
	all []netpoll.Listener
}

// sharedListener is a listener on a socket that other processes share. Closing the descriptor here would not remove the socket
// from the poller, which would continue to report connections under a number that may belong to another file by then. Instead,
// the first Accept after Close returns net.ErrClosed: this makes netpoll remove the socket at the next connection and leaves
// that connection to the other processes.
type sharedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

// Accept accepts a connection. After Close it returns net.ErrClosed.
func (s *sharedListener) Accept() (net.Conn, error) {
	if s.stopped.Load() {
		return nil, net.ErrClosed
	}
	return s.Listener.Accept()
}

// Close makes the next Accept fail, whereupon netpoll removes the socket from the poller.
func (s *sharedListener) Close() error {
	s.stopped.Store(true)
	return nil
}
