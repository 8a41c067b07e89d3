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

// polled is the socket of a connection on netpoll. Its poller reads whatever comes, and closes the descriptor after the peer has
// hung up. read and handleClose run on netpoll's goroutines, write on that of Conn.flush, everything else on the loop.
type polled struct {
	conn      *Conn
	budget    *Budget
	raw       netpoll.Connection
	released  atomic.Bool  // the descriptor has been given back to the budget
	watched   bool         // the poller watches the descriptor and closes it after a hang-up
	paused    bool         // what the successor of a handover begins with
	discarded atomic.Int64 // 1 once its owner has finished; from then on it counts the bytes that are discarded, too

	mu               sync.Mutex    // guards all that follows
	descriptorClosed bool          // the descriptor no longer belongs to this socket
	ownerClosed      bool          // the owner has closed or finished the connection
	finishTimer      *time.Timer   // ends a finished connection whose peer does not close; nil: there is none
	activeWrites     int           // writes through netpoll that are under way
	handover         chan struct{} // closed when the handover ends; nil: none has begun
	successor        *direct       // the socket after the handover
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
	if s.successor != nil {
		return s.successor.withDescriptor(f)
	}
	if s.descriptorClosed {
		return false
	}
	f(s.raw.(netpoll.Conn).Fd())
	return true
}

// write does not use netpoll's Writer: its buffers are taken away under a writer when the peer hangs up, which ends the program.
// Write holds the lock that netpoll's close waits for.
func (s *polled) write(b []byte) error {
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

// close does not use netpoll's Close, which spins on the loop while the poller is at work on the connection; on one core the
// poller's thread stands still meanwhile, for 24 ms on average. After a shutdown of both directions the connection is over for
// the peer at once, and the poller closes it. A peer that still sends is reset, as it might wait for room forever; during a
// handover the successor sees to that.
func (s *polled) close() {
	if !s.watched { // the poller would leave it open
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

// finish leaves the socket with netpoll, which reads on until the peer closes. If the peer has read everything and sends
// nothing, there is nothing to wait for.
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

// quiet reports whether everything that the peer has sent has reached the owner.
func (s *polled) quiet(fd int) bool {
	return noInput(fd) && s.unreadBytes() == 0 && s.conn.undelivered.Load() == 0
}

// abort ends a finished connection though its peer has not closed it.
func (s *polled) abort() {
	s.withDescriptor(func(fd int) {
		resetUnlessUnsent(fd)
		_ = syscall.Shutdown(fd, syscall.SHUT_RDWR)
	})
}

func (s *polled) reset() {
	s.withDescriptor(resetOnClose)
	_ = s.raw.Close() // it has no input, so the poller is not at work on it
	s.release()
}

func (s *polled) unreadBytes() int { return s.raw.Reader().Len() }

// release gives the descriptor back to the budget, once.
func (s *polled) release() {
	if s.released.CompareAndSwap(false, true) {
		s.budget.release()
	}
}

// start begins to read a connection that was dialled.
func (s *polled) start() {
	s.watched = true
	_ = s.raw.SetOnRequest(func(context.Context, netpoll.Connection) error { return s.read() })
	s.watchClose()
}

// watchClose has the end of the connection reported. The end may have come before the callback was set, so the state of the
// connection is checked last.
func (s *polled) watchClose() {
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

// read takes in what netpoll has read. It runs on netpoll's goroutines, one call at a time. The time of arrival is taken here,
// so that waiting in the loop's queue counts. If the peer outruns the loop, the connection is handed over to Go's poller; if that
// cannot be, because the peer does not read what is being written to it, the connection fails.
func (s *polled) read() error {
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
	at := c.loop.Now()
	c.loop.Post(func() { c.deliver(at, b) })
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

// handleClose takes in that netpoll is about to close the descriptor: at the end of the connection, or for a handover.
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
