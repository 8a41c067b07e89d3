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
)

const (
	chunkSize      = 32 << 10 // bytes that are read at once
	maxChunksAhead = 2        // chunks that may be read ahead of the loop
)

var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// direct is the socket of a connection on Go's own poller, after a handover from netpoll. A goroutine of its own (read) reads as
// fast as the loop takes in, and not at all while the socket is paused. After close or reset that goroutine closes the
// descriptor and gives it back to the budget.
type direct struct {
	conn       *Conn
	budget     *Budget
	tcp        *net.TCPConn
	raw        syscall.RawConn
	readTokens chan struct{} // each token allows the goroutine to read one chunk
	done       chan struct{} // closed by close and reset
	reading    atomic.Int32  // 1 while bytes may have been read that Conn.undelivered does not count yet
	paused     bool          // used on the loop only, as heldTokens is
	heldTokens int           // tokens kept back while the socket is paused
}

// newDirect returns a socket on a copy of the descriptor. The caller starts its read.
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
	s := &direct{
		conn:       c,
		budget:     budget,
		tcp:        std.(*net.TCPConn),
		readTokens: make(chan struct{}, maxChunksAhead),
		done:       make(chan struct{}),
	}
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

// close ends sending; linger does the rest.
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

// linger discards what the peer still sends, for lingerTimeout and maxLingerBytes at most, and then resets the connection. An
// outright close would leave a peer that waits for room waiting, as nothing tells it of room or of the end; an immediate reset
// would discard what the peer has not read yet.
func (s *direct) linger() {
	defer s.budget.release()
	defer func() { _ = s.tcp.Close() }() // after a reset it is closed already
	chunk := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(chunk)
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := s.tcp.Read(chunk[:])
		if errors.Is(err, io.EOF) {
			return
		}
		discarded += n
		if err != nil {
			break
		}
	}
	s.withDescriptor(resetUnlessUnsent)
}

func (s *direct) setPaused(on bool) {
	s.paused = on
	if on {
		return
	}
	for ; s.heldTokens > 0; s.heldTokens-- {
		s.readTokens <- struct{}{}
	}
}

func (s *direct) unreadBytes() int { return int(s.reading.Load()) }

// read reads chunks and posts them to the loop until the connection ends. It is the socket's own goroutine. It holds a buffer
// only while there are bytes in it, as many connections are idle.
func (s *direct) read() {
	defer s.linger()
	for {
		select {
		case <-s.readTokens:
		case <-s.done:
			return
		}
		chunk, n, err := s.readChunk()
		if err != nil {
			s.conn.loop.Post(s.conn.handlePeerClose)
			<-s.done
			return
		}
		at := s.conn.loop.Now()
		s.conn.loop.Post(func() {
			s.conn.deliver(at, chunk[:n])
			chunks.Put(chunk)
			s.returnToken()
		})
	}
}

// returnToken allows the next chunk to be read, or keeps the token back while the socket is paused. It runs on the loop.
func (s *direct) returnToken() {
	if s.paused {
		s.heldTokens++
		return
	}
	s.readTokens <- struct{}{}
}

// readChunk waits for bytes and reads them into a chunk.
func (s *direct) readChunk() (chunk *[chunkSize]byte, n int, err error) {
	closed := s.raw.Read(func(fd uintptr) bool {
		chunk = chunks.Get().(*[chunkSize]byte)
		s.reading.Store(1)
		defer s.reading.Store(0)
		n, err = syscall.Read(int(fd), chunk[:])
		if n > 0 {
			s.conn.undelivered.Add(int64(n))
			return true
		}
		chunks.Put(chunk)
		if err == nil {
			err = io.EOF
		}
		return err != syscall.EAGAIN // the poller calls again once there is input
	})
	return chunk, n, cmp.Or(closed, err)
}
