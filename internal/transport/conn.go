package transport

import (
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// closeVisibility is the time for which a connection whose input waits is taken to be as it was last seen.
	closeVisibility = 50 * time.Millisecond
	// backlogThreshold is the number of unread bytes in the kernel from which on the peer may have more than the kernel holds.
	backlogThreshold = 16 << 10
	// catchUpTime is the time without such a backlog after which the peer of a connection whose input has waited has no more of it on the
	// way.
	catchUpTime = 300 * time.Millisecond
)

// readBuffers is the pool of read buffers, shared by all connections. A buffer is in use for the length of a turn.
var readBuffers = sync.Pool{New: func() any { return new([MaxReadSize]byte) }}

// Conn is a TCP connection. All its methods must be called on its loop.
type Conn struct {
	loop    Loop
	budget  *Budget
	fd      int // -1 once the descriptor is closed
	watch   *watch
	handler Handler
	closed  bool // closed by its owner, or its end has been reported to the owner
	input
	output
}

// input is the receiving half of a connection.
type input struct {
	turns      *turnQueue // nil: turns are posted to the loop
	turn       turnState
	readSize   int           // bytes read at most in a turn
	readable   bool          // the kernel may have bytes that are not read
	hungUp     bool          // the peer has closed or reset; unread bytes may precede that
	peerClosed bool          // the peer's close has been read
	paused     bool          // reading is stopped
	yielded    bool          // the handler has bytes left that it handles in the next turn
	readAt     time.Duration // time of the last read
	heldSince  time.Duration // time from which on much input has waited unread because of Pause; 0: none has, or the peer has no more of it
	backlogAt  time.Duration // time at which much was last seen to be unread
	discarded  int           // bytes discarded since the connection was finished
}

// output is the sending half of a connection.
type output struct {
	unsent     []byte        // bytes that the kernel has not accepted
	lastWrite  int           // bytes passed to the last Write
	acceptedAt time.Duration // time at which the kernel last accepted bytes, or at which the queue began
	corked     bool          // a turn is in progress, at the end of which the queue is written
	closing    bool          // Finish was called; the connection is closed once the queue is written
	lingering  bool          // the sending half is closed, and input is discarded until the peer closes
	onWritten  func()        // called once the kernel has accepted all bytes passed to Write; nil: no callback
}

// newConn returns a connection on a descriptor, for which budget.take has been called. turns may be nil. If the descriptor can't be
// watched, newConn closes it.
func newConn(loop Loop, budget *Budget, fd int, turns *turnQueue) (*Conn, error) {
	c := &Conn{loop: loop, budget: budget, fd: fd}
	c.turns = turns
	c.readSize = DefaultReadSize
	var err error
	if c.watch, err = sharedPoller.watch(fd, loop, c.handleEvents); err != nil {
		_ = syscall.Close(fd)
		budget.release()
		return nil, err
	}
	return c, nil
}

// SetHandler sets the handler that receives the events of the connection.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// SetReadSize sets how many bytes the connection reads at most in a turn, up to MaxReadSize.
func (c *Conn) SetReadSize(bytes int) { c.readSize = min(bytes, MaxReadSize) }

// handleEvents handles what the poller has reported.
func (c *Conn) handleEvents(events uint32) {
	if c.fd < 0 {
		return
	}
	c.hungUp = c.hungUp || events&hangupEvents != 0
	if events&inputEvents != 0 {
		c.updateHeld()
		c.readable = true
		c.updateHeld()
		c.requestTurn()
	}
	if events&unix.EPOLLOUT != 0 && !c.corked {
		c.flush()
	}
}

// requestTurn queues a turn if there is something to do in it.
func (c *Conn) requestTurn() {
	canRead := c.readable && (!c.paused || c.closed || c.abandoned())
	switch {
	case c.fd < 0 || !canRead && !c.yielded:
	case c.turns != nil:
		c.turns.add(c)
	case !c.turn.queued:
		c.turn.queued = true
		c.loop.Post(func() {
			c.turn.queued = false
			c.takeTurn()
		})
	}
}

// abandoned reports whether a client has gone while it is not read from: what it has sent is of no use to it any more.
func (c *Conn) abandoned() bool { return c.turns != nil && c.paused && c.hungUp }

// takeTurn handles a limited number of bytes, and queues another turn if there are more. What the handler writes to an accepted
// connection meanwhile is sent at once at the end.
func (c *Conn) takeTurn() {
	if c.fd < 0 {
		return
	}
	c.corked = c.turns != nil
	switch {
	case c.closed:
		c.discardInput()
	case c.abandoned():
		c.fail(io.EOF)
	case c.yielded:
		c.yielded = false
		c.handler.Data(c.readAt, nil)
	case c.readable && !c.paused:
		c.read()
	}
	c.corked = false
	c.flush()
	c.requestTurn()
}

// read reads once and passes the bytes, or the end of the connection, to the handler. A connection that has hung up has ended once there
// is nothing more to read.
func (c *Conn) read() {
	buffer := readBuffers.Get().(*[MaxReadSize]byte)
	defer readBuffers.Put(buffer)
	n, err := syscall.Read(c.fd, buffer[:c.readSize])
	switch {
	case n > 0:
		c.readAt = c.loop.Now()
		c.noteDrained(n < c.readSize)
		if c.handler != nil && !c.closing {
			c.handler.Data(c.readAt, buffer[:n])
		}
	case n == 0 && err == nil:
		c.endInput(io.EOF)
	case errors.Is(err, syscall.EAGAIN) && c.hungUp:
		c.endInput(io.EOF)
	case errors.Is(err, syscall.EAGAIN):
		c.noteDrained(true)
	case !errors.Is(err, syscall.EINTR): // after EINTR the next turn reads again
		c.endInput(err)
	}
}

// noteDrained records whether a read has taken all that the kernel had. After a hangup, reading goes on until the end shows.
func (c *Conn) noteDrained(drained bool) {
	switch {
	case !drained:
		c.backlogAt = c.readAt
	case !c.hungUp:
		c.readable = false
	}
}

// endInput handles the peer's close. Bytes that are not written by then never reach it.
func (c *Conn) endInput(err error) {
	c.readable = false
	c.peerClosed = true
	c.fail(err)
}

// Yield makes the loop call the handler's Data again, without bytes, once the connections that wait have had their turns. The
// connection reads nothing until then. A handler calls it if it has received more than it should handle at once.
func (c *Conn) Yield() {
	if !c.closed {
		c.yielded = true
		c.requestTurn()
	}
}

// Pause stops reading if pause is true, so that TCP flow control holds the peer back, and otherwise resumes it.
func (c *Conn) Pause(pause bool) {
	c.updateHeld()
	c.paused = pause
	c.updateHeld()
	c.requestTurn()
}

// fail closes the connection and reports err to the handler.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	handler := c.handler
	c.Close()
	if handler != nil {
		handler.Closed(err)
	}
}

// release closes the descriptor. It keeps the queue of unsent bytes, by which Written tells whether all were sent.
func (c *Conn) release() {
	if c.fd < 0 {
		return
	}
	sharedPoller.unwatch(c.watch)
	_ = syscall.Close(c.fd) // a reset if there is unread input: the peer may be blocked on a full window
	c.fd = -1
	c.closed = true
	c.handler = nil
	c.onWritten = nil
	c.budget.release()
}

// Quiet reports whether the connection is open and has neither bytes nor a close of the peer that are not yet delivered to the
// handler. It checks the kernel's receive buffer too, as the event may not have been handled yet.
func (c *Conn) Quiet() bool {
	return !c.closed && !c.hungUp && !c.yielded && noInput(c.fd)
}

// PeerDisconnected reports whether the peer has closed the connection or its half of it. It queries the kernel, because the
// handler may learn of the close much later: after unread bytes, or after events queued on the loop.
func (c *Conn) PeerDisconnected() bool {
	return c.closed || c.hungUp || peerHungUp(c.fd)
}

// CloseVisible reports whether PeerDisconnected would have shown a close of the peer within the last closeVisibility. It would not if
// much input has waited unread for longer: the peer may have sent its close behind more than the kernel holds.
func (c *Conn) CloseVisible() bool {
	if c.closed || c.hungUp {
		return true
	}
	c.updateHeld()
	return c.heldSince == 0 || c.loop.Now()-c.heldSince <= closeVisibility
}

// updateHeld records whether much input waits unread, or has done so and more of it may be on the way.
func (c *Conn) updateHeld() {
	if c.heldSince == 0 && (!c.paused || !c.readable) {
		return
	}
	now := c.loop.Now()
	switch {
	case unreadBytes(c.fd) >= backlogThreshold:
		c.backlogAt = now
		if c.heldSince == 0 {
			c.heldSince = now
		}
	case now-c.backlogAt >= catchUpTime:
		c.heldSince = 0
	}
}

// AllDelivered reports whether the handler has handled all bytes that have been read. The kernel may hold further bytes.
func (c *Conn) AllDelivered() bool { return c.closed || !c.yielded }
