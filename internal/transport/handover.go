package transport

import (
	"net"
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// setPaused hands the connection over to Go's poller, as netpoll cannot stop reading. The goroutine ends when netpoll has closed
// its descriptor, which completes the handover.
func (s *polled) setPaused(on bool) {
	s.paused = on
	if on && s.beginHandover() {
		go func() { _ = s.raw.Close() }()
	}
}

// beginHandover reports whether the handover begins now: the caller then closes the connection in netpoll. It cannot begin while
// a write through netpoll is under way.
func (s *polled) beginHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.descriptorClosed || s.ownerClosed || s.activeWrites > 0 || s.handover != nil {
		return false
	}
	s.handover = make(chan struct{})
	return true
}

// inHandover reports whether a handover has begun. netpoll may go on reading during it.
func (s *polled) inHandover() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover != nil
}

// completeHandover makes a direct socket, on a copy of the descriptor, the successor of a socket whose handover has begun, and
// reports whether there is a successor. The poller may be reading into the buffer, so its turn is waited for. Bytes that netpoll
// has read are delivered first.
func (s *polled) completeHandover() bool {
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
	successor, err = newDirect(s.conn, s.budget, s.raw.(netpoll.Conn).Fd())
	if err != nil {
		return false
	}
	s.successor = successor
	s.conn.undelivered.Add(int64(len(rest)))
	at := s.conn.loop.Now()
	s.conn.loop.Post(func() {
		s.conn.deliver(at, rest)
		s.conn.socket = successor
		successor.paused = s.paused
		go successor.read() // ends after successor.close or reset
		if s.conn.closed {
			successor.close()
		}
	})
	return true
}

// barrier is the barrier of netpoll's one poller.
var barrier pollerBarrier

// pollerBarrier lets goroutines wait until netpoll's one poller has handled all events that it had fetched. It is a listener
// whose descriptor is a pipe, so that its Accept runs on the poller, between the events of connections.
type pollerBarrier struct {
	once            sync.Once
	readFD, writeFD int // the pipe

	mu      sync.Mutex      // guards waiting
	waiting []chan struct{} // closed by the next Accept
}

// start makes the pipe and serves it. The goroutine lives as long as the process.
func (b *pollerBarrier) start() {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		panic(err) // only without descriptors, of which the pooler's budget leaves some free
	}
	b.readFD, b.writeFD = fds[0], fds[1]
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		panic(err)
	}
	go func() { _ = events.Serve(b) }()
}

// wait waits until the poller has handled what it had fetched. It must not be called on the poller.
func (b *pollerBarrier) wait() {
	b.once.Do(b.start)
	done := make(chan struct{})
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	_, _ = syscall.Write(b.writeFD, []byte{1}) // a full pipe wakes the poller as well
	<-done
}

// Accept is called by the poller. It ends all waits and accepts nothing.
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

// Addr returns an empty address: netpoll asks every listener for one.
func (b *pollerBarrier) Addr() net.Addr { return &net.TCPAddr{} }

// Fd is the descriptor that the poller watches.
func (b *pollerBarrier) Fd() int { return b.readFD }
