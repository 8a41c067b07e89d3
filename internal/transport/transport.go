// Package transport owns the sockets: listeners, dials and connections on netpoll, idle connections kept for reuse,
// and the descriptor budget. It moves bytes and never resends any.
//
// All callbacks of a connection run on its Loop; so must all calls to it.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrBudget tells that no descriptor is free for a dial.
var ErrBudget = errors.New("transport: no descriptor is free")

// ErrOverrun tells that a peer does not read what it is sent.
var ErrOverrun = errors.New("transport: the peer leaves too much unread")

// ErrFlood tells that a peer sends faster than what it sends is taken in.
var ErrFlood = errors.New("transport: the peer sends too much at once")

const (
	maxUnsent    = 1 << 20         // bytes queued for one peer before it counts as stuck
	maxUnheard   = 512 << 10       // bytes of one peer on their way to the loop; no sound peer comes near
	kernelBuffer = 64 << 10        // of each connection, for what has not been read: values are no larger
	writeTimeout = 4 * time.Second // a peer that takes no byte for this long is stuck
)

func init() {
	// netpoll logs every odd disconnect of a peer; those are counted here as outcomes, and the log is bounded.
	// It must be set up before its pollers start. One poller does for the one core.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard}); err != nil {
		panic(err)
	}
}

// Loop is the goroutine that all callbacks run on. Now may be called from anywhere.
type Loop interface {
	Post(func())
	Now() time.Duration
}

// Handler is what a connection tells its owner, on the loop. Closed comes once, after the last Data, and not
// after a Close of the owner's own.
type Handler interface {
	Data(at time.Duration, b []byte)
	Closed(err error)
}

// Budget counts descriptors.
type Budget struct {
	most int64
	used atomic.Int64
}

// NewBudget allows most descriptors at once.
func NewBudget(most int) *Budget { return &Budget{most: int64(most)} }

// Most is how many there may be.
func (b *Budget) Most() int { return int(b.most) }

// Used is how many are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Full tells that a dial would find no descriptor.
func (b *Budget) Full() bool { return b.used.Load() >= b.most }

func (b *Budget) take() bool {
	if b.used.Add(1) > b.most {
		b.used.Add(-1)
		return false
	}
	return true
}

func (b *Budget) free() { b.used.Add(-1) }

// Conn is one connection.
type Conn struct {
	loop    Loop
	budget  *Budget
	raw     netpoll.Connection
	handler Handler
	closed  bool // by its owner or reported to it
	unsent  []byte
	writing bool
	closing bool   // close once all is written
	written func() // is told once all bytes given to Write are with the network; nil: nobody waits
	hungUp  bool   // the peer has closed while a write was under way
	watched bool   // the poller closes it after a hang-up
	freed   atomic.Bool
	mu      sync.Mutex
	gone    bool         // its descriptor is no longer ours; under mu
	deaf    atomic.Bool  // what still comes is thrown away
	unheard atomic.Int64 // bytes taken from netpoll and not yet seen on the loop
}

// SetHandler hands the connection to a new owner.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Written tells whether all bytes given to Write have been passed to the network.
func (c *Conn) Written() bool { return !c.writing && len(c.unsent) == 0 }

// OnWritten calls f once, as soon as all that has been given to Write is with the network. It is not called where the
// connection ends before.
func (c *Conn) OnWritten(f func()) {
	if c.Written() && !c.closed {
		f()
	} else {
		c.written = f
	}
}

// Write queues bytes and never blocks.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	if !c.writing && len(c.unsent) == 0 {
		b = b[c.send(b):]
	}
	if len(b) == 0 {
		return
	}
	c.unsent = append(c.unsent, b...)
	if len(c.unsent) > maxUnsent {
		c.end(ErrOverrun)
	} else if !c.writing {
		c.flush()
	}
}

// send gives the kernel what it takes at once, which is nearly always all: a goroutine a write, and its way through
// netpoll's buffers, cost a tenth of the processor. An error is left for flush to find.
func (c *Conn) send(b []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return 0
	}
	n, _ := syscall.Write(c.raw.(netpoll.Conn).Fd(), b)
	return max(n, 0)
}

// flush writes the rest on a goroutine of its own, as netpoll waits there for a peer that reads slowly.
func (c *Conn) flush() {
	b := c.unsent
	c.unsent, c.writing = nil, true
	go func() {
		// Not through Writer: its buffers are taken away under a writer when the peer hangs up, and the program with them.
		// Write holds the lock that netpoll's close waits for.
		_, err := c.raw.Write(b)
		c.loop.Post(func() { c.flushed(err) })
	}()
}

func (c *Conn) flushed(err error) {
	switch {
	case c.closed:
	case err != nil:
		c.end(err) // writing stays set: the last byte did not go out
	case len(c.unsent) > 0 && !c.hungUp:
		c.flush()
	default:
		c.writing = false
		if f := c.written; f != nil && len(c.unsent) == 0 {
			c.written = nil
			f()
		}
		if c.closing {
			c.Close()
		} else if c.hungUp {
			c.end(io.EOF)
		}
	}
}

// hangup takes in the peer's close. It can overtake the news of a write that has gone out whole; whether it has decides
// if the request may have run, so that news is waited for.
func (c *Conn) hangup() {
	if c.hungUp = true; !c.writing {
		c.end(io.EOF)
	}
}

// Close ends the connection at once; its handler hears no more.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.release()
	}
}

// Finish closes the connection after what is queued has been written.
func (c *Conn) Finish() {
	c.deaf.Store(true)
	if c.closing = true; c.Written() {
		c.Close()
	}
}

// Reset closes the connection at once and lets the peer know that what it may just be sending is not read: after an
// ordinary close it sees the end of the stream, and can't tell.
func (c *Conn) Reset() {
	if c.closed {
		return
	}
	c.closed, c.handler = true, nil
	c.mu.Lock()
	if !c.gone {
		_ = syscall.SetsockoptLinger(c.raw.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
	c.mu.Unlock()
	c.raw.Close() // nothing comes on it, so the poller is not at work there
	c.free()
}

// end closes the connection and tells its owner.
func (c *Conn) end(err error) {
	if h := c.handler; !c.closed {
		c.Close()
		h.Closed(err)
	}
}

// release closes the socket. Not by netpoll's Close: that spins on the loop while the poller is at work on the
// connection, and on one core the poller's thread stands still meanwhile, for 24 ms on average. Shut down both ways, the
// connection is over for the peer at once, and the poller itself closes it.
func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.gone:
	case !c.watched: // the poller would leave it open
		c.raw.Close()
		c.free()
	default:
		_ = syscall.Shutdown(c.raw.(netpoll.Conn).Fd(), syscall.SHUT_RDWR)
	}
}

// free gives the descriptor back to the budget, once.
func (c *Conn) free() {
	if c.freed.CompareAndSwap(false, true) {
		c.budget.free()
	}
}

// read runs on netpoll's goroutines. The arrival is stamped here, so that time in the loop's queue counts. netpoll reads
// whatever comes: a peer that outruns the loop is cut off here, before the loop has seen what it sends.
func (c *Conn) read() error {
	r := c.raw.Reader()
	n := r.Len()
	if c.deaf.Load() {
		_ = r.Skip(n)
		return r.Release()
	}
	if c.unheard.Add(int64(n)) > maxUnheard {
		c.deaf.Store(true)
		c.loop.Post(func() { c.end(ErrFlood) })
		_ = r.Skip(n)
		return r.Release()
	}
	b, err := r.ReadBinary(n)
	if err != nil {
		return err
	}
	_ = r.Release()
	at := c.loop.Now()
	c.loop.Post(func() {
		c.unheard.Add(-int64(n))
		if !c.closed && !c.closing && n > 0 {
			c.handler.Data(at, b)
		}
	})
	return nil
}

// Quiet tells whether the peer has neither said nor closed anything that the owner has not been told of. It looks at
// the kernel's buffer first, as the goroutines that read it may lag behind.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.hungUp || c.gone {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.raw.(netpoll.Conn).Fd(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN && c.raw.Reader().Len() == 0 && c.unheard.Load() == 0
}

// limitKernel bounds what the kernel keeps for a peer that is not read; netpoll reads as much at once.
func limitKernel(raw netpoll.Connection) {
	_ = syscall.SetsockoptInt(raw.(netpoll.Conn).Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBuffer)
}

// start begins to read a connection that was dialled.
func (c *Conn) start() {
	c.watched = true
	_ = c.raw.SetOnRequest(func(context.Context, netpoll.Connection) error { return c.read() })
	c.watch()
}

// watch looks out for the end of the connection. It may have come before the callback was set: that is looked at last.
func (c *Conn) watch() {
	gone := func() {
		c.mu.Lock()
		c.gone = true
		c.mu.Unlock()
		c.free()
		c.loop.Post(c.hangup)
	}
	_ = c.raw.SetWriteTimeout(writeTimeout)
	_ = c.raw.AddCloseCallback(func(netpoll.Connection) error { gone(); return nil }) // runs before the descriptor is closed
	if !c.raw.IsActive() {
		gone()
	}
}

// Dial connects on a goroutine of its own and reports on the loop. Cancelling the returned function's call stops
// the report; a connection that still comes up is closed.
func Dial(loop Loop, budget *Budget, addr string, timeout time.Duration, done func(*Conn, error)) (cancel func()) {
	cancelled := false
	if !budget.take() {
		loop.Post(func() {
			if !cancelled {
				done(nil, ErrBudget)
			}
		})
		return func() { cancelled = true }
	}
	go func() {
		raw, err := netpoll.DialConnection("tcp", addr, timeout)
		loop.Post(func() {
			if err != nil {
				if budget.free(); !cancelled {
					done(nil, err)
				}
				return
			}
			limitKernel(raw)
			c := &Conn{loop: loop, budget: budget, raw: raw}
			if cancelled {
				c.Close()
				return
			}
			done(c, nil)
			if !c.closed {
				c.start()
			}
		})
	}()
	return func() { cancelled = true }
}

// connKey is where a connection's context keeps its Conn.
type connKey struct{}

// Listener accepts connections.
type Listener struct {
	ln     net.Listener
	events netpoll.EventLoop
}

// Listen accepts connections at one address. For each, accept runs on the loop and sets its handler, or closes it.
func Listen(loop Loop, budget *Budget, addr string, accept func(*Conn)) (*Listener, error) {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return nil, err
	}
	return serve(loop, budget, ln, accept)
}

// Inherit accepts connections, as Listen does, on a listening socket that this process was started with and shares with
// others. It is neither bound again nor shut down.
func Inherit(loop Loop, budget *Budget, fd int, accept func(*Conn)) (*Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	std, err := net.FileListener(f) // on a copy of the descriptor
	if err != nil {
		return nil, err
	}
	f.Close()
	ln, err := netpoll.ConvertListener(std)
	if err != nil {
		return nil, err
	}
	return serve(loop, budget, &shared{Listener: ln}, accept)
}

// shared is a listening socket that other processes hold too. Closing it here would not take it out of the poller, which
// would go on telling of connections under a number that may be another's by then. An Accept that says it is closed does
// take it out, at the next connection, and leaves that one to the others.
type shared struct {
	netpoll.Listener
	stopped atomic.Bool
}

func (s *shared) Accept() (net.Conn, error) {
	if s.stopped.Load() {
		return nil, net.ErrClosed
	}
	return s.Listener.Accept()
}

func (s *shared) Close() error {
	s.stopped.Store(true)
	return nil
}

func serve(loop Loop, budget *Budget, ln netpoll.Listener, accept func(*Conn)) (*Listener, error) {
	// Not OnPrepare: a connection that the loop closes before netpoll has registered it ends the program. And the reader is
	// set from the start: if it came later, netpoll could miss bytes that came meanwhile, for good. What is read is posted
	// behind accept.
	events, err := netpoll.NewEventLoop(func(ctx context.Context, raw netpoll.Connection) error {
		if c, ok := ctx.Value(connKey{}).(*Conn); ok {
			return c.read()
		}
		return raw.Reader().Skip(raw.Reader().Len())
	}, netpoll.WithOnConnect(func(ctx context.Context, raw netpoll.Connection) context.Context {
		if !budget.take() {
			raw.Close()
			return ctx
		}
		limitKernel(raw)
		c := &Conn{loop: loop, budget: budget, raw: raw, watched: true}
		loop.Post(func() { accept(c) })
		c.watch()
		return context.WithValue(ctx, connKey{}, c)
	}))
	if err != nil {
		ln.Close()
		return nil, err
	}
	l := &Listener{ln: ln, events: events}
	go func() { _ = events.Serve(ln) }()
	return l, nil
}

// Addr is where it listens.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Close stops listening; open connections stay.
func (l *Listener) Close() { _ = l.ln.Close() }
