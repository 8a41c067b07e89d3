package transport

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// polledSocket is the socket of a connection on netpoll. netpoll's poller reads all input without flow control and closes the
// descriptor after the peer has hung up. read and handleClose run on netpoll's goroutines, write runs on that of Conn.flush,
// finishTimer runs abort on one of its own, and the other socket methods run on the loop.
type polledSocket struct {
	conn      *Conn
	budget    *Budget
	raw       netpoll.Connection
	released  atomic.Bool  // the descriptor has been released to the budget
	watched   bool         // the poller watches the descriptor and closes it after a hang-up
	paused    bool         // initial state of the successor after a handover
	discarded atomic.Int64 // 0 until the owner has finished the connection, then 1 plus the number of bytes discarded

	mu               sync.Mutex    // guards the fields below
	descriptorClosed bool          // the descriptor no longer belongs to this socket
	ownerClosed      bool          // close or finish has been called
	finishTimer      *time.Timer   // aborts a finished connection whose peer does not close; nil: not started
	activeWrites     int           // writes through netpoll in progress
	handover         chan struct{} // closed when the handover ends; nil: no handover has begun
	successor        *directSocket // socket after the handover; nil: none
}

// newPolledSocket returns a socket on a netpoll connection, for whose descriptor budget.take has been called.
func newPolledSocket(loop Loop, budget *Budget, raw netpoll.Connection) *polledSocket {
	s := &polledSocket{budget: budget, raw: raw}
	s.conn = &Conn{loop: loop, socket: s}
	s.withDescriptor(limitReceiveBuffer)
	return s
}

func (s *polledSocket) withDescriptor(f func(fd int)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil {
		return s.successor.withDescriptor(f)
	}
	if s.descriptorClosed {
		return false
	}
	f(s.raw.(netpoll.Conn).Fd())
	return true
}

// write writes b and blocks for writeTimeout at most. During a handover it waits for the successor and writes to it. It does
// not use netpoll's Writer: netpoll frees the buffers when the peer hangs up, which crashes the program if a write is using
// them. netpoll's Write holds a lock that its close waits for.
func (s *polledSocket) write(b []byte) error {
	s.mu.Lock()
	if handover := s.handover; handover != nil {
		s.mu.Unlock()
		<-handover
		if s.successor == nil {
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

// close shuts down both directions: the connection ends for the peer at once, and the poller then closes the descriptor. It
// does not use netpoll's Close, which busy-waits on the loop while the poller handles the connection; on one core the poller's
// thread does not run meanwhile, for 24 ms on average. If input has not been delivered, the connection is reset, as the peer
// might otherwise stay blocked on a full window forever; during a handover the successor does this.
func (s *polledSocket) close() {
	if !s.watched { // the poller would not close it
		_ = s.raw.Close()
		s.release()
		return
	}
	s.mu.Lock()
	s.ownerClosed = true
	handingOver := s.handover != nil
	s.mu.Unlock()
	s.withDescriptor(func(fd int) {
		if handingOver {
			_ = syscall.Shutdown(fd, syscall.SHUT_WR)
			return
		}
		if !s.quiet(fd) {
			resetOnClose(fd)
		}
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
}

// finish closes the sending half; netpoll continues to read until the peer closes, for lingerTimeout and maxLingerBytes at
// most. If the peer has acknowledged all bytes and its input is all delivered, it closes the connection at once.
func (s *polledSocket) finish() {
	unfinished := false
	s.withDescriptor(func(fd int) { unfinished = hasUnsent(fd) || !s.quiet(fd) })
	if !s.watched || !unfinished {
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

// quiet reports whether the peer has not closed and all bytes it has sent are delivered to the handler.
func (s *polledSocket) quiet(fd int) bool {
	return noInput(fd) && s.unreadBytes() == 0 && s.conn.undelivered.Load() == 0
}

// abort closes a finished connection whose peer has not closed it.
func (s *polledSocket) abort() {
	s.withDescriptor(func(fd int) {
		resetUnlessUnsent(fd)
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
}

func (s *polledSocket) reset() {
	s.withDescriptor(resetOnClose)
	_ = s.raw.Close() // does not wait for the poller: there is no input for it to handle
	s.release()
}

func (s *polledSocket) unreadBytes() int { return s.raw.Reader().Len() }

// release releases the descriptor to the budget. Further calls have no effect.
func (s *polledSocket) release() {
	if s.released.CompareAndSwap(false, true) {
		s.budget.release()
	}
}

// start begins to read a connection that was dialed.
func (s *polledSocket) start() {
	s.watched = true
	_ = s.raw.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
	s.watchClose()
}

// watchClose arranges for handleClose to be called at the end of the connection. The connection may have ended before the
// callback was set, so its state is checked afterwards.
func (s *polledSocket) watchClose() {
	_ = s.raw.SetWriteTimeout(writeTimeout)
	// The callback runs before the descriptor is closed, and never together with read.
	_ = s.raw.AddCloseCallback(func(netpoll.Connection) error {
		s.handleClose()
		return nil
	})
	if !s.raw.IsActive() {
		s.handleClose()
	}
}

// read posts the bytes that netpoll has read to the loop. It runs on netpoll's goroutines, one call at a time. It takes the time
// of arrival before it posts the bytes, so that the handler can account for the time in the loop's queue. If the peer sends
// faster than the loop handles the bytes, the connection is handed over to Go's network poller. A handover is not possible while
// a write is blocked because the peer does not read; the connection then fails with ErrFlood.
func (s *polledSocket) read() error {
	c, reader := s.conn, s.raw.Reader()
	n := reader.Len()
	if c.discardInput.Load() {
		if s.discarded.Load() > 0 && s.discarded.Add(int64(n)) > maxLingerBytes {
			s.abort()
		}
		return skip(reader, n)
	}
	undelivered := c.undelivered.Add(int64(n))
	handingOver := undelivered > pauseThreshold && s.beginHandover()
	if !handingOver && undelivered > maxUndelivered && !s.inHandover() {
		c.discardInput.Store(true)
		c.loop.Post(func() { c.fail(ErrFlood) })
		return skip(reader, n)
	}
	b, err := reader.ReadBinary(n)
	if err != nil {
		return err
	}
	_ = reader.Release()
	readAt := c.loop.Now()
	c.loop.Post(func() { c.deliver(readAt, b) })
	if handingOver {
		return s.raw.Close()
	}
	return nil
}

// skip discards n bytes of netpoll's buffer.
func skip(reader netpoll.Reader, n int) error {
	_ = reader.Skip(n)
	return reader.Release()
}

// handleClose is called when netpoll is about to close the descriptor, at the end of the connection or for a handover.
func (s *polledSocket) handleClose() {
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
