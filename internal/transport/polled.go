package transport

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// polled is the socket of a connection on netpoll.
type polled struct {
	conn             *Conn
	budget           *Budget
	raw              netpoll.Connection
	released         atomic.Bool
	watched          bool         // the poller closes it after a hang-up
	paused           bool         // while it is leaving
	discarded        atomic.Int64 // 1 once its owner has finished, and then counts the bytes that are thrown away
	mu               sync.Mutex
	descriptorClosed bool          // its descriptor is no longer ours; under mu, as what follows
	ownerClosed      bool          // its owner has closed it
	finishTimer      *time.Timer   // not nil: when it ends though its peer has not closed
	activeWrites     int           // under way through netpoll
	handover         chan struct{} // not nil: it is leaving netpoll, closed at the end of that
	successor        *direct       // what it has become
}

func newPolled(loop Loop, budget *Budget, raw netpoll.Connection) *polled {
	s := &polled{budget: budget, raw: raw}
	s.conn = &Conn{loop: loop, socket: s}
	s.withDescriptor(limitReceiveBuffer)
	return s
}

func (s *polled) withDescriptor(f func(fd int)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.successor != nil:
		return s.successor.withDescriptor(f)
	case !s.descriptorClosed:
		f(s.raw.(netpoll.Conn).Fd())
	}
	return !s.descriptorClosed
}

// write goes not through Writer: its buffers are taken away under a writer when the peer hangs up, and the program with
// them. Write holds the lock that netpoll's close waits for.
func (s *polled) write(b []byte) error {
	s.mu.Lock()
	if left := s.handover; left != nil {
		s.mu.Unlock()
		if <-left; s.successor == nil {
			return io.EOF
		}
		return s.successor.write(b)
	}
	s.activeWrites++
	s.mu.Unlock()
	_, err := s.raw.Write(b)
	s.mu.Lock()
	s.activeWrites--
	s.mu.Unlock()
	return err
}

// close does not use netpoll's Close: that spins on the loop while the poller is at work on the connection, and on one
// core the poller's thread stands still meanwhile, for 24 ms on average. Shut down both ways, the connection is over for
// the peer at once, and the poller itself closes it. A peer that still sends then is reset, or it could wait for room for
// good; where the connection is just leaving netpoll, what it becomes sees to that.
func (s *polled) close() {
	if !s.watched { // the poller would leave it open
		s.raw.Close()
		s.release()
		return
	}
	s.mu.Lock()
	s.ownerClosed = true
	how := syscall.SHUT_RDWR
	if s.handover != nil {
		how = syscall.SHUT_WR
	}
	s.mu.Unlock()
	s.withDescriptor(func(fd int) {
		if how == syscall.SHUT_RDWR && !s.quiet(fd) {
			_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		}
		_ = syscall.Shutdown(fd, how)
	})
}

// finish leaves the socket in netpoll, which reads on until the peer's close and then closes it. Where the peer has taken all
// and sends nothing there is nothing to wait for.
func (s *polled) finish() {
	owed := false
	s.withDescriptor(func(fd int) { owed = hasUnsent(fd) || !s.quiet(fd) })
	if !s.watched || !owed {
		s.close()
		return
	}
	s.mu.Lock()
	s.ownerClosed = true
	if s.handover == nil && !s.descriptorClosed {
		s.finishTimer = time.AfterFunc(lingerTimeout, s.abort)
	}
	s.mu.Unlock()
	s.discarded.Store(1)
	s.withDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// quiet tells that all has been seen that the peer has sent.
func (s *polled) quiet(fd int) bool {
	return noInput(fd) && s.unreadBytes() == 0 && s.conn.undelivered.Load() == 0
}

// abort ends what its owner has finished, though the peer has not closed it.
func (s *polled) abort() {
	s.withDescriptor(func(fd int) {
		resetUnlessUnsent(fd)
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
}

func (s *polled) reset() {
	s.withDescriptor(func(fd int) {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	s.raw.Close() // nothing comes on it, so the poller is not at work there
	s.release()
}

func (s *polled) unreadBytes() int { return s.raw.Reader().Len() }

// release gives the descriptor back to the budget, once.
func (s *polled) release() {
	if s.released.CompareAndSwap(false, true) {
		s.budget.release()
	}
}

// read runs on netpoll's goroutines. The arrival is stamped here, so that time in the loop's queue counts. netpoll reads
// whatever comes: where a peer outruns the loop the connection leaves netpoll, and a peer that does not read what it is
// sent meanwhile is cut off before the loop has seen what it sends.
func (s *polled) read() error {
	c, r := s.conn, s.raw.Reader()
	n := r.Len()
	if c.discardInput.Load() {
		if s.discarded.Load() > 0 && s.discarded.Add(int64(n)) > maxLingerBytes {
			s.abort()
		}
		_ = r.Skip(n)
		return r.Release()
	}
	unheard := c.undelivered.Add(int64(n))
	leaves := unheard > pauseThreshold && s.beginHandover()
	if !leaves && unheard > maxUndelivered && !s.inHandover() {
		c.discardInput.Store(true)
		c.loop.Post(func() { c.fail(ErrFlood) })
		_ = r.Skip(n)
		return r.Release()
	}
	b, err := r.ReadBinary(n)
	if err != nil {
		return err
	}
	_ = r.Release()
	at := c.loop.Now()
	c.loop.Post(func() { c.deliver(at, b) })
	if leaves {
		return s.raw.Close()
	}
	return nil
}

// setPaused takes the connection out of netpoll, which has no way to stop reading.
func (s *polled) setPaused(on bool) {
	if s.paused = on; on && s.beginHandover() {
		go s.raw.Close()
	}
}

// beginHandover tells whether the connection is to leave netpoll now: the caller then has it closed there. It can't be while a
// write is under way there.
func (s *polled) beginHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptorClosed || s.ownerClosed || s.activeWrites > 0 || s.handover != nil {
		return false
	}
	s.handover = make(chan struct{})
	return true
}

// inHandover tells that the connection is on its way out of netpoll, which may go on reading meanwhile.
func (s *polled) inHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover != nil
}

// start begins to read a connection that was dialled.
func (s *polled) start() {
	s.watched = true
	_ = s.raw.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
	s.watchClose()
}

// watchClose looks out for the end of the connection on netpoll. It may have come before the callback was set: that is looked
// at last.
func (s *polled) watchClose() {
	_ = s.raw.SetWriteTimeout(writeTimeout)
	// The callback runs before the descriptor is closed, and never together with read.
	_ = s.raw.AddCloseCallback(func(netpoll.Connection) error { s.handleClose(); return nil })
	if !s.raw.IsActive() {
		s.handleClose()
	}
}

func (s *polled) handleClose() {
	if s.completeHandover() {
		return
	}
	s.mu.Lock()
	s.descriptorClosed = true
	if s.finishTimer != nil {
		s.finishTimer.Stop()
	}
	s.mu.Unlock()
	s.release()
	s.conn.loop.Post(s.conn.handlePeerClose)
}

// completeHandover moves a connection that was to leave netpoll over to a socket of the other kind, on a copy of the descriptor: the
// poller may just be reading into the buffer, so its turn is waited for. What it has read comes first.
func (s *polled) completeHandover() bool {
	s.mu.Lock()
	leaving, next := s.handover, s.successor
	s.mu.Unlock()
	if leaving == nil || next != nil {
		return next != nil
	}
	barrier.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(leaving)
	r := s.raw.Reader()
	rest, err := r.ReadBinary(r.Len())
	if err != nil {
		return false
	}
	next, err = newDirect(s.conn, s.budget, s.raw.(netpoll.Conn).Fd())
	if err != nil {
		return false
	}
	s.successor = next
	s.conn.undelivered.Add(int64(len(rest)))
	at := s.conn.loop.Now()
	s.conn.loop.Post(func() {
		s.conn.deliver(at, rest)
		s.conn.socket, next.paused = next, s.paused
		go next.read()
		if s.conn.closed {
			next.close()
		}
	})
	return true
}

// Dial connects on a goroutine of its own and reports on the loop. Cancelling the returned function's call stops
// the report; a connection that still comes up is closed.
func Dial(loop Loop, budget *Budget, addr string, timeout time.Duration, done func(*Conn, error)) (cancel func()) {
	cancelled := false
	if !budget.take() {
		loop.Post(func() {
			if !cancelled {
				done(nil, ErrNoDescriptor)
			}
		})
		return func() { cancelled = true }
	}
	go func() {
		raw, err := netpoll.DialConnection("tcp", addr, timeout)
		loop.Post(func() {
			if err != nil {
				if budget.release(); !cancelled {
					done(nil, err)
				}
				return
			}
			s := newPolled(loop, budget, raw)
			if cancelled {
				s.conn.Close()
				return
			}
			if done(s.conn, nil); !s.conn.closed {
				s.start()
			}
		})
	}()
	return func() { cancelled = true }
}

// socketKey is where a connection's context keeps its socket.
type socketKey struct{}

// Listener accepts connections.
type Listener struct {
	listener  netpoll.Listener
	closed    bool
	eventLoop netpoll.EventLoop
}

// Listen accepts connections at one address. For each, accept runs on the loop and sets its handler, or closes it.
func Listen(loop Loop, budget *Budget, addr string, accept func(*Conn)) (*Listener, error) {
	std, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ln, err := netpoll.ConvertListener(std)
	if err != nil {
		std.Close()
		return nil, err
	}
	return startListener(loop, budget, &ownListener{ln, std}, accept)
}

// ownListener is a listening socket of this process alone.
type ownListener struct {
	netpoll.Listener // on a copy of the descriptor
	tcp              net.Listener
}

// Close closes both descriptors. netpoll's Close would close the number of its copy twice, and so does the collector where that
// is closed only here: by then it may be another's.
func (o *ownListener) Close() error {
	closedListeners.mu.Lock()
	closedListeners.all = append(closedListeners.all, o.Listener)
	closedListeners.mu.Unlock()
	_ = syscall.Close(o.Fd())
	return o.tcp.Close()
}

// closedListeners keeps listeners from the collector. There are few: a process closes its own as it ends.
var closedListeners struct {
	mu  sync.Mutex
	all []netpoll.Listener
}

// Inherit accepts connections, as Listen does, on a listening socket that this process was started with and shares with
// others. It is neither bound again nor shut down.
func Inherit(loop Loop, budget *Budget, fd int, accept func(*Conn)) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	std, err := net.FileListener(f) // on a copy of the descriptor
	if err != nil {
		return nil, err
	}
	_ = f.Close() // FileListener has copied the descriptor
	ln, err := netpoll.ConvertListener(std)
	if err != nil {
		return nil, err
	}
	return startListener(loop, budget, &sharedListener{Listener: ln}, accept)
}

// sharedListener is a listening socket that other processes hold too. Closing it here would not take it out of the poller, which
// would go on telling of connections under a number that may be another's by then. An Accept that says it is closed does
// take it out, at the next connection, and leaves that one to the others.
type sharedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

func (s *sharedListener) Accept() (net.Conn, error) {
	if s.stopped.Load() {
		return nil, net.ErrClosed
	}
	return s.Listener.Accept()
}

func (s *sharedListener) Close() error {
	s.stopped.Store(true)
	return nil
}

func startListener(loop Loop, budget *Budget, ln netpoll.Listener, accept func(*Conn)) (*Listener, error) {
	// Not OnPrepare: a connection that the loop closes before netpoll has registered it ends the program. And the reader is
	// set from the start: if it came later, netpoll could miss bytes that came meanwhile, for good. What is read is posted
	// behind accept.
	events, err := netpoll.NewEventLoop(func(ctx context.Context, raw netpoll.Connection) error {
		if s, ok := ctx.Value(socketKey{}).(*polled); ok {
			return s.read()
		}
		return raw.Reader().Skip(raw.Reader().Len())
	}, netpoll.WithOnConnect(func(ctx context.Context, raw netpoll.Connection) context.Context {
		if !budget.take() {
			raw.Close()
			return ctx
		}
		s := newPolled(loop, budget, raw)
		s.watched = true
		loop.Post(func() { accept(s.conn) })
		s.watchClose()
		return context.WithValue(ctx, socketKey{}, s)
	}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	l := &Listener{listener: ln, eventLoop: events}
	go func() { _ = events.Serve(ln) }()
	return l, nil
}

// Addr is where it listens.
func (l *Listener) Addr() string { return l.listener.Addr().String() }

// Close stops listening; open connections stay. Called again it does nothing.
func (l *Listener) Close() {
	if !l.closed {
		l.closed = true
		_ = l.listener.Close()
	}
}

// Pending tells whether a connection has come up that is not accepted yet: closing would reset it, and what its client has sent.
func (l *Listener) Pending() bool { return !l.closed && pollReady(l.listener.Fd(), unix.POLLIN) }
