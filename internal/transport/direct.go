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
	chunkSize      = 32 << 10 // bytes per read
	maxChunksAhead = 2        // chunks read that the loop has not handled yet
)

// chunks is the pool of read buffers, shared by all connections.
var chunks = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// directSocket is the socket of a connection on Go's network poller, after a handover from netpoll. Its goroutine (read) reads no
// faster than the loop handles the bytes, and not at all while the socket is paused. After close or reset that goroutine closes
// the descriptor and releases it to the budget.
type directSocket struct {
	conn       *Conn
	budget     *Budget
	tcp        *net.TCPConn
	raw        syscall.RawConn
	readTokens chan struct{} // each token allows the goroutine to read one chunk
	done       chan struct{} // closed by close and reset
	reading    atomic.Int32  // 1 while bytes may have been read that Conn.undelivered does not count yet
	paused     bool          // used only on the loop, as is heldTokens
	heldTokens int           // tokens withheld while the socket is paused
}

// newDirectSocket returns a socket on a duplicate of fd. The caller must start its read method on a goroutine.
func newDirectSocket(c *Conn, budget *Budget, fd int) (*directSocket, error) {
	copied, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(copied), "connection")
	defer func() { _ = f.Close() }() // FileConn has duplicated the descriptor again
	std, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	s := &directSocket{
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

func (s *directSocket) withDescriptor(f func(fd int)) bool {
	return s.raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

func (s *directSocket) write(b []byte) error {
	_ = s.tcp.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := s.tcp.Write(b)
	return err
}

// close shuts down the sending half and makes the read goroutine run linger, which closes the descriptor.
func (s *directSocket) close() {
	close(s.done)
	s.withDescriptor(func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
	_ = s.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

func (s *directSocket) finish() { s.close() }

func (s *directSocket) reset() {
	_ = s.tcp.SetLinger(0)
	close(s.done)
	_ = s.tcp.Close() // linger's second Close has no effect
}

// linger discards the peer's input until the peer closes, lingerTimeout passes or maxLingerBytes are exceeded; in the latter
// two cases it resets the connection unless the peer has yet to acknowledge bytes. Closing the descriptor right away would
// leave a peer that is blocked on a full window waiting, as it would receive neither a window update nor the end of the
// connection; an immediate reset would discard bytes that the peer has not read yet. linger also releases the descriptor to the
// budget.
func (s *directSocket) linger() {
	defer s.budget.release()
	defer func() { _ = s.tcp.Close() }() // no effect after reset, which closes it too
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

func (s *directSocket) setPaused(pause bool) {
	s.paused = pause
	if pause {
		return
	}
	for ; s.heldTokens > 0; s.heldTokens-- {
		s.readTokens <- struct{}{}
	}
}

func (s *directSocket) unreadBytes() int { return int(s.reading.Load()) }

// read reads chunks and posts them to the loop until the connection ends. It runs on the socket's goroutine. It takes a buffer
// from the pool only when there is input, as many connections are idle.
func (s *directSocket) read() {
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
		readAt := s.conn.loop.Now()
		s.conn.loop.Post(func() {
			s.conn.deliver(readAt, chunk[:n])
			chunks.Put(chunk)
			s.returnToken()
		})
	}
}

// returnToken allows the next chunk to be read, or withholds the token while the socket is paused. It runs on the loop.
func (s *directSocket) returnToken() {
	if s.paused {
		s.heldTokens++
		return
	}
	s.readTokens <- struct{}{}
}

// readChunk waits for input and reads it into a chunk from the pool, which the caller must put back. It returns io.EOF once the
// peer has closed.
func (s *directSocket) readChunk() (chunk *[chunkSize]byte, n int, err error) {
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
		return err != syscall.EAGAIN // the poller calls the function again once there is input
	})
	return chunk, n, cmp.Or(closed, err)
}
