package standin

import (
	"fmt"
	"net"
	"time"

	"threadsail/internal/protocol/pgwire"
)

// servePostgres answers the queries of a connection until it ends.
func (s *Server) servePostgres(c net.Conn) {
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // else the kernel takes long answers whole
	r := &buffered{c: c}
	s.setPace(c, r)
	code, key := uint32(0), pgwire.Key{}
	if r.next(func(b []byte) (n int, err error) {
		if code, n, err = pgwire.NextStartup(b); n > 8 {
			key, _ = pgwire.ReadKey(b[8:n])
		}
		return n, err
	}) != nil {
		return
	}
	if code == pgwire.CancelCode {
		s.mu.Lock()
		s.cancels = append(s.cancels, key)
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	key = pgwire.Key{Process: uint32(len(s.came)), Secret: 77}
	how := s.login
	s.mu.Unlock()
	if how == Scram && !proves(c, r) {
		return
	}
	send(c, pgwire.AppendWelcome(nil, key))
	for {
		m, err := r.pg()
		if err == nil && m.Type == 'P' {
			s.serveExtended(c, r, m)
			return
		}
		if err != nil || m.Type != 'Q' {
			return
		}
		text, _ := pgwire.Text(m.Body)
		primary, position := s.state()
		if text == "SHOW health" {
			s.mu.Lock()
			s.probes = append(s.probes, time.Now())
			s.mu.Unlock()
			x1 := map[bool]int{true: 1}[primary]
			send(c, pgwire.AppendReady(pgwire.AppendRow(nil, "health",
				fmt.Sprintf("x0=%.3f,x1=%d,waiting=0", float64(position)/1000, x1), "SHOW")))
			continue
		}
		end, act, readOnly, spoilt := s.take(text)
		var out []byte
		switch {
		case spoilt != nil:
			end()
			s.writing(c, true)
			_ = s.currentPace().Write(c, spoilt)
			s.writing(c, false)
			continue
		case act == Break:
			end()
			return
		case act == Hang:
			_, _ = r.pg()
			end()
			return
		case act == Fault:
			out = pgwire.AppendError(nil, "ERROR", "XX000", "fault", "")
		case act == Full:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeTooMany, "full", "")
		case act == Behind:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeBehind, "too far behind", "")
		case readOnly:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeReadOnly, "read-only", "")
		default:
			out = pgwire.AppendRow(nil, "val", s.given(text), "SELECT 1")
		}
		out = pgwire.AppendParameter(out, "recovery", map[bool]string{true: "off", false: "on"}[primary])
		if position > 0 {
			out = pgwire.AppendParameter(out, "lsn_ms", fmt.Sprint(position))
		}
		end()
		s.answer(c, pgwire.AppendReady(out))
	}
}
