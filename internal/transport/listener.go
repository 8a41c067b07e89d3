package transport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptBatch is the number of connections that a listener accepts before the loop handles other events.
	acceptBatch = 16
	// acceptRetryDelay is the time until the next accept after one that has failed for want of descriptors or memory, or after a batch
	// of which all have failed.
	acceptRetryDelay = 20 * time.Millisecond
)

// Listener is a TCP listener. Its methods must be called on the loop, or before the loop runs.
type Listener struct {
	loop     Loop
	budget   *Budget
	listener net.Listener
	raw      syscall.RawConn
	accept   func(*Conn)
	turns    *turnQueue
	watch    *watch
	posted   bool // acceptPending is posted, or about to be
	closed   bool
}

// Listen listens on addr and accepts connections. For each connection it calls accept on the loop, which must set the handler or
// close the connection. A connection for which the budget has no free descriptor is closed at once.
func Listen(loop Loop, budget *Budget, addr string, accept func(*Conn)) (*Listener, error) {
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return startListener(loop, budget, tcp, accept)
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
	return startListener(loop, budget, tcp, accept)
}

// startListener has the poller watch a listener.
func startListener(loop Loop, budget *Budget, tcp net.Listener, accept func(*Conn)) (*Listener, error) {
	l, err := newListener(loop, budget, tcp, accept)
	if err != nil {
		tcp.Close()
		return nil, err
	}
	controlErr := l.raw.Control(func(fd uintptr) {
		l.watch, err = sharedPoller.watch(int(fd), loop, func(uint32) { l.acceptPending() })
	})
	if err = errors.Join(controlErr, err); err != nil {
		tcp.Close()
		return nil, err
	}
	return l, nil
}

// newListener returns a listener that accepts nothing by itself.
func newListener(loop Loop, budget *Budget, tcp net.Listener, accept func(*Conn)) (*Listener, error) {
	raw, err := tcp.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("transport: listen: %w", err)
	}
	// Accepted sockets inherit the buffer's size. Set later, it would be smaller than what the peer was told, and the kernel would drop
	// packets.
	if err := raw.Control(func(fd uintptr) { limitReceiveBuffer(int(fd)) }); err != nil {
		return nil, fmt.Errorf("transport: listen: %w", err)
	}
	return &Listener{loop: loop, budget: budget, listener: tcp, raw: raw, accept: accept, turns: &turnQueue{loop: loop}}, nil
}

// acceptPending accepts connections until none waits or the batch is full; then it posts itself again.
func (l *Listener) acceptPending() {
	if l.closed || l.posted {
		return
	}
	accepted := 0
	for range acceptBatch {
		fd, err := l.acceptOne()
		switch {
		case err == nil:
			accepted++
			l.admit(fd)
		case errors.Is(err, syscall.EAGAIN):
			return
		case localShortage(err):
			l.postAccept(acceptRetryDelay)
			return
		} // other errors concern the connection alone, which is gone: ECONNABORTED and those that Linux passes on from the network
		if l.closed {
			return
		}
	}
	if accepted == 0 {
		l.postAccept(acceptRetryDelay)
		return
	}
	l.postAccept(0)
}

// postAccept calls acceptPending on the loop after a delay.
func (l *Listener) postAccept(delay time.Duration) {
	l.posted = true
	again := func() {
		l.posted = false
		l.acceptPending()
	}
	if delay == 0 {
		l.loop.Post(again)
		return
	}
	time.AfterFunc(delay, func() { l.loop.Post(again) })
}

// acceptOne accepts a connection and returns its descriptor.
func (l *Listener) acceptOne() (fd int, err error) {
	controlErr := l.raw.Control(func(listening uintptr) {
		fd, _, err = unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if controlErr != nil {
		return -1, syscall.EAGAIN // the listener is closed
	}
	return fd, err
}

// admit passes an accepted connection on, if the budget has room for it.
func (l *Listener) admit(fd int) {
	if !l.budget.take() {
		_ = syscall.Close(fd)
		return
	}
	disableDelay(fd)
	if c, err := newConn(l.loop, l.budget, fd, l.turns); err == nil {
		l.accept(c)
	}
}

// Addr returns the address that the listener listens on.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close stops listening. Accepted connections stay open. Further calls have no effect.
func (l *Listener) Close() {
	if l.closed {
		return
	}
	l.closed = true
	if l.watch != nil {
		sharedPoller.unwatch(l.watch)
	}
	l.listener.Close()
}

// Pending reports whether a connection is waiting to be accepted. Closing the listener would reset it and discard the bytes
// that its client has sent.
func (l *Listener) Pending() bool {
	pending := false
	if !l.closed {
		_ = l.raw.Control(func(fd uintptr) { pending = pollReady(int(fd), unix.POLLIN) }) // fails once the listener is closed
	}
	return pending
}
