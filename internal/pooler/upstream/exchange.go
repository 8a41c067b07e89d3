// Package upstream implements what the attempts and probes of all protocols have in common when they use a connection to a server.
//
// An Exchange acquires an idle or a new connection, ends exactly once, and returns the connection to the pool. A Conversation is an
// Exchange that may exchange several messages with the server before the request itself. The package decides how long to wait for
// a connection, when an answer counts as stalled or too large, and whether a request may have executed when its connection breaks.
// It starts no goroutine: everything runs on the worker's event loop. It is independent of the protocol, selects no server and
// retries no request; only a probe whose connection breaks is repeated once.
package upstream

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/quota"
	"threadsail/internal/transport"
)

const (
	// minStallTimeout is the least time without a byte after which an incomplete answer counts as stalled. It is short because values
	// are small.
	minStallTimeout = 100 * time.Millisecond
	// stallShare is the share of the attempt's time left at the first bytes of its answer for which the server may send no more of it, up
	// to maxStallTimeout. The rest is for another attempt.
	stallShare      = 0.25
	maxStallTimeout = 250 * time.Millisecond
	// minWatchedWrite is the number of bytes of a request from which on it is watched whether the server reads it slowly.
	minWatchedWrite = 16 << 10
	// progressInterval is the interval at which a request that the server reads slowly is looked at.
	progressInterval = 50 * time.Millisecond
	// memoryTimeout is how long an answer waits for memory.
	memoryTimeout = 100 * time.Millisecond
	// stallCheckInterval is the interval of further checks while received bytes of the answer are not yet delivered.
	stallCheckInterval = minStallTimeout / 4
	// maxReceivedBytes limits the bytes received for one request, including the login and all other messages before it. An answer
	// that is buffered whole is limited to a quarter of it. Without the limit an endless answer, for example of notices, would keep
	// this machine busy until its timeout.
	maxReceivedBytes = 4 << 20
)

// Exchange is one request on one connection. It implements dispatch.Call. The connection is the exchange's own until it finishes: from
// then on another exchange may use it.
type Exchange struct {
	Conn          *transport.Conn
	Prefers       func(state any) bool   // reports whether a connection from the pool, by its protocol state, is to be used first; nil: none is
	Usable        func(state any) bool   // reports whether it can be used at all; nil: any can
	Result        dispatch.AttemptResult // the result so far; Finish reports it
	EndSeen       bool                   // the bytes received last end as an answer ends, so that no more of it may come
	Deadline      time.Duration          // loop time at which the attempt ends; 0 for a probe, which has the connect timeout
	connector     *Connector
	addr          string
	attempt       dispatch.AttemptCallbacks
	cancelDial    func() // nil if no dial is in progress
	connectTimer  *dispatch.Timer
	dialTimer     *dispatch.Timer // pending retry of the acquisition
	writeTimer    *dispatch.Timer // pending look at a request that the server reads slowly
	answerTimer   *dispatch.Timer // pending stall check of the answer
	memory        *quota.Claim    // memory for a large answer; nil: it is small so far
	memoryTimer   *dispatch.Timer // pending end of the wait for memory
	starting      bool            // Start has not returned
	finished      bool
	aborted       bool
	receivedBytes int           // counted against maxReceivedBytes
	receivedAt    time.Duration // loop time at which bytes of the answer were last received
	stallTimeout  time.Duration // time without a byte after which the answer counts as stalled
}

// Start acquires a connection and sets its handler. It calls onIdle with the protocol state of a connection from the pool, or
// onFresh once a new connection is open. A single timeout covers everything from the dial to RequestWritten, because a machine
// that is down answers neither the dial nor the messages after it.
func (e *Exchange) Start(connector *Connector, addr string, handler transport.Handler, attempt dispatch.AttemptCallbacks,
	onIdle func(state any), onFresh func()) {
	e.connector = connector
	e.addr = addr
	e.attempt = attempt
	e.starting = true
	defer func() { e.starting = false }()
	wait := time.Duration(dialWaitShare * float64(connector.ConnectTimeout))
	e.acquireConn(acquisition{deadline: connector.Loop.Now() + wait, handler: handler, onIdle: onIdle, onFresh: onFresh})
}

// RequestWritten must be called after the request itself has been passed to one call of Write. It stops the connect timeout, and reports
// the request as sent once its last byte has been written. If the kernel has accepted none of its bytes yet, it ends the exchange with
// policy.Overloaded: by the time that the kernel takes them, the request may not be sent any more.
func (e *Exchange) RequestWritten() {
	e.connectTimer.Stop()
	if e.Conn.LastWriteDelayed() {
		e.Conn.Close()
		e.Finish(policy.Overloaded)
		return
	}
	e.Conn.OnWritten(e.attempt.Sent)
	if e.Conn.LastWriteBytes() > minWatchedWrite {
		e.watchWrite(e.Conn.UnacknowledgedBytes())
	}
}

// watchWrite reports progress as long as the server reads the request slowly. unsent is the number of bytes that
// its kernel had not accepted at the last look.
func (e *Exchange) watchWrite(unsent int) {
	e.writeTimer = e.Loop().After(progressInterval, func() {
		waiting := e.Conn.UnacknowledgedBytes()
		if waiting < unsent {
			e.attempt.Progress(false)
		}
		if waiting > 0 {
			e.watchWrite(waiting)
		}
	})
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
	if !e.finished { // else it is a stream, whose memory has been settled
		e.reserveMemory(e.receivedBytes)
	}
	if isAnswer {
		e.watchAnswer(failMalformed)
	}
	return true
}

// watchAnswer records that bytes of the answer have been received, and starts to watch it for a stall.
func (e *Exchange) watchAnswer(failMalformed func()) {
	e.receivedAt = e.Loop().Now()
	e.attempt.Progress(true)
	if e.answerTimer == nil {
		left := float64(e.Deadline - e.receivedAt)
		e.stallTimeout = max(minStallTimeout, min(time.Duration(stallShare*left), maxStallTimeout))
		e.answerTimer = e.Loop().After(minStallTimeout, func() { e.checkStalled(failMalformed) })
	}
}

// stalledAt returns the time at which the answer counts as stalled unless more of it is received before.
func (e *Exchange) stalledAt() time.Duration {
	if e.EndSeen {
		return e.receivedAt + minStallTimeout
	}
	return e.receivedAt + e.stallTimeout
}

// reserveMemory asks for memory for an answer of which so many bytes have been received. Until it is granted the connection is not
// read.
func (e *Exchange) reserveMemory(received int) {
	if received <= connlimit.AnswerAllowance-transport.DefaultReadSize || e.connector.Answers == nil {
		return
	}
	if e.memory == nil {
		e.memory = e.connector.Answers.NewClaim(func() { e.Conn.Pause(false) })
		e.Conn.SetReadSize(transport.MaxReadSize)
	}
	if !e.memory.Reserve(received + transport.MaxReadSize) {
		e.Conn.Pause(true)
		e.memoryTimer.Stop()
		e.memoryTimer = e.connector.Loop.After(memoryTimeout, e.endWithoutMemory)
	}
}

// endWithoutMemory gives the exchange up if its answer still waits for memory. It may have been executed. The server is not to blame,
// and must not be kept busy for an answer that can't be taken in.
func (e *Exchange) endWithoutMemory() {
	if e.memory.Waits() {
		e.Abort()
		e.Finish(policy.Cancelled)
	}
}

// ReleaseMemory gives up the memory for the answer, which its receiver accounts for from now on.
func (e *Exchange) ReleaseMemory() {
	if e.memory != nil {
		e.memory.Release()
	}
}

// checkStalled calls failMalformed if the answer has stalled. Otherwise it checks again later. Bytes may have arrived while this
// machine was busy and not be delivered yet, or not be read for want of memory.
func (e *Exchange) checkStalled(failMalformed func()) {
	now := e.Loop().Now()
	waitsForMemory := e.memory != nil && e.memory.Waits()
	if now >= e.stalledAt() && e.Conn.Quiet() && !waitsForMemory {
		failMalformed()
		return
	}
	next := max(e.stalledAt(), now+stallCheckInterval)
	e.answerTimer = e.Loop().At(next, func() { e.checkStalled(failMalformed) })
}

// Abort cancels the exchange and closes its connection, unless it has finished. It does not report a result.
func (e *Exchange) Abort() {
	e.aborted = true
	if e.finished {
		return
	}
	e.dialTimer.Stop()
	e.connectTimer.Stop()
	e.writeTimer.Stop()
	e.answerTimer.Stop()
	e.memoryTimer.Stop()
	if e.cancelDial != nil {
		e.cancelDial()
	}
	e.ReleaseMemory()
	if e.Conn != nil {
		e.Conn.Close()
	}
}

// ReleaseConn returns the connection to the pool with its protocol state. If clean is false, because the server sent more than the
// answer, it closes the connection instead.
func (e *Exchange) ReleaseConn(clean bool, state any) {
	if clean {
		e.Conn.SetReadSize(transport.DefaultReadSize)
		e.Conn.Pause(false)
		e.connector.Pool.Put(e.addr, e.Conn, state)
	} else {
		e.Conn.Close()
	}
}

// Finish ends the exchange and reports its result.
func (e *Exchange) Finish(result policy.Result) {
	e.ReleaseMemory()
	e.finish(result)
}

// FinishStreaming is like Finish for an answer of which more is received while it is forwarded. It keeps the memory for bytes that
// wait to be forwarded until ReleaseMemory.
func (e *Exchange) FinishStreaming(result policy.Result, bufferBytes int) {
	if e.memory != nil {
		e.memory.SetUsed(bufferBytes)
	}
	e.finish(result)
}

func (e *Exchange) finish(result policy.Result) {
	e.connectTimer.Stop()
	e.writeTimer.Stop()
	e.answerTimer.Stop()
	e.memoryTimer.Stop()
	e.Result.Result = result
	e.finished = true
	if e.starting {
		e.Loop().Post(e.report)
	} else {
		e.attempt.Done(e.Result)
	}
}

// report reports the result of an exchange that finished before Start returned, as a dispatch.Backend may not report within Send.
func (e *Exchange) report() {
	if !e.aborted {
		e.attempt.Done(e.Result)
	}
}

// FinishBroken ends an exchange whose connection broke, and reports result without an answer.
func (e *Exchange) FinishBroken(result policy.Result) {
	e.Result = dispatch.AttemptResult{Broken: true}
	e.Finish(result)
}

// Finished reports whether the result has been reported.
func (e *Exchange) Finished() bool { return e.finished }

// ConnClosed ends an exchange whose connection has closed. sent is set if the request was passed to Write. The server cannot have
// executed the request before its last byte was written, so the result is then policy.ConnectFailed.
func (e *Exchange) ConnClosed(sent bool) {
	if !sent || !e.Conn.Written() {
		e.FinishBroken(policy.ConnectFailed)
		return
	}
	e.FinishBroken(policy.ConnectionReset)
}
