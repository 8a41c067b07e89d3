package transport

import (
	"cmp"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// pieceSize is read at once from a connection that has left netpoll, and so many pieces ahead of the loop.
const (
	pieceSize = 32 << 10
	ahead     = 2

	lingerFor  = 500 * time.Millisecond
	lingerMost = 1 << 20
)

var pieces = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// direct is the socket of a connection that has left netpoll for Go's own poller: a goroutine of its own reads it, only as
// fast as the loop takes in, and not at all while it is paused. netpoll reads whatever comes.
type direct struct {
	c       *Conn
	budget  *Budget
	std     *net.TCPConn
	raw     syscall.RawConn
	may     chan struct{} // leave to read a piece
	done    chan struct{} // closed at the end
	reading atomic.Int32  // 1 while bytes may have been read that unheard does not count yet
	paused  bool          // on the loop, as what follows
	owed    int           // leaves kept back meanwhile
}

// newDirect takes over a copy of a descriptor.
func newDirect(c *Conn, budget *Budget, fd int) (*direct, error) {
	copied, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(copied), "connection")
	defer f.Close()
	std, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	s := &direct{c: c, budget: budget, std: std.(*net.TCPConn), may: make(chan struct{}, ahead), done: make(chan struct{})}
	s.raw, err = s.std.SyscallConn()
	for range ahead {
		s.may <- struct{}{}
	}
	return s, err
}

func (s *direct) use(f func(fd int)) bool {
	return s.raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

func (s *direct) write(b []byte) error {
	_ = s.std.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.std.Write(b)
	return err
}

// close ends sending; the rest is up to linger.
func (s *direct) close() {
	close(s.done)
	s.use(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	_ = s.std.SetReadDeadline(time.Now().Add(lingerFor))
}

func (s *direct) finish() { s.close() }

func (s *direct) reset() {
	_ = s.std.SetLinger(0)
	close(s.done)
	s.std.Close()
}

// linger throws away what a peer still sends, for a while, and then resets the connection. Closed outright it would leave
// a peer that is kept waiting to wait on, for nobody tells it of room or of the end; reset at once it would take what the
// peer has not read yet.
func (s *direct) linger() {
	defer s.budget.free()
	defer s.std.Close()
	p := pieces.Get().(*[pieceSize]byte)
	defer pieces.Put(p)
	for n := 0; n < lingerMost; {
		m, err := s.std.Read(p[:])
		if err == io.EOF {
			return
		}
		if n += m; err != nil {
			break
		}
	}
	s.use(resetUnlessOwed)
}

func (s *direct) pause(on bool) {
	if s.paused = on; on {
		return
	}
	for ; s.owed > 0; s.owed-- {
		s.may <- struct{}{}
	}
}

func (s *direct) ahead() int { return int(s.reading.Load()) }

// read takes pieces off until the end. A buffer is held only while there is something in it: many connections are idle.
func (s *direct) read() {
	defer s.linger()
	for {
		select {
		case <-s.may:
		case <-s.done:
			return
		}
		p, n, err := s.next()
		if err != nil {
			s.c.loop.Post(s.c.hangup)
			<-s.done
			return
		}
		at := s.c.loop.Now()
		s.c.loop.Post(func() {
			s.c.heard(at, p[:n])
			pieces.Put(p)
			if s.paused {
				s.owed++
			} else {
				s.may <- struct{}{}
			}
		})
	}
}

func (s *direct) next() (p *[pieceSize]byte, n int, err error) {
	closed := s.raw.Read(func(fd uintptr) bool {
		p = pieces.Get().(*[pieceSize]byte)
		s.reading.Store(1)
		defer s.reading.Store(0)
		if n, err = syscall.Read(int(fd), p[:]); n > 0 {
			s.c.unheard.Add(int64(n))
			return true
		}
		if pieces.Put(p); err == nil {
			err = io.EOF
		}
		return err != syscall.EAGAIN
	})
	return p, n, cmp.Or(closed, err)
}

// bell lets others wait until netpoll's one poller has been through all it had fetched: it is a listener whose descriptor
// is a pipe, so its Accept runs on the poller, between connections.
type bell struct {
	once    sync.Once
	r, w    int
	mu      sync.Mutex
	waiting []chan struct{}
}

var poller bell

func (b *bell) start() {
	var fds [2]int
	if err := syscall.Pipe2(fds[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC); err != nil {
		panic(err) // at the first long answer, and only without descriptors: spareFiles are for this
	}
	b.r, b.w = fds[0], fds[1]
	events, err := netpoll.NewEventLoop(nil)
	if err != nil {
		panic(err)
	}
	go func() { _ = events.Serve(b) }()
}

// turn waits until what the poller was at is over. It must not be called on the poller.
func (b *bell) turn() {
	b.once.Do(b.start)
	done := make(chan struct{})
	b.mu.Lock()
	b.waiting = append(b.waiting, done)
	b.mu.Unlock()
	_, _ = syscall.Write(b.w, []byte{1}) // a full pipe rings as well
	<-done
}

func (b *bell) Accept() (net.Conn, error) {
	var buf [64]byte
	_, _ = syscall.Read(b.r, buf[:])
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, done := range b.waiting {
		close(done)
	}
	b.waiting = nil
	return nil, nil
}

func (b *bell) Close() error   { return nil }
func (b *bell) Addr() net.Addr { return &net.TCPAddr{} }
func (b *bell) Fd() int        { return b.r }
