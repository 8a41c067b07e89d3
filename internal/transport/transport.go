// Package transport owns the sockets: listeners, dials and connections on netpoll, idle connections kept for reuse,
// and the descriptor budget. It moves bytes and never resends any.
//
// All callbacks of a connection run on its Loop; so must all calls to it.
package transport

import (
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// ErrNoDescriptor tells that no descriptor is free for a dial.
var ErrNoDescriptor = errors.New("transport: no descriptor is free")

// ErrOverrun tells that a peer does not read what it is sent.
var ErrOverrun = errors.New("transport: the peer leaves too much unread")

// ErrFlood tells that a peer sends faster than what it sends is taken in.
var ErrFlood = errors.New("transport: the peer sends too much at once")

const (
	maxUnsent        = 1 << 20          // bytes queued for one peer before it counts as stuck
	pauseThreshold   = 128 << 10        // bytes of one peer on their way to the loop from which on it has to wait
	maxUndelivered   = 512 << 10        // and the most, where it can't be made to wait
	kernelBufferSize = 64 << 10         // of each connection, for what has not been read: values are no larger
	writeTimeout     = 10 * time.Second // a peer that takes no more for this long is stuck; slow ones pause for seconds
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
// after a Close of the owner's own. The bytes are the owner's only until Data returns.
type Handler interface {
	Data(at time.Duration, b []byte)
	Closed(err error)
}

// Budget counts descriptors.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget allows most descriptors at once.
func NewBudget(most int) *Budget { return &Budget{limit: int64(most)} }

// Limit is how many there may be.
func (b *Budget) Limit() int { return int(b.limit) }

// Used is how many are taken.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Full tells that a dial would find no descriptor.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit }

func (b *Budget) take() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

func (b *Budget) release() { b.used.Add(-1) }

// Conn is one connection.
type Conn struct {
	loop         Loop
	socket       socket
	handler      Handler
	closed       bool // by its owner or reported to it
	unsent       []byte
	writing      bool
	closing      bool         // close once all is written
	onWritten    func()       // is told once all bytes given to Write are with the network; nil: nobody waits
	peerClosed   bool         // the peer has closed while a write was under way
	discardInput atomic.Bool  // what still comes is thrown away
	undelivered  atomic.Int64 // bytes that have been read and not yet seen on the loop
}

// socket is where a connection's bytes go: on netpoll, or, once its peer has had to wait, on Go's own poller.
type socket interface {
	withDescriptor(f func(fd int)) bool // runs f on the descriptor, if that is still ours
	write(b []byte) error               // waits for the peer, but not for long
	close()                             // ends the connection
	finish()                            // ends it so that the peer gets all that was written
	reset()                             // ends it and lets the peer know that what it may just be sending is not read
	setPaused(on bool)                  // stops reading for a while
	unreadBytes() int                   // bytes that are read and not counted in unheard yet
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
		c.onWritten = f
	}
}

// Pause stops reading, so that the peer has to wait, or goes on with it. What has been read comes all the
// same. It does nothing while a write is under way.
func (c *Conn) Pause(on bool) {
	if !c.closed {
		c.socket.setPaused(on)
	}
}

// LimitSendBuffer bounds what the kernel keeps for a peer that does not read: it would take megabytes for each.
func (c *Conn) LimitSendBuffer() {
	c.socket.withDescriptor(func(fd int) { _ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferSize) })
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
		c.fail(ErrOverrun)
	} else if !c.writing {
		c.flush()
	}
}

// send gives the kernel what it takes at once, which is nearly always all: a goroutine a write, and its way through
// netpoll's buffers, cost a tenth of the processor. An error is left for flush to find.
func (c *Conn) send(b []byte) (n int) {
	c.socket.withDescriptor(func(fd int) { n, _ = syscall.Write(fd, b) })
	return max(n, 0)
}

// flush writes the rest on a goroutine of its own, which waits there for a peer that reads slowly.
func (c *Conn) flush() {
	b := c.unsent
	c.unsent, c.writing = nil, true
	go func() {
		err := c.socket.write(b)
		c.loop.Post(func() { c.flushed(err) })
	}()
}

func (c *Conn) flushed(err error) {
	switch {
	case c.closed:
	case err != nil:
		c.fail(err) // writing stays set: the last byte did not go out
	case len(c.unsent) > 0 && !c.peerClosed:
		c.flush()
	default:
		c.writing = false
		if f := c.onWritten; f != nil && len(c.unsent) == 0 {
			c.onWritten = nil
			f()
		}
		if c.closing {
			c.finishSocket()
		} else if c.peerClosed {
			c.fail(io.EOF)
		}
	}
}

// handlePeerClose takes in the peer's close. It can overtake the news of a write that has gone out whole; whether it has decides
// if the request may have run, so that news is waited for.
func (c *Conn) handlePeerClose() {
	if c.peerClosed = true; !c.writing {
		c.fail(io.EOF)
	}
}

// Close ends the connection at once; its handler hears no more.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.socket.close()
	}
}

// Finish closes the connection after what is queued has been written. While the peer has yet to take some of it, or still sends,
// only the own half is closed and what comes is thrown away, until the peer closes too: so it meets the end of the stream behind
// the last answer. Closed outright with bytes unread, or when some come right after, the connection would be reset, and the
// reset may overtake that answer.
func (c *Conn) Finish() {
	c.discardInput.Store(true)
	if c.closing = true; c.Written() {
		c.finishSocket()
	}
}

func (c *Conn) finishSocket() {
	if !c.closed {
		c.closed, c.handler = true, nil
		c.socket.finish()
	}
}

// Reset closes the connection at once and lets the peer know that what it may just be sending is not read: after an
// ordinary close it sees the end of the stream, and can't tell. Bytes that it has not taken yet would go with it: then it is
// finished instead.
func (c *Conn) Reset() {
	owed := !c.Written()
	c.socket.withDescriptor(func(fd int) { owed = owed || hasUnsent(fd) })
	switch {
	case owed:
		c.Finish()
	case !c.closed:
		c.closed, c.handler = true, nil
		c.socket.reset()
	}
}

// fail closes the connection and tells its owner.
func (c *Conn) fail(err error) {
	if h := c.handler; !c.closed {
		c.Close()
		h.Closed(err)
	}
}

// deliver hands bytes that have been read to the owner.
func (c *Conn) deliver(at time.Duration, b []byte) {
	c.undelivered.Add(-int64(len(b)))
	if !c.closed && !c.closing && len(b) > 0 {
		c.handler.Data(at, b)
	}
}

// Quiet tells whether the peer has neither said nor closed anything that the owner has not been told of. It looks at
// the kernel's buffer first, as the goroutines that read it may lag behind.
func (c *Conn) Quiet() bool {
	if c.closed || c.peerClosed {
		return false
	}
	quiet := false
	c.socket.withDescriptor(func(fd int) { quiet = noInput(fd) })
	return quiet && c.socket.unreadBytes() == 0 && c.undelivered.Load() == 0
}

// PeerDisconnected tells whether the peer has closed its connection, or its half of it. It asks the kernel: the close may lie there behind
// bytes that nobody has read, and once read its news may be behind other events of the loop, or behind a write.
func (c *Conn) PeerDisconnected() bool {
	gone := c.closed || c.peerClosed
	return gone || !c.socket.withDescriptor(func(fd int) { gone = peerHungUp(fd) }) || gone
}

// AllDelivered tells that all that has been read off the connection has come to its owner. The kernel may hold more.
func (c *Conn) AllDelivered() bool {
	return c.closed || c.socket.unreadBytes() == 0 && c.undelivered.Load() == 0
}

// noInput tells whether the kernel holds neither bytes of the peer nor its close.
func noInput(fd int) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// hasUnsent tells whether the kernel holds bytes that the peer has not taken.
func hasUnsent(fd int) bool {
	n, err := unix.IoctlGetInt(fd, unix.TIOCOUTQ)
	return err == nil && n > 0
}

// resetUnlessUnsent has a socket's close reset the connection, so that a peer that is kept waiting for room learns of the end,
// but not where the reset would take bytes with it that the peer has yet to read.
func resetUnlessUnsent(fd int) {
	if !hasUnsent(fd) {
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	}
}

// peerHungUp tells whether the kernel has the peer's close or reset, whatever lies unread before it. Where it can't be asked, the close
// is met when it is read.
func peerHungUp(fd int) bool { return pollReady(fd, unix.POLLRDHUP) }

// pollReady asks the kernel whether one of some events has come to a descriptor.
func pollReady(fd int, events int16) bool {
	p := [...]unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(p[:], 0)
	return err == nil && n > 0
}

// limitReceiveBuffer bounds what the kernel keeps for a peer that is not read.
func limitReceiveBuffer(fd int) {
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferSize)
}
