package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/pgwire"
)

const (
	// A short value is kept whole and checked before any of it is passed on. One that is said to be long is passed on once
	// so much of it has come: a wrong length on a short one then still leads to another attempt.
	relayThreshold    = 8 << 10
	maxRelayBuffer    = 64 << 10        // held before the server has to wait
	relayStallTimeout = 5 * time.Second // without a byte of a value that has begun: the server is gone
)

// relay passes a long answer on as it comes. What is begun can't be tried again: if it breaks, the client's connection is
// closed, so that the client can tell. It is a dispatch.Stream.
type relay struct {
	query          *query
	remaining      int    // bytes of the row still to come
	pending        []byte // what has come and could not be passed on yet
	trailer        []byte // of a whole answer: what follows the row
	slot           *slot  // nil: the answer's turn has not come
	clientFull     bool   // the client has not taken all that it was sent
	lastReceivedAt time.Duration
	stallTimer     *dispatch.Timer
	onEnd          func(dispatch.StreamEnd) // nil: it has ended
	outcome        dispatch.StreamEnd
}

// OnEnd has end called when the relay ends, with how it ended.
func (r *relay) OnEnd(end func(dispatch.StreamEnd)) { r.onEnd = end }

// Discard ends the relay because nobody waits for it any more.
func (r *relay) Discard() {
	if r.finishOnce(dispatch.StreamClientDisconnected) {
		r.query.Conn.Close()
	}
}

// Abort ends the relay because its client's time is over, where none of it has been passed on. What has begun goes on for as long
// as its server sends: ended before, it would be lost here.
func (r *relay) Abort() {
	if r.onEnd != nil && r.slot == nil {
		r.query.failMalformed()
	}
}

// beginRelay turns a row that is long into a relay and takes what has come of it; it returns how much that is. 0: the row is not
// long, or not enough of it has come. One that has come as a whole is relayed none the less: netpoll reads megabytes ahead of a
// late loop, and no connection queues so much at once.
func (x *query) beginRelay(input []byte) (taken int) {
	size := pgwire.LongRow(input)
	if size == 0 || x.lastMessage != 'T' || x.errorCode != "" || len(input) < relayThreshold {
		return 0
	}
	x.lastMessage = 'D'
	taken = min(size, len(input))
	x.relay = &relay{
		query:          x,
		remaining:      size - taken,
		pending:        append(x.rows, input[:taken]...),
		lastReceivedAt: x.Loop().Now(),
		onEnd:          func(dispatch.StreamEnd) {},
	}
	x.input = nil
	x.rows = nil
	x.Result.Answer = x.relay
	x.relay.watchStall()
	x.Conn.Pause(true) // before much has been read ahead of the client
	x.Finish(policy.OK)
	return taken
}

// watchStall looks out for a server that stops in the middle.
func (r *relay) watchStall() {
	loop := r.query.Loop()
	r.stallTimer = loop.After(relayStallTimeout, func() {
		if loop.Now()-r.lastReceivedAt >= relayStallTimeout && r.query.Conn.Quiet() {
			r.query.failMalformed()
		} else {
			r.watchStall()
		}
	})
}

// receive takes the row's bytes off b and returns the rest.
func (r *relay) receive(b []byte) (rest []byte) {
	n := min(r.remaining, len(b))
	r.remaining -= n
	r.lastReceivedAt = r.query.Loop().Now()
	turn := r.slot != nil && !r.clientFull
	if turn && len(r.pending) == 0 && n <= maxRelayBuffer {
		r.write(b[:n])
		return b[n:]
	}
	// On a busy machine netpoll has read far ahead: more than a connection queues may come at once.
	r.pending = append(r.pending, b[:n]...)
	switch {
	case turn:
		r.sendPending()
	case len(r.pending) > maxRelayBuffer:
		r.query.Conn.Pause(true)
	}
	return b[n:]
}

// start passes the answer on, once the client's earlier answers have been sent.
func (r *relay) start(to *slot) {
	if r.onEnd == nil && r.outcome == dispatch.StreamBroken { // none of it has been passed on
		to.relay = nil
		to.Fail()
		return
	}
	r.slot = to
	to.session.Conn.LimitSendBuffer()
	r.sendPending()
}

// sendPending goes on when the client has taken what it was sent. More may wait than a connection queues.
func (r *relay) sendPending() {
	for len(r.pending) > 0 && !r.clientFull {
		n := min(len(r.pending), maxRelayBuffer)
		r.write(r.pending[:n])
		r.pending = r.pending[n:]
	}
	if len(r.pending) == 0 {
		r.pending = nil
	}
	switch {
	case r.clientFull:
	case r.onEnd == nil:
		r.finishSlot()
	default:
		r.query.Conn.Pause(false)
	}
}

// write passes bytes on. The server has to wait while the client reads more slowly.
func (r *relay) write(b []byte) {
	conn := r.slot.session.Conn
	conn.Write(b)
	if conn.Written() {
		return
	}
	r.clientFull = true
	if r.onEnd != nil {
		r.query.Conn.Pause(true)
	}
	conn.OnWritten(func() {
		r.clientFull = false
		r.sendPending()
	})
}

// finishOnce reports the end of the relay. It returns false where that has been done before.
func (r *relay) finishOnce(how dispatch.StreamEnd) bool {
	if r.onEnd == nil {
		return false
	}
	onEnd := r.onEnd
	r.onEnd = nil
	r.outcome = how
	r.stallTimer.Stop()
	onEnd(how)
	return true
}

// finish ends the relay with what follows the row, or as broken; the client hears of it in its turn.
func (r *relay) finish(how dispatch.StreamEnd, trailer []byte) {
	r.trailer = trailer
	if r.finishOnce(how) && r.slot != nil && !r.clientFull {
		r.finishSlot()
	}
}

// finishSlot ends the client's answer, or its connection where the answer broke off.
func (r *relay) finishSlot() {
	switch r.outcome {
	case dispatch.StreamComplete:
		r.slot.completeRelay(r.trailer)
	case dispatch.StreamBroken:
		r.slot.session.Finish()
	}
}
