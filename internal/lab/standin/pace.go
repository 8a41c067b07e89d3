package standin

import (
	"net"
	"time"
)

// Pace is the pace at which a peer writes or reads: so many bytes at a time, with a pause before each of the next. The zero value
// is no limit.
type Pace struct {
	Bytes int
	Every time.Duration
}

// Write writes b at the pace.
func (p Pace) Write(c net.Conn, b []byte) error {
	for p.Bytes > 0 && len(b) > p.Bytes {
		if _, err := c.Write(b[:p.Bytes]); err != nil {
			return err
		}
		b = b[p.Bytes:]
		time.Sleep(p.Every)
	}
	_, err := c.Write(b)
	return err
}

// SetPace has the server read large statements and write large answers at a pace. It holds for connections from now on.
func (s *Server) SetPace(pace Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = pace
}

// setPace limits the kernel's buffers of a connection to what a peer of the server's pace leaves in them.
func (s *Server) setPace(c net.Conn, r *buffered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.pace = s.pace
	if s.pace.Bytes > 0 {
		_ = c.(*net.TCPConn).SetReadBuffer(s.pace.Bytes)
		_ = c.(*net.TCPConn).SetWriteBuffer(s.pace.Bytes)
	}
}

// currentPace returns the server's pace.
func (s *Server) currentPace() Pace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pace
}

// MySQLRow is the answer to a query on MySQL's protocol: one row of one text column.
func MySQLRow(column, value string) []byte { return myRow(column, value, false) }
