// Package upstream implements what the attempts and probes of all protocols have in common when they use a connection to a server.
//
// An Exchange acquires an idle or a new connection, ends exactly once, and returns the connection to the pool. A Conversation is an
// Exchange that may exchange several messages with the server before the request itself. The package decides how long to wait for
// a connection, when an answer counts as stalled or too large, and whether a request may have executed when its connection breaks.
// It starts no goroutine: everything runs on the worker's event loop. It is independent of the protocol, selects no server and
// retries no request; only a probe whose connection breaks is repeated once.
package upstream

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

const (
	// answerStallTimeout is the time after the first bytes of an answer at which an incomplete answer counts as stalled if no
	// further bytes are pending. It is short because values are small.
	answerStallTimeout = 100 * time.Millisecond
	// stallCheckInterval is the interval of further checks while received bytes of the answer are not yet delivered.
	stallCheckInterval = answerStallTimeout / 4
	// maxReceivedBytes limits the bytes received for one request, including the login and all other messages before it. An answer
	// that is buffered whole is limited to a quarter of it. Without the limit an endless answer, for example of notices, would keep
	// this machine busy until its timeout.
	maxReceivedBytes = 4 << 20
)

// Exchange is one request on one connection. It implements dispatch.Call.
type Exchange struct {
	Conn          *transport.Conn
	Result        dispatch.AttemptResult // the result so far; Finish reports it
	connector     *Connector
	addr          string
	attempt       dispatch.AttemptCallbacks
	cancelDial    func() // nil if no dial is in progress
	connectTimer  *dispatch.Timer
	dialTimer     *dispatch.Timer // pending retry of the acquisition
	answerTimer   *dispatch.Timer // pending stall check of the answer
	finished      bool
	receivedBytes int // counted against maxReceivedBytes
}

// Start acquires a connection and sets its handler. It calls onIdle with the protocol state of a connection from the pool, or
// onFresh once a new connection is open. A single timeout covers everything from the dial to RequestWritten, because a machine
// that is down answers neither the dial nor the messages after it.
func (e *Exchange) Start(connector *Connector, addr string, handler transport.Handler, attempt dispatch.AttemptCallbacks,
	onIdle func(state any), onFresh func()) {
	e.connector = connector
	e.addr = addr
	e.attempt = attempt
	wait := time.Duration(dialWaitShare * float64(connector.ConnectTimeout))
	e.acquireConn(acquisition{deadline: connector.Loop.Now() + wait, handler: handler, onIdle: onIdle, onFresh: onFresh})
}

// RequestWritten must be called after the request itself has been passed to Write. It stops the connect timeout, and reports the
// request as sent once its last byte has been written.
func (e *Exchange) RequestWritten() {
	e.connectTimer.Stop()
	e.Conn.OnWritten(e.attempt.Sent)
}

// Addr returns the address of the server.
func (e *Exchange) Addr() string { return e.addr }

// Loop returns the event loop that the exchange runs on.
func (e *Exchange) Loop() *dispatch.EventLoop { return e.connector.Loop }

// MaySend reports whether the request may still be sent.
func (e *Exchange) MaySend() bool { return e.attempt.StillAllowed() }

// Received counts bytes received from the server. It calls failMalformed and returns false if they exceed maxReceivedBytes. If
// isAnswer is set, the bytes belong to the answer, and failMalformed is called later if the answer stalls, for example because its
// length field is too large.
func (e *Exchange) Received(bytes int, isAnswer bool, failMalformed func()) bool {
	e.receivedBytes += bytes
	if e.receivedBytes > maxReceivedBytes {
		failMalformed()
		return false
	}
	if isAnswer && e.answerTimer == nil {
		e.answerTimer = e.connector.Loop.After(answerStallTimeout, func() { e.checkStalled(failMalformed) })
	}
	return true
}

// checkStalled calls failMalformed if no further bytes of the answer have arrived. Otherwise it checks again later, as bytes may
// have arrived while this machine was busy and not be delivered yet.
func (e *Exchange) checkStalled(failMalformed func()) {
	if e.Conn.Quiet() {
		failMalformed()
		return
	}
	e.answerTimer = e.connector.Loop.After(stallCheckInterval, func() { e.checkStalled(failMalformed) })
}

// Abort cancels the exchange and closes its connection. It does not report a result.
func (e *Exchange) Abort() {
	e.dialTimer.Stop()
	e.connectTimer.Stop()
	e.answerTimer.Stop()
	if e.cancelDial != nil {
		e.cancelDial()
	}
	if e.Conn != nil {
		e.Conn.Close()
	}
}

// ReleaseConn returns the connection to the pool with its protocol state. If clean is false, because the server sent more than the
// answer, it closes the connection instead.
func (e *Exchange) ReleaseConn(clean bool, state any) {
	if clean {
		e.connector.Pool.Put(e.addr, e.Conn, state)
	} else {
		e.Conn.Close()
	}
}

// Finish ends the exchange and reports its result.
func (e *Exchange) Finish(result policy.Result) {
	e.connectTimer.Stop()
	e.answerTimer.Stop()
	e.Result.Result = result
	e.finished = true
	e.attempt.Done(e.Result)
}

// FinishBroken ends an exchange whose connection broke, and reports result without an answer.
func (e *Exchange) FinishBroken(result policy.Result) {
	e.Result = dispatch.AttemptResult{Broken: true}
	e.Finish(result)
}

// Finished reports whether the result has been reported.
func (e *Exchange) Finished() bool { return e.finished }

// ConnClosed ends an exchange whose connection has closed. sent is set if the request was passed to Write. The server cannot have
// executed the request before its last byte was written, so the result is then policy.ConnectFailed. The answer of a server that
// sent more than requested counts as malformed.
func (e *Exchange) ConnClosed(err error, sent bool, failMalformed func(error)) {
	switch {
	case !sent || !e.Conn.Written():
		e.FinishBroken(policy.ConnectFailed)
	case errors.Is(err, transport.ErrFlood):
		failMalformed(err)
	default:
		e.FinishBroken(policy.ConnectionReset)
	}
}
