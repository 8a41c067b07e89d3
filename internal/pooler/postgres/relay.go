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
	relayStallTimeout = 5 * time.Second // without a byte of a value that has begun: the server has gone
)

// relay passes a long answer on as it comes. What is begun can't be tried again: if it breaks, the client's connection is
// closed, so that the client can tell.
type relay struct {
	query          *query
	remaining      int    // bytes of the row still to come
	pending        []byte // what has come and could not be passed on yet
	trailer        []byte // of a whole answer: what follows the row
	slot           *slot  // nil: it is not its turn yet
	clientFull     bool   // the client has not taken all that it was sent
	lastReceivedAt time.Duration
	stallTimer     *dispatch.Timer
	onEnd          func(dispatch.StreamEnd) // nil: it has ended
	outcome        dispatch.StreamEnd
}

// OnEnd has the core told how it ends.
func (r *relay) OnEnd(end func(dispatch.StreamEnd)) { r.onEnd = end }

// Discard ends it because nobody waits for it any more.
func (r *relay) Discard() {
	if r.finishOnce(dispatch.StreamClientDisconnected) {
		r.query.Conn.Close()
	}
}

// Abort ends it because its client's time is over, where none of it has been passed on. What has begun goes on for as long as its
// server gives it: cut off before, it would be lost here.
func (r *relay) Abort() {
	if r.onEnd != nil && r.slot == nil {
		r.query.failMalformed()
	}
}

// beginRelay turns a row that is long into a relay and takes what has come of it off b; false: it is not, or not yet. One that has come
// whole is none the less: netpoll reads megabytes ahead of a late loop, and no connection queues so much at once.
func (x *query) beginRelay(b []byte) (rest []byte, ok bool) {
	size := pgwire.LongRow(b)
	if size == 0 || x.lastMessage != 'T' || x.errorCode != "" || len(b) < relayThreshold {
		return b, false
	}
	x.lastMessage = 'D'
	n := min(size, len(b))
	x.relay = &relay{query: x, remaining: size - n, pending: append(x.rows, b[:n]...), lastReceivedAt: x.Loop().Now(),
		onEnd: func(dispatch.StreamEnd) {}}
	x.input, x.rows, x.Result.Answer = nil, nil, x.relay
	x.relay.watchStall()
	x.Conn.Pause(true) // before much has been read ahead of the client
	x.Finish(policy.OK)
	return b[n:], true
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

// receive takes the row's bytes off b.
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
	if r.pending = append(r.pending, b[:n]...); turn {
		r.sendPending()
	} else if len(r.pending) > maxRelayBuffer {
		r.query.Conn.Pause(true)
	}
	return b[n:]
}

// start is called when it is the request's turn.
func (r *relay) start(to *slot) {
	if r.onEnd == nil && r.outcome == dispatch.StreamBroken { // none of it has been passed on
		to.relay = nil
		to.Fail()
		return
	}
	r.slot = to
	to.session.conn.LimitSendBuffer()
	r.sendPending()
}

// sendPending goes on when the client has taken what it was sent. More may wait than a connection queues.
func (r *relay) sendPending() {
	for len(r.pending) > 0 && !r.clientFull {
		n := min(len(r.pending), maxRelayBuffer)
		r.write(r.pending[:n])
		if r.pending = r.pending[n:]; len(r.pending) == 0 {
			r.pending = nil
		}
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
	c := r.slot.session.conn
	if c.Write(b); c.Written() {
		return
	}
	r.clientFull = true
	if r.onEnd != nil {
		r.query.Conn.Pause(true)
	}
	c.OnWritten(func() {
		r.clientFull = false
		r.sendPending()
	})
}

// finishOnce ends it, once.
func (r *relay) finishOnce(how dispatch.StreamEnd) bool {
	if r.onEnd == nil {
		return false
	}
	end := r.onEnd
	r.onEnd, r.outcome = nil, how
	r.stallTimer.Stop()
	end(how)
	return true
}

// finish ends it with what follows the row, or as broken; the client hears of it in its turn.
func (r *relay) finish(how dispatch.StreamEnd, tail []byte) {
	if r.trailer = tail; r.finishOnce(how) && r.slot != nil && !r.clientFull {
		r.finishSlot()
	}
}

func (r *relay) finishSlot() {
	switch r.outcome {
	case dispatch.StreamComplete:
		r.slot.completeRelay(r.trailer)
	case dispatch.StreamBroken:
		r.slot.session.finish()
	}
}
