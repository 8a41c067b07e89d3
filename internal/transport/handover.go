package transport

import (
	"net"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// setPaused hands the connection over to Go's network poller when it is first paused, as netpoll cannot stop reading. The
// goroutine ends when netpoll has closed its descriptor, which completes the handover.
func (s *polledSocket) setPaused(pause bool) {
	s.paused = pause
	if pause && s.beginHandover() {
		go func() { _ = s.raw.Close() }()
	}
}

// beginHandover begins a handover to Go's network poller if possible and reports whether it did: the caller must then close the
// connection in netpoll. A handover cannot begin while a write through netpoll is in progress.
func (s *polledSocket) beginHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptorClosed || s.ownerClosed || s.activeWrites > 0 || s.handover != nil {
		return false
	}
	s.handover = make(chan struct{})
	return true
}

// inHandover reports whether a handover has begun. netpoll may continue to read until it is complete.
func (s *polledSocket) inHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover != nil
}

// completeHandover creates the successor of a socket whose handover has begun, a directSocket on a duplicate of the descriptor.
// It reports whether there is a successor. As netpoll's poller may be reading into the buffer, it first waits until the poller
// has handled the events it had fetched. Bytes that netpoll has read are delivered before those that the successor reads.
func (s *polledSocket) completeHandover() bool {
	s.mu.Lock()
	handover, successor := s.handover, s.successor
	s.mu.Unlock()
	if handover == nil || successor != nil {
		return successor != nil
	}
	barrier.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(handover)
	reader := s.raw.Reader()
	rest, err := reader.ReadBinary(reader.Len())
	if err != nil {
		return false
	}
	successor, err = newDirectSocket(s.conn, s.budget, s.raw.(netpoll.Conn).Fd())
	if err != nil {
		return false
	}
	s.successor = successor
	s.conn.undelivered.Add(int64(len(rest)))
	readAt := s.conn.loop.Now()
	s.conn.loop.Post(func() {
		s.conn.deliver(readAt, rest)
		s.conn.socket = successor
		successor.paused = s.paused
		go successor.read() // ends after successor.close or successor.reset
		if s.conn.closed {
			successor.close()
		}
	})
	return true
}

// barrier is the barrier of the process's only netpoll poller.
var barrier pollerBarrier

// pollerBarrier is a barrier at which goroutines wait until netpoll's only poller has handled all events that it had fetched. It
// is registered as a listener whose descriptor is a pipe, so that the poller calls its Accept between events of connections.
type pollerBarrier struct {
	once            sync.Once
	readFD, writeFD int // ends of the pipe

	mu      sync.Mutex      // guards waiting
	waiting []chan struct{} // channels that the next Accept closes
}

// start creates the pipe and registers it with netpoll. The goroutine lives as long as the process.
func (b *pollerBarrier) start() {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		panic(err) // happens only when the process is out of descriptors, and the pooler's budget leaves some free
	}
	b.readFD, b.writeFD = fds[0], fds[1]
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		panic(err)
	}
	go func() { _ = events.Serve(b) }()
}

// wait blocks until the poller has handled the events it had fetched. It must not be called on the poller's goroutine.
func (b *pollerBarrier) wait() {
	b.once.Do(b.start)
	done := make(chan struct{})
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	_, _ = syscall.Write(b.writeFD, []byte{1}) // can fail only if the pipe is full, which wakes the poller too
	<-done
}

// Accept releases all waiting goroutines. It is called by the poller and returns no connection.
func (b *pollerBarrier) Accept() (net.Conn, error) {
	var buf [64]byte
	_, _ = syscall.Read(b.readFD, buf[:])
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, done := range b.waiting {
		close(done)
	}
	b.waiting = nil
	return nil, nil
}

// Close does nothing: the barrier lives as long as the process.
func (b *pollerBarrier) Close() error { return nil }

// Addr returns an empty address. netpoll requires one of every listener.
func (b *pollerBarrier) Addr() net.Addr { return &net.TCPAddr{} }

// Fd returns the descriptor that the poller watches: the read end of the pipe.
func (b *pollerBarrier) Fd() int { return b.readFD }
