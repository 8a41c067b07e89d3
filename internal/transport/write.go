package transport

import (
	"errors"
	"syscall"
	"time"
)

// Written reports whether the kernel has accepted all bytes passed to Write.
func (c *Conn) Written() bool { return len(c.unsent) == 0 }

// Blocked reports whether bytes wait because the peer does not read. Bytes that are sent at the end of the turn in progress do not
// count.
func (c *Conn) Blocked() bool { return len(c.unsent) > 0 && !c.corked }

// UnsentBytes returns the number of bytes that the kernel has not accepted.
func (c *Conn) UnsentBytes() int { return len(c.unsent) }

// LastWriteBytes returns the number of bytes passed to the last Write.
func (c *Conn) LastWriteBytes() int { return c.lastWrite }

// LastWriteDelayed reports whether the kernel has accepted no byte of the last Write, on a connection that is not known to be broken.
func (c *Conn) LastWriteDelayed() bool {
	return c.lastWrite > 0 && len(c.unsent) >= c.lastWrite && !c.hungUp && !c.closed
}

// UnacknowledgedBytes returns the number of bytes that the peer's kernel has not acknowledged, with those that wait here.
func (c *Conn) UnacknowledgedBytes() int {
	if c.fd < 0 {
		return 0
	}
	return len(c.unsent) + unacknowledgedBytes(c.fd)
}

// StalledFor returns for how long the peer has accepted none of the bytes that wait; 0 if none wait.
func (c *Conn) StalledFor() time.Duration {
	if len(c.unsent) == 0 {
		return 0
	}
	return c.loop.Now() - c.acceptedAt
}

// OnWritten calls f once the kernel has accepted all bytes passed to Write, which may be before OnWritten returns. It does not
// call f if the connection ends first.
func (c *Conn) OnWritten(f func()) {
	if c.Written() && !c.closed {
		f()
		return
	}
	c.onWritten = f
}

// LimitSendBuffer limits the kernel's send buffer, which by default grows to megabytes when the peer does not read.
func (c *Conn) LimitSendBuffer() {
	if c.fd >= 0 {
		limitSendBuffer(c.fd)
	}
}

// Write sends b to the peer, or queues the part that the kernel does not accept at once. It never blocks. If the queue grows
// beyond maxUnsent, the connection fails with ErrOverrun. After Close, Finish or Reset, b is discarded.
func (c *Conn) Write(b []byte) {
	if c.closed || c.closing {
		return
	}
	c.lastWrite = len(b)
	if len(c.unsent) == 0 {
		c.acceptedAt = c.loop.Now()
		if !c.corked {
			b = b[c.send(b):]
		}
	}
	c.unsent = append(c.unsent, b...)
	if len(c.unsent) > maxUnsent {
		c.fail(ErrOverrun)
	}
}

// send writes to the descriptor without blocking and returns the number of bytes that the kernel accepted. After an error the
// connection is read until its end, as the peer may have sent something before that.
func (c *Conn) send(b []byte) (sent int) {
	for sent < len(b) {
		n, err := syscall.Write(c.fd, b[sent:])
		switch {
		case n > 0:
			sent += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return sent
		case localShortage(err):
			c.afterOnLoop(writeRetryDelay, c.flush)
			return sent
		default:
			c.hungUp = true
			c.readable = true
			c.requestTurn()
			return sent
		}
	}
	return sent
}

// flush writes the queue as far as the kernel accepts it. Once it is empty, flush reports that.
func (c *Conn) flush() {
	if len(c.unsent) == 0 || c.fd < 0 {
		return
	}
	sent := c.send(c.unsent)
	if sent > 0 {
		c.acceptedAt = c.loop.Now()
	}
	if sent < len(c.unsent) {
		c.unsent = c.unsent[sent:]
		return
	}
	c.unsent = nil
	c.drained()
}

// drained tells those who wait for it that the queue is empty.
func (c *Conn) drained() {
	if f := c.onWritten; f != nil {
		c.onWritten = nil
		f()
	}
	if observer, ok := c.handler.(WriteObserver); ok && len(c.unsent) == 0 && !c.closing {
		observer.Drained()
	}
	if c.closing && len(c.unsent) == 0 {
		c.finishOutput()
	}
}

// Close closes the connection at once and discards queued bytes. The handler receives no more events.
func (c *Conn) Close() { c.release() }

// Finish closes the connection after all queued bytes have been written. While the peer has not acknowledged all of them, or
// still sends, only the sending half is closed and input is discarded until the peer closes too, so that the peer reads the
// last answer and then the end of the stream. Closing the descriptor with unread input, or before further input arrives, would
// reset the connection, and the reset could make the peer lose that answer.
func (c *Conn) Finish() {
	if c.closed || c.closing {
		return
	}
	c.closing = true
	if c.Written() {
		c.finishOutput()
		return
	}
	c.closed = true
	c.handler = nil
	c.closeWhenStalled()
	c.requestTurn()
}

// closeWhenStalled closes a finished connection whose peer accepts nothing for writeTimeout.
func (c *Conn) closeWhenStalled() {
	c.afterOnLoop(writeTimeout, func() {
		if c.StalledFor() >= writeTimeout {
			c.release()
		} else if c.fd >= 0 && !c.lingering {
			c.closeWhenStalled()
		}
	})
}

// finishOutput closes the sending half of a connection whose queue is empty, and the connection once the peer has read everything.
func (c *Conn) finishOutput() {
	if c.fd < 0 || c.lingering {
		return
	}
	c.closed = true
	c.handler = nil
	if !c.hungUp && noInput(c.fd) && !hasUnsent(c.fd) {
		c.release()
		return
	}
	c.lingering = true
	_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
	c.afterOnLoop(lingerTimeout, c.abort)
	c.readable = true
	c.requestTurn()
}

// afterOnLoop calls f on the loop after a delay.
func (c *Conn) afterOnLoop(delay time.Duration, f func()) {
	time.AfterFunc(delay, func() { c.loop.Post(f) })
}

// discardInput discards what the peer of a finished connection sends, until it closes or has sent too much.
func (c *Conn) discardInput() {
	buffer := readBuffers.Get().(*[MaxReadSize]byte)
	defer readBuffers.Put(buffer)
	n, err := syscall.Read(c.fd, buffer[:])
	switch {
	case n > 0:
		c.discarded += n
		if c.discarded > maxLingerBytes {
			c.abort()
		}
	case errors.Is(err, syscall.EAGAIN):
		c.readable = false
	case !errors.Is(err, syscall.EINTR): // the end of the input, or an error
		c.release()
	}
}

// abort closes a finished connection whose peer has not closed it. The close is a reset, so that a peer that is blocked on a full
// window learns of it, unless the peer has yet to acknowledge bytes.
func (c *Conn) abort() {
	if c.fd >= 0 {
		resetUnlessUnsent(c.fd)
		c.release()
	}
}

// Reset closes the connection at once with a TCP reset, which tells the peer that bytes it may be sending are not read; an
// ordinary close would not. As a reset discards bytes that the peer has not read yet, Reset acts like Finish while bytes are
// queued or unacknowledged.
func (c *Conn) Reset() {
	switch {
	case c.closed:
	case !c.Written() || hasUnsent(c.fd):
		c.Finish()
	default:
		resetOnClose(c.fd)
		c.release()
	}
}
