package upstream

import (
	"errors"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

// An exchange that may not dial yet waits for a part of the connect timeout, in which a connection may come back to the pool. One
// that may not dial by then ends as if the server had rejected it: that says nothing of the server's health.
const (
	dialWaitShare = 0.5
	minDialRetry  = 2 * time.Millisecond
	maxDialRetry  = 40 * time.Millisecond // it may dial sooner than was returned, and hundreds that ask often cost a busy machine
)

// acquisition is an exchange's way to its connection.
type acquisition struct {
	deadline time.Duration // until when it may wait to dial
	waited   bool
	handler  transport.Handler
	idle     func(state any)
	fresh    func()
}

// acquireConn takes an idle connection or dials a new one, now or after a wait.
func (x *Exchange) acquireConn(a acquisition) {
	s := x.connector
	if a.waited && !x.attempt.StillAllowed() {
		x.Finish(policy.Misdirected)
		return
	}
	if conn, state := s.Pool.Get(x.addr, s.Loop.Now()); conn != nil {
		x.Conn = conn
		x.startConnectTimer()
		conn.SetHandler(a.handler)
		a.idle(state)
		return
	}
	if s.Budget.Full() && s.Pool.CloseOldest() && s.Loop.Now()+minDialRetry <= a.deadline { // the poller releases a descriptor a moment later
		x.acquireAfter(minDialRetry, a)
		return
	}
	if s.MayDial != nil {
		if after, ok := s.MayDial(x.addr); !ok {
			x.waitToDial(after, a)
			return
		}
	}
	x.dial(a)
}

// waitToDial has the exchange try again after a while, or end where its deadline comes first.
func (x *Exchange) waitToDial(after time.Duration, a acquisition) {
	wait := min(max(after, minDialRetry), maxDialRetry)
	if x.Loop().Now()+wait > a.deadline {
		x.dialTimer = x.Loop().After(0, func() { x.Finish(policy.Overloaded) })
		return
	}
	x.acquireAfter(wait, a)
}

func (x *Exchange) acquireAfter(wait time.Duration, a acquisition) {
	a.waited = true
	x.dialTimer = x.Loop().After(wait, func() { x.acquireConn(a) })
}

// dial opens a new connection.
func (x *Exchange) dial(a acquisition) {
	s := x.connector
	x.startConnectTimer()
	x.cancelDial = transport.Dial(s.Loop, s.Budget, x.addr, s.ConnectTimeout, func(conn *transport.Conn, err error) {
		x.cancelDial = nil
		switch {
		case errors.Is(err, transport.ErrNoDescriptor): // a shortage here says nothing of the server's health
			x.Finish(policy.Overloaded)
		case err != nil:
			x.Finish(policy.ConnectFailed)
		default:
			x.Conn = conn
			conn.SetHandler(a.handler)
			a.fresh()
		}
	})
}

// startConnectTimer bounds the time until RequestWritten.
func (x *Exchange) startConnectTimer() {
	x.connectTimer = x.connector.Loop.After(x.connector.ConnectTimeout, func() {
		x.Abort()
		x.Finish(policy.ConnectFailed)
	})
}
