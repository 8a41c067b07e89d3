package upstream

import (
	"errors"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

// An exchange that may not dial yet retries for dialWaitShare of the connect timeout, during which a connection may be returned to
// the pool. It then ends with policy.Overloaded, which does not count against the server's health.
const (
	dialWaitShare = 0.5
	minDialRetry  = 2 * time.Millisecond
	// maxDialRetry limits the delay that MayDial returns, as dialing may be allowed earlier. Shorter delays of hundreds of exchanges
	// would load a busy machine.
	maxDialRetry = 40 * time.Millisecond
)

// acquisition holds the parameters and the state of the acquisition of a connection for an exchange.
type acquisition struct {
	deadline time.Duration // end of the wait for permission to dial, on the loop's clock
	waited   bool          // the acquisition has been delayed at least once
	handler  transport.Handler
	onIdle   func(state any) // called with the protocol state of a connection from the pool
	onFresh  func()          // called when a new connection is open
}

// acquireConn takes an idle connection from the pool or dials a new one. If it may not dial yet or no descriptor is free, it
// schedules a retry. After a delay it first checks that the attempt is still allowed.
func (e *Exchange) acquireConn(acq acquisition) {
	connector := e.connector
	if acq.waited && !e.attempt.StillAllowed() {
		e.Finish(policy.Misdirected)
		return
	}
	if conn, state := e.takeIdle(); conn != nil {
		e.Conn = conn
		e.startConnectTimer()
		conn.SetHandler(acq.handler)
		acq.onIdle(state)
		return
	}
	if connector.Budget.Full() && connector.Pool.CloseOldest() && connector.Loop.Now()+minDialRetry <= acq.deadline {
		// The poller releases the descriptor asynchronously.
		e.acquireAfter(minDialRetry, acq)
		return
	}
	if connector.MayDial != nil {
		if delay, ok := connector.MayDial(e.addr); !ok {
			e.waitToDial(delay, acq)
			return
		}
	}
	e.dial(acq)
}

// takeIdle takes a connection from the pool, a preferred one if there is one. It returns nil if there is none that can be used.
func (e *Exchange) takeIdle() (conn *transport.Conn, state any) {
	pool, now := e.connector.Pool, e.connector.Loop.Now()
	if e.Prefers != nil {
		conn, state = pool.Get(e.addr, now, e.Prefers)
	}
	if conn == nil {
		conn, state = pool.Get(e.addr, now, e.Usable)
	}
	return conn, state
}

// waitToDial schedules a retry after delay, within the bounds of a retry, or ends the exchange with policy.Overloaded if the retry
// would miss the deadline.
func (e *Exchange) waitToDial(delay time.Duration, acq acquisition) {
	wait := min(max(delay, minDialRetry), maxDialRetry)
	if e.Loop().Now()+wait > acq.deadline {
		e.dialTimer = e.Loop().After(0, func() { e.Finish(policy.Overloaded) })
		return
	}
	e.acquireAfter(wait, acq)
}

// acquireAfter schedules another call of acquireConn after wait.
func (e *Exchange) acquireAfter(wait time.Duration, acq acquisition) {
	acq.waited = true
	e.dialTimer = e.Loop().After(wait, func() { e.acquireConn(acq) })
}

// dial opens a new connection and calls onFresh when it is open, or ends the exchange.
func (e *Exchange) dial(acq acquisition) {
	connector := e.connector
	e.startConnectTimer()
	e.cancelDial = transport.Dial(connector.Loop, connector.Budget, e.addr, connector.ConnectTimeout, func(conn *transport.Conn, err error) {
		e.cancelDial = nil
		switch {
		case errors.Is(err, transport.ErrNoDescriptor): // a local shortage must not count against the server's health
			e.Finish(policy.Overloaded)
		case err != nil:
			e.Finish(policy.ConnectFailed)
		default:
			e.Conn = conn
			conn.SetHandler(acq.handler)
			acq.onFresh()
		}
	})
}

// startConnectTimer starts the timer that ends the exchange with policy.ConnectFailed unless RequestWritten is called first.
func (e *Exchange) startConnectTimer() {
	e.connectTimer = e.connector.Loop.After(e.connector.ConnectTimeout, func() {
		e.Abort()
		e.Finish(policy.ConnectFailed)
	})
}
