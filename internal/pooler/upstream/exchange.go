// Package exchange is what attempts and probes on both wires have in common: they take a connection, an idle one or a
// new one, end once, and give the connection back.
package upstream

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

// Connector is how servers are reached.
type Connector struct {
	Loop           *dispatch.EventLoop
	Budget         *transport.Budget
	Pool           *transport.Pool
	ConnectTimeout time.Duration // for all that goes before the request itself
	// MayDial is asked before each new connection; nil: none need be. Of a no: after how long to ask again.
	MayDial func(addr string) (after time.Duration, ok bool)
}

// CloseIdle closes the idle connections to a server.
func (s *Connector) CloseIdle(addr string) { s.Pool.CloseIdle(addr) }

// Exchange is one request on one connection. It is a routing.Call.
type Exchange struct {
	Conn          *transport.Conn
	Result        dispatch.AttemptResult
	connector     *Connector
	addr          string
	attempt       dispatch.AttemptCallbacks
	cancelDial    func() // of the dial
	connectTimer  *dispatch.Timer
	dialTimer     *dispatch.Timer // for leave to dial
	answerTimer   *dispatch.Timer // of an answer that has begun
	finished      bool
	receivedBytes int // bytes of the server
}

const (
	// answerStallTimeout may pass between the first bytes of an answer and its last; values are small.
	answerStallTimeout = 100 * time.Millisecond
	// maxReceivedBytes bytes are taken in for one request, its login and what goes before it with them. The answers that are kept whole
	// have a quarter of it at most: one that goes on, with notices say, would keep this machine busy until its time is over.
	maxReceivedBytes = 4 << 20
)

// Start takes a connection for h: an idle one, with what was put back with it, or a new one. A machine that has vanished
// answers neither the dial nor what follows: one time-out is for all that goes before Begun.
func (x *Exchange) Start(s *Connector, addr string, h transport.Handler, a dispatch.AttemptCallbacks, idle func(state any),
	fresh func()) {
	x.connector, x.addr, x.attempt = s, addr, a
	x.acquireConn(s.Loop.Now()+time.Duration(dialWaitShare*float64(s.ConnectTimeout)), false, h, idle, fresh)
}

// Waiting for leave to dial: a part of the time to connect, in which a connection may come back to the pool. What is still
// without leave ends as sent away unseen: it says nothing of the server's health.
const (
	dialWaitShare = 0.5
	minDialRetry  = 2 * time.Millisecond
	maxDialRetry  = 40 * time.Millisecond // leave may come sooner than was told, and hundreds that ask often cost a busy machine
)

func (x *Exchange) acquireConn(until time.Duration, waited bool, h transport.Handler, idle func(state any), fresh func()) {
	s, addr := x.connector, x.addr
	if waited && !x.attempt.StillAllowed() {
		x.Finish(policy.Misdirected)
		return
	}
	if c, state := s.Pool.Get(addr, s.Loop.Now()); c != nil {
		x.Conn = c
		x.startConnectTimer()
		c.SetHandler(h)
		idle(state)
		return
	}
	if s.Budget.Full() && s.Pool.CloseOldest() && s.Loop.Now()+minDialRetry <= until { // the poller gives a descriptor back a moment later
		x.dialTimer = s.Loop.After(minDialRetry, func() { x.acquireConn(until, true, h, idle, fresh) })
		return
	}
	if s.MayDial != nil {
		if after, ok := s.MayDial(addr); !ok {
			wait := min(max(after, minDialRetry), maxDialRetry)
			if s.Loop.Now()+wait > until {
				x.dialTimer = s.Loop.After(0, func() { x.Finish(policy.Overloaded) })
			} else {
				x.dialTimer = s.Loop.After(wait, func() { x.acquireConn(until, true, h, idle, fresh) })
			}
			return
		}
	}
	x.startConnectTimer()
	x.cancelDial = transport.Dial(s.Loop, s.Budget, addr, s.ConnectTimeout, func(c *transport.Conn, err error) {
		x.cancelDial = nil
		if errors.Is(err, transport.ErrNoDescriptor) { // our own want says nothing of the server's health
			x.Finish(policy.Overloaded)
			return
		}
		if err != nil {
			x.Finish(policy.ConnectFailed)
			return
		}
		x.Conn = c
		c.SetHandler(h)
		fresh()
	})
}

// startConnectTimer starts the time to connect.
func (x *Exchange) startConnectTimer() {
	x.connectTimer = x.connector.Loop.After(x.connector.ConnectTimeout, func() {
		x.Abort()
		x.Finish(policy.ConnectFailed)
	})
}

// RequestWritten tells that the request itself has been given to Write: the time to connect no longer binds, and its last byte
// is reported.
func (x *Exchange) RequestWritten() {
	x.connectTimer.Stop()
	x.Conn.OnWritten(x.attempt.Sent)
}

// Loop is what it runs on.
func (x *Exchange) Loop() *dispatch.EventLoop { return x.connector.Loop }

// MaySend tells whether the request may still be sent.
func (x *Exchange) MaySend() bool { return x.attempt.StillAllowed() }

// ProbeAttempt is the attempt of a probe, which always fits and counts nowhere.
func ProbeAttempt(done func(dispatch.AttemptResult)) dispatch.AttemptCallbacks {
	return dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() {}, Done: done}
}

// Received tells that bytes of the server have come. begun: they belong to the answer, and if its rest stays away, as behind a
// length that is too large, it is spoilt. So it is, and false comes back, where they never end.
func (x *Exchange) Received(bytes int, begun bool, spoilt func()) bool {
	if x.receivedBytes += bytes; x.receivedBytes > maxReceivedBytes {
		spoilt()
		return false
	}
	if !begun || x.answerTimer != nil {
		return true
	}
	var look func()
	look = func() {
		if x.Conn.Quiet() {
			spoilt()
		} else { // more has come while this machine was busy, and is not taken in yet
			x.answerTimer = x.connector.Loop.After(answerStallTimeout/4, look)
		}
	}
	x.answerTimer = x.connector.Loop.After(answerStallTimeout, look)
	return true
}

// Abort closes the connection, which is how an attempt is given up.
func (x *Exchange) Abort() {
	x.dialTimer.Stop()
	x.connectTimer.Stop()
	x.answerTimer.Stop()
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.Conn != nil {
		x.Conn.Close()
	}
}

// ReleaseConn gives the connection back, or closes it if more has come on it than the answer.
func (x *Exchange) ReleaseConn(clean bool, state any) {
	if clean {
		x.connector.Pool.Put(x.addr, x.Conn, state)
	} else {
		x.Conn.Close()
	}
}

// FinishBroken reports that the connection broke.
func (x *Exchange) FinishBroken(r policy.Result) {
	x.Result = dispatch.AttemptResult{Broken: true}
	x.Finish(r)
}

// localCall is an attempt that was over before anything was sent.
type localCall struct{ aborted bool }

func (e *localCall) Abort() { e.aborted = true }

// AnswerLocally reports the end of an attempt that needs no server.
func AnswerLocally(loop *dispatch.EventLoop, a dispatch.AttemptCallbacks, r dispatch.AttemptResult) dispatch.Call {
	e := &localCall{}
	loop.Post(func() {
		if !e.aborted {
			a.Done(r)
		}
	})
	return e
}

// ConnClosed ends an exchange whose connection has closed. sent: its request was given to Write; before its last byte has gone out
// nothing can have run. A server that sent more than it was asked for has spoilt its answer.
func (x *Exchange) ConnClosed(err error, sent bool, spoilt func(error)) {
	switch {
	case !sent || !x.Conn.Written():
		x.FinishBroken(policy.ConnectFailed)
	case errors.Is(err, transport.ErrFlood):
		spoilt(err)
	default:
		x.FinishBroken(policy.ConnectionReset)
	}
}

// Probe is a probe that is started once more if its connection breaks: the next one tells whether the server is gone.
type Probe struct{ call dispatch.Call }

// StartProbe starts a probe.
func StartProbe(start func(done func(dispatch.AttemptResult)) dispatch.Call, done func(dispatch.AttemptResult)) *Probe {
	p := &Probe{}
	p.call = start(func(r dispatch.AttemptResult) {
		if r.Broken {
			p.call = start(done)
		} else {
			done(r)
		}
	})
	return p
}

// Abort gives it up.
func (p *Probe) Abort() { p.call.Abort() }

// Finish reports the end.
func (x *Exchange) Finish(r policy.Result) {
	x.connectTimer.Stop()
	x.answerTimer.Stop()
	x.Result.Result = r
	x.finished = true
	x.attempt.Done(x.Result)
}

// Finished tells that its end has been reported.
func (x *Exchange) Finished() bool { return x.finished }
