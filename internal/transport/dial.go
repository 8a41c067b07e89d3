package transport

import (
	"time"

	"github.com/cloudwego/netpoll"
)

// Dial connects to addr on a new goroutine and calls done on the loop with the connection or an error, which is ErrNoDescriptor
// if the budget is exhausted. done must set the connection's handler or close the connection. After cancel has been called,
// done is not called, and a connection that is still established is closed. The goroutine ends after timeout at the latest.
func Dial(loop Loop, budget *Budget, addr string, timeout time.Duration, done func(*Conn, error)) (cancel func()) {
	d := &dial{loop: loop, budget: budget, done: done}
	if !budget.take() {
		loop.Post(func() { d.fail(ErrNoDescriptor) })
		return d.cancel
	}
	go func() {
		raw, err := netpoll.DialConnection("tcp", addr, timeout)
		loop.Post(func() { d.connected(raw, err) })
	}()
	return d.cancel
}

// dial is a dial in progress. Its methods run on the loop.
type dial struct {
	loop      Loop
	budget    *Budget
	done      func(*Conn, error)
	cancelled bool
}

func (d *dial) cancel() { d.cancelled = true }

func (d *dial) fail(err error) {
	if !d.cancelled {
		d.done(nil, err)
	}
}

// connected handles the result of the dial.
func (d *dial) connected(raw netpoll.Connection, err error) {
	if err != nil {
		d.budget.release()
		d.fail(err)
		return
	}
	s := newPolledSocket(d.loop, d.budget, raw)
	if d.cancelled {
		s.conn.Close()
		return
	}
	d.done(s.conn, nil)
	if !s.conn.closed {
		s.start()
	}
}
