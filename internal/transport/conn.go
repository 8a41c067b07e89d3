package transport

import (
	"io"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a TCP connection. All its methods must be called on its loop.
type Conn struct {
	loop         Loop
	socket       socket
	handler      Handler
	closed       bool         // closed by its owner, or its end has been reported to the owner
	unsent       []byte       // bytes queued for the next write
	writing      bool         // a goroutine started by flush is writing
	closing      bool         // Finish was called; the connection is closed once the queue is written
	onWritten    func()       // called once the kernel has accepted all bytes passed to Write; nil: no callback
	peerClosed   bool         // the peer has closed the connection or its half of it
	discardInput atomic.Bool  // further input is discarded
	undelivered  atomic.Int64 // bytes that have been read but not yet delivered to the handler
}

// socket is the implementation of a connection's input and output: a polledSocket on netpoll or, after the peer has had to be
// throttled, a directSocket on Go's network poller. Its methods are called on the loop, except write.
type socket interface {
	withDescriptor(f func(fd int)) bool // calls f with the descriptor if it is open, and reports whether it is
	write(b []byte) error               // blocks while the send buffer is full, for writeTimeout at most
	close()                             // closes the connection at once
	finish()                            // closes the connection after the peer has received all bytes written
	reset()                             // closes the connection with a TCP reset
	setPaused(pause bool)               // stops or resumes reading
	unreadBytes() int                   // returns the number of bytes read that Conn.undelivered does not count yet
}

// SetHandler sets the handler that receives the events of the connection.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Written reports whether the kernel has accepted all bytes passed to Write.
func (c *Conn) Written() bool { return !c.writing && len(c.unsent) == 0 }

// OnWritten calls f once the kernel has accepted all bytes passed to Write, which may be before OnWritten returns. It does not
// call f if the connection ends first.
func (c *Conn) OnWritten(f func()) {
	if c.Written() && !c.closed {
		f()
		return
	}
	c.onWritten = f
}

// Pause stops reading if pause is true, so that TCP flow control holds the peer back, and otherwise resumes it. Bytes that have
// already been read are still delivered. While a write through netpoll is in progress, a connection cannot be paused for the
// first time: the call then does not stop reading.
func (c *Conn) Pause(pause bool) {
	if !c.closed {
		c.socket.setPaused(pause)
	}
}

// LimitSendBuffer limits the kernel's send buffer, which by default grows to megabytes when the peer does not read.
func (c *Conn) LimitSendBuffer() { c.socket.withDescriptor(limitSendBuffer) }

// Write sends b to the peer, or queues the part that the kernel does not accept at once. It never blocks. If the queue grows
// beyond maxUnsent, the connection fails with ErrOverrun. After Close, Finish or Reset, b is discarded.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	if c.Written() {
		b = b[c.send(b):]
	}
	if len(b) == 0 {
		return
	}
	c.unsent = append(c.unsent, b...)
	switch {
	case len(c.unsent) > maxUnsent:
		c.fail(ErrOverrun)
	case !c.writing:
		c.flush()
	}
}

// send writes to the descriptor without blocking and returns the number of bytes that the kernel accepted, which is nearly always
// len(b). Starting a goroutine for each write and copying through netpoll's buffers would cost a tenth of the CPU time. An error
// is ignored, as flush runs into it again.
func (c *Conn) send(b []byte) (n int) {
	c.socket.withDescriptor(func(fd int) { n, _ = syscall.Write(fd, b) })
	return max(n, 0)
}

// flush writes the queue on a new goroutine, which may block while the peer reads slowly. A connection has at most one such
// goroutine. It ends with the write, at the latest writeTimeout after the peer's last read.
func (c *Conn) flush() {
	b := c.unsent
	c.unsent = nil
	c.writing = true
	go func() {
		err := c.socket.write(b)
		c.loop.Post(func() { c.flushed(err) })
	}()
}

// flushed handles the end of a write started by flush.
func (c *Conn) flushed(err error) {
	switch {
	case c.closed:
		return
	case err != nil:
		c.fail(err) // writing stays set: the last byte was not sent
		return
	case len(c.unsent) > 0 && !c.peerClosed:
		c.flush()
		return
	}
	c.writing = false
	if f := c.onWritten; f != nil && len(c.unsent) == 0 {
		c.onWritten = nil
		f()
	}
	switch {
	case c.closing:
		c.finishSocket()
	case c.peerClosed:
		c.fail(io.EOF)
	}
}

// handlePeerClose handles the peer's close. The event may arrive before the result of a write that is in progress. As that result
// decides whether the request may have been executed, the close is reported after it.
func (c *Conn) handlePeerClose() {
	c.peerClosed = true
	if !c.writing {
		c.fail(io.EOF)
	}
}

// Close closes the connection at once and discards queued bytes. The handler receives no more events.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.socket.close()
	}
}

// Finish closes the connection after all queued bytes have been written. While the peer has not acknowledged all of them, or
// still sends, only the sending half is closed and input is discarded until the peer closes too, so that the peer reads the
// last answer and then the end of the stream. Closing the descriptor with unread input, or before further input arrives, would
// reset the connection, and the reset could make the peer lose that answer.
func (c *Conn) Finish() {
	c.discardInput.Store(true)
	c.closing = true
	if c.Written() {
		c.finishSocket()
	}
}

// finishSocket marks the connection as closed and finishes the socket.
func (c *Conn) finishSocket() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.socket.finish()
	}
}

// Reset closes the connection at once with a TCP reset, which tells the peer that bytes it may be sending are not read; an
// ordinary close would not. As a reset discards bytes that the peer has not read yet, Reset acts like Finish while bytes are
// queued or unacknowledged.
func (c *Conn) Reset() {
	unsent := !c.Written()
	c.socket.withDescriptor(func(fd int) { unsent = unsent || hasUnsent(fd) })
	switch {
	case unsent:
		c.Finish()
	case !c.closed:
		c.closed = true
		c.handler = nil
		c.socket.reset()
	}
}

// fail closes the connection and reports err to the handler.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	handler := c.handler
	c.Close()
	handler.Closed(err)
}

// deliver passes bytes that were read at the given time to the handler.
func (c *Conn) deliver(readAt time.Duration, b []byte) {
	c.undelivered.Add(-int64(len(b)))
	if !c.closed && !c.closing && len(b) > 0 {
		c.handler.Data(readAt, b)
	}
}

// Quiet reports whether the connection is open and has neither bytes nor a close of the peer that are not yet delivered to the
// handler. It checks the kernel's receive buffer too, as the reading goroutines may not have run yet.
func (c *Conn) Quiet() bool {
	if c.closed || c.peerClosed {
		return false
	}
	quiet := false
	c.socket.withDescriptor(func(fd int) { quiet = noInput(fd) })
	return quiet && c.AllDelivered()
}

// PeerDisconnected reports whether the peer has closed the connection or its half of it. It queries the kernel, because the
// handler may learn of the close much later: after unread bytes, after events queued on the loop, or after a write.
func (c *Conn) PeerDisconnected() bool {
	if c.closed || c.peerClosed {
		return true
	}
	hungUp := false
	open := c.socket.withDescriptor(func(fd int) { hungUp = peerHungUp(fd) })
	return hungUp || !open
}

// AllDelivered reports whether all bytes that have been read are delivered to the handler. The kernel may hold further bytes.
func (c *Conn) AllDelivered() bool {
	return c.closed || c.socket.unreadBytes() == 0 && c.undelivered.Load() == 0
}
