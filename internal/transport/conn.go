package transport

import (
	"io"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is one connection. All its methods must be called on its loop.
type Conn struct {
	loop         Loop
	socket       socket
	handler      Handler
	closed       bool         // by its owner, or reported to it
	unsent       []byte       // queued for the next write
	writing      bool         // a goroutine of flush is at work
	closing      bool         // it is closed once all is written
	onWritten    func()       // runs once all bytes given to Write are with the kernel; nil: nobody waits
	peerClosed   bool         // the peer has closed while a write was under way
	discardInput atomic.Bool  // what the peer still sends is discarded
	undelivered  atomic.Int64 // bytes that have been read and have not reached the loop yet
}

// socket is what moves the bytes of a connection: polled on netpoll or, once its peer has had to wait, direct on Go's own
// poller. Its methods are called on the loop, but for write.
type socket interface {
	withDescriptor(f func(fd int)) bool // calls f with the descriptor, unless it is closed; reports whether it is open
	write(b []byte) error               // blocks while the peer does not read, at most for writeTimeout
	close()                             // ends the connection
	finish()                            // ends it so that the peer gets all that was written
	reset()                             // ends it so that the peer learns that what it sends is not read
	setPaused(on bool)                  // stops or resumes reading
	unreadBytes() int                   // bytes that have been read and that Conn.undelivered does not count yet
}

// SetHandler makes h the owner of the connection.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// Written reports whether all bytes given to Write are with the kernel.
func (c *Conn) Written() bool { return !c.writing && len(c.unsent) == 0 }

// OnWritten calls f once all bytes given to Write are with the kernel, which may be at once. It does not call f if the
// connection ends before.
func (c *Conn) OnWritten(f func()) {
	if c.Written() && !c.closed {
		f()
		return
	}
	c.onWritten = f
}

// Pause stops reading, so that the peer has to wait, or resumes it. Bytes that have been read are delivered all the same. It
// has no effect while a write is under way.
func (c *Conn) Pause(on bool) {
	if !c.closed {
		c.socket.setPaused(on)
	}
}

// LimitSendBuffer bounds what the kernel keeps for a peer that does not read, which would be megabytes by default.
func (c *Conn) LimitSendBuffer() { c.socket.withDescriptor(limitSendBuffer) }

// Write queues bytes for the peer and never blocks.
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

// send gives the kernel what it takes at once, which is nearly always all, and returns the number of bytes. A goroutine for
// each write, and the way through netpoll's buffers, would cost a tenth of the processor. flush meets an error again.
func (c *Conn) send(b []byte) (n int) {
	c.socket.withDescriptor(func(fd int) { n, _ = syscall.Write(fd, b) })
	return max(n, 0)
}

// flush writes the queue on a goroutine of its own, where it may wait for a peer that reads slowly. The goroutine belongs to the
// connection, which has one at a time; it ends when the write does, at the latest writeTimeout after the peer's last read.
func (c *Conn) flush() {
	b := c.unsent
	c.unsent = nil
	c.writing = true
	go func() {
		err := c.socket.write(b)
		c.loop.Post(func() { c.flushed(err) })
	}()
}

// flushed takes in the end of a write.
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

// handlePeerClose takes in the peer's close. It may overtake the end of a write. Whether that write was complete decides if the
// request may have been executed, so the close is reported after it.
func (c *Conn) handlePeerClose() {
	c.peerClosed = true
	if !c.writing {
		c.fail(io.EOF)
	}
}

// Close ends the connection at once. Its handler receives no more events.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.socket.close()
	}
}

// Finish closes the connection after all that is queued has been written. While the peer has yet to read some of it, or still
// sends, only the sending half is closed and input is discarded, until the peer closes too: so the peer meets the end of the
// stream behind the last answer. A close with unread input, or before further input, would reset the connection, and the reset
// could overtake that answer.
func (c *Conn) Finish() {
	c.discardInput.Store(true)
	c.closing = true
	if c.Written() {
		c.finishSocket()
	}
}

func (c *Conn) finishSocket() {
	if !c.closed {
		c.closed = true
		c.handler = nil
		c.socket.finish()
	}
}

// Reset closes the connection at once so that the peer learns that what it may be sending is not read; an ordinary close would
// not tell. A reset would discard bytes that the peer has not read: while there are any, Reset is Finish.
func (c *Conn) Reset() {
	owed := !c.Written()
	c.socket.withDescriptor(func(fd int) { owed = owed || hasUnsent(fd) })
	switch {
	case owed:
		c.Finish()
	case !c.closed:
		c.closed = true
		c.handler = nil
		c.socket.reset()
	}
}

// fail closes the connection and reports it to the owner.
func (c *Conn) fail(err error) {
	if c.closed {
		return
	}
	handler := c.handler
	c.Close()
	handler.Closed(err)
}

// deliver passes bytes that have been read to the owner.
func (c *Conn) deliver(at time.Duration, b []byte) {
	c.undelivered.Add(-int64(len(b)))
	if !c.closed && !c.closing && len(b) > 0 {
		c.handler.Data(at, b)
	}
}

// Quiet reports whether the peer has neither sent nor closed anything that the owner has not been told of. It looks at the
// kernel's buffer first, as the goroutines that read may be late.
func (c *Conn) Quiet() bool {
	if c.closed || c.peerClosed {
		return false
	}
	quiet := false
	c.socket.withDescriptor(func(fd int) { quiet = noInput(fd) })
	return quiet && c.AllDelivered()
}

// PeerDisconnected reports whether the peer has closed its connection, or its half of it. It asks the kernel, where the close
// may lie behind unread bytes; the event of a close that has been read may still wait behind others of the loop, or a write.
func (c *Conn) PeerDisconnected() bool {
	if c.closed || c.peerClosed {
		return true
	}
	hungUp := false
	open := c.socket.withDescriptor(func(fd int) { hungUp = peerHungUp(fd) })
	return hungUp || !open
}

// AllDelivered reports whether all bytes that have been read have reached the owner. The kernel may hold more.
func (c *Conn) AllDelivered() bool {
	return c.closed || c.socket.unreadBytes() == 0 && c.undelivered.Load() == 0
}
