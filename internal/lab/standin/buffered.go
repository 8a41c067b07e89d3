package standin

import (
	"net"
	"time"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// buffered reads messages by a parser of the protocol.
type buffered struct {
	c    net.Conn
	b    []byte
	pace Pace // at which it reads while a message is incomplete
}

func (r *buffered) next(parse func([]byte) (int, error)) error {
	for {
		n, err := parse(r.b)
		if err != nil {
			return err
		}
		if n > 0 {
			r.b = r.b[n:]
			return nil
		}
		chunk := make([]byte, 64<<10)
		if r.pace.Bytes > 0 {
			chunk = chunk[:r.pace.Bytes]
		}
		if r.pace.Bytes > 0 && len(r.b) > 0 {
			time.Sleep(r.pace.Every)
		}
		n, err = r.c.Read(chunk)
		if err != nil {
			return err
		}
		r.b = append(r.b, chunk[:n]...)
	}
}

func (r *buffered) pg() (m pgwire.Message, err error) {
	err = r.next(func(b []byte) (n int, err error) {
		m, n, err = pgwire.Next(b, pgwire.MaxLong+1<<10)
		m.Body = append([]byte(nil), m.Body...)
		return n, err
	})
	return m, err
}

func (r *buffered) my() (payload []byte, seq byte, err error) {
	err = r.next(func(b []byte) (n int, err error) {
		seq, payload, n, err = mysql.Next(b, mysql.MaxAnswer)
		payload = append([]byte(nil), payload...)
		return n, err
	})
	return payload, seq, err
}
