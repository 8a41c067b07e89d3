// Package upstream is what the attempts and probes of all protocols share on their way to a server.
//
// An Exchange takes a connection, an idle one or a new one, ends exactly once, and gives the connection back. A Conversation is an
// Exchange that speaks several messages before the request itself. The package decides how long a connection is waited for, when
// an answer counts as stalled or too large, and whether a request can have run when its connection breaks. It owns no goroutine:
// everything runs on the worker's event loop. It knows no protocol, chooses no server and repeats no request; only a probe whose
// connection breaks is started once more.
package upstream

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

const (
	// answerStallTimeout may pass between the first bytes of an answer and its last; values are small.
	answerStallTimeout = 100 * time.Millisecond
	// stallCheckInterval is how often a stalled answer is looked at again while more of it has come and is not taken in yet.
	stallCheckInterval = answerStallTimeout / 4
	// maxReceivedBytes are taken in for one request, its login and what else goes before it included. The answers that are kept as
	// a whole have a quarter of it at most: one that goes on, with notices say, would keep this machine busy until its time is over.
	maxReceivedBytes = 4 << 20
)

// Exchange is one request on one connection. It is a dispatch.Call.
type Exchange struct {
	Conn          *transport.Conn
	Result        dispatch.AttemptResult // as it is known so far; Finish reports it
	connector     *Connector
	addr          string
	attempt       dispatch.AttemptCallbacks
	cancelDial    func() // nil: no dial is under way
	connectTimer  *dispatch.Timer
	dialTimer     *dispatch.Timer // while the exchange waits until it may dial
	answerTimer   *dispatch.Timer // of an answer that has begun
	finished      bool
	receivedBytes int
}

// Start takes a connection for handler: an idle one, and calls idle with what was put back with it, or a new one, and calls fresh. A
// machine that has vanished answers neither the dial nor what follows: one timeout is for everything that goes before
// RequestWritten.
func (x *Exchange) Start(s *Connector, addr string, handler transport.Handler, a dispatch.AttemptCallbacks, idle func(state any),
	fresh func()) {
	x.connector = s
	x.addr = addr
	x.attempt = a
	wait := time.Duration(dialWaitShare * float64(s.ConnectTimeout))
	x.acquireConn(acquisition{deadline: s.Loop.Now() + wait, handler: handler, idle: idle, fresh: fresh})
}

// RequestWritten tells that the request itself has been given to Write: the connect timeout no longer binds, and its last byte
// is reported.
func (x *Exchange) RequestWritten() {
	x.connectTimer.Stop()
	x.Conn.OnWritten(x.attempt.Sent)
}

// Addr returns the address of the server.
func (x *Exchange) Addr() string { return x.addr }

// Loop returns the event loop that the exchange runs on.
func (x *Exchange) Loop() *dispatch.EventLoop { return x.connector.Loop }

// MaySend tells whether the request may still be sent.
func (x *Exchange) MaySend() bool { return x.attempt.StillAllowed() }

// Received takes in that bytes of the server have come. begun: they belong to the answer, and if its rest stays away, as behind a
// length that is too large, failMalformed is called. So it is, and false is returned, where they never end.
func (x *Exchange) Received(bytes int, begun bool, failMalformed func()) bool {
	x.receivedBytes += bytes
	if x.receivedBytes > maxReceivedBytes {
		failMalformed()
		return false
	}
	if begun && x.answerTimer == nil {
		x.answerTimer = x.connector.Loop.After(answerStallTimeout, func() { x.checkStalled(failMalformed) })
	}
	return true
}

// checkStalled ends the exchange if the rest of its answer stays away. More may have come while this machine was busy, and not be
// taken in yet.
func (x *Exchange) checkStalled(failMalformed func()) {
	if x.Conn.Quiet() {
		failMalformed()
		return
	}
	x.answerTimer = x.connector.Loop.After(stallCheckInterval, func() { x.checkStalled(failMalformed) })
}

// Abort gives the exchange up and closes its connection. Its end is not reported.
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

// ReleaseConn gives the connection back with what is known of it. clean is false where more has come on it than the answer: it is
// closed then.
func (x *Exchange) ReleaseConn(clean bool, state any) {
	if clean {
		x.connector.Pool.Put(x.addr, x.Conn, state)
	} else {
		x.Conn.Close()
	}
}

// Finish reports the end.
func (x *Exchange) Finish(r policy.Result) {
	x.connectTimer.Stop()
	x.answerTimer.Stop()
	x.Result.Result = r
	x.finished = true
	x.attempt.Done(x.Result)
}

// FinishBroken reports the end of an exchange whose connection broke.
func (x *Exchange) FinishBroken(r policy.Result) {
	x.Result = dispatch.AttemptResult{Broken: true}
	x.Finish(r)
}

// Finished tells whether the end has been reported.
func (x *Exchange) Finished() bool { return x.finished }

// ConnClosed ends an exchange whose connection has closed. sent: its request was given to Write; before its last byte has gone out
// nothing can have run. The answer of a server that sent more than it was asked for is malformed.
func (x *Exchange) ConnClosed(err error, sent bool, failMalformed func(error)) {
	switch {
	case !sent || !x.Conn.Written():
		x.FinishBroken(policy.ConnectFailed)
	case errors.Is(err, transport.ErrFlood):
		failMalformed(err)
	default:
		x.FinishBroken(policy.ConnectionReset)
	}
}
