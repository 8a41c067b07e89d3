package transport

import (
	"cmp"
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

// chunkSize is read at once from a connection that has left netpoll, and so many pieces ahead of the loop.
const (
	chunkSize      = 32 << 10
	maxChunksAhead = 2

	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// direct is the socket of a connection that has left netpoll for Go's own poller: a goroutine of its own reads it, only as
// fast as the loop takes in, and not at all while it is paused. netpoll reads whatever comes.
type direct struct {
	conn       *Conn
	budget     *Budget
	tcp        *net.TCPConn
	raw        syscall.RawConn
	readTokens chan struct{} // leave to read a piece
	done       chan struct{} // closed at the end
	reading    atomic.Int32  // 1 while bytes may have been read that unheard does not count yet
	paused     bool          // on the loop, as what follows
	heldTokens int           // leaves kept back meanwhile
}

// newDirect takes over a copy of a descriptor.
func newDirect(c *Conn, budget *Budget, fd int) (*direct, error) {
	copied, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(copied), "connection")
	defer func() { _ = f.Close() }() // FileConn has copied the descriptor once more
	std, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	s := &direct{conn: c, budget: budget, tcp: std.(*net.TCPConn), readTokens: make(chan struct{}, maxChunksAhead), done: make(chan struct{})}
	s.raw, err = s.tcp.SyscallConn()
	for range maxChunksAhead {
		s.readTokens <- struct{}{}
	}
	return s, err
}

func (s *direct) withDescriptor(f func(fd int)) bool {
	return s.raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

func (s *direct) write(b []byte) error {
	_ = s.tcp.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.tcp.Write(b)
	return err
}

// close ends sending; the rest is up to linger.
func (s *direct) close() {
	close(s.done)
	s.withDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	_ = s.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (s *direct) finish() { s.close() }

func (s *direct) reset() {
	_ = s.tcp.SetLinger(0)
	close(s.done)
	_ = s.tcp.Close() // linger closes it again
}

// linger throws away what a peer still sends, for a while, and then resets the connection. Closed outright it would leave
// a peer that is kept waiting to wait on, for nobody tells it of room or of the end; reset at once it would take what the
// peer has not read yet.
func (s *direct) linger() {
	defer s.budget.release()
	defer func() { _ = s.tcp.Close() }() // after a reset it is closed already
	p := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(p)
	for n := 0; n < maxLingerBytes; {
		m, err := s.tcp.Read(p[:])
		if errors.Is(err, io.EOF) {
			return
		}
		if n += m; err != nil {
			break
		}
	}
	s.withDescriptor(resetUnlessUnsent)
}

func (s *direct) setPaused(on bool) {
	if s.paused = on; on {
		return
	}
	for ; s.heldTokens > 0; s.heldTokens-- {
		s.readTokens <- struct{}{}
	}
}

func (s *direct) unreadBytes() int { return int(s.reading.Load()) }

// read takes pieces off until the end. A buffer is held only while there is something in it: many connections are idle.
func (s *direct) read() {
	defer s.linger()
	for {
		select {
		case <-s.readTokens:
		case <-s.done:
			return
		}
		p, n, err := s.readChunk()
		if err != nil {
			s.conn.loop.Post(s.conn.handlePeerClose)
			<-s.done
			return
		}
		at := s.conn.loop.Now()
		s.conn.loop.Post(func() {
			s.conn.deliver(at, p[:n])
			chunks.Put(p)
			if s.paused {
				s.heldTokens++
			} else {
				s.readTokens <- struct{}{}
			}
		})
	}
}

func (s *direct) readChunk() (p *[chunkSize]byte, n int, err error) {
	closed := s.raw.Read(func(fd uintptr) bool {
		p = chunks.Get().(*[chunkSize]byte)
		s.reading.Store(1)
		defer s.reading.Store(0)
		if n, err = syscall.Read(int(fd), p[:]); n > 0 {
			s.conn.undelivered.Add(int64(n))
			return true
		}
		if chunks.Put(p); err == nil {
			err = io.EOF
		}
		return err != syscall.EAGAIN
	})
	return p, n, cmp.Or(closed, err)
}

// pollerBarrier lets others wait until netpoll's one poller has been through all it had fetched: it is a listener whose descriptor
// is a pipe, so its Accept runs on the poller, between connections.
type pollerBarrier struct {
	once            sync.Once
	readFD, writeFD int
	mu              sync.Mutex
	waiting         []chan struct{}
}

var barrier pollerBarrier

func (b *pollerBarrier) start() {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		panic(err) // at the first long answer, and only without descriptors: spareFiles are for this
	}
	b.readFD, b.writeFD = fds[0], fds[1]
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		panic(err)
	}
	go func() { _ = events.Serve(b) }()
}

// wait waits until what the poller was at is over. It must not be called on the poller.
func (b *pollerBarrier) wait() {
	b.once.Do(b.start)
	done := make(chan struct{})
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	_, _ = syscall.Write(b.writeFD, []byte{1}) // a full pipe rings as well
	<-done
}

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

func (b *pollerBarrier) Close() error   { return nil }
func (b *pollerBarrier) Addr() net.Addr { return &net.TCPAddr{} }
func (b *pollerBarrier) Fd() int        { return b.readFD }
