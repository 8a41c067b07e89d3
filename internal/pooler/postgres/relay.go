package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/pgwire"
)

const (
	// A shorter value is buffered whole and checked before any of it is sent to the client. A value whose length field
	// announces a long one is relayed once this many bytes are received, so that a wrong length on a short value still leads to
	// another attempt.
	relayThresholdBytes = 8 << 10
	maxRelayBufferBytes = 64 << 10        // buffered bytes beyond which reading from the server is paused
	relayStallTimeout   = 5 * time.Second // a server that sends no byte of the row for this long is considered failed
)

// relay forwards a long answer to the client while it is received. Once it has begun, the query can't be retried: if the relay
// breaks, the client's connection is closed, so that the client can tell that the answer is incomplete. It is a
// dispatch.Stream.
type relay struct {
	query          *query
	remaining      int    // bytes of the row not received yet
	pending        []byte // bytes received but not written to the client yet
	trailer        []byte // messages that follow the row of a complete answer
	slot           *slot  // nil: earlier answers are still due
	clientBlocked  bool   // bytes written to the client have not all reached the kernel
	lastReceivedAt time.Duration
	stallTimer     *dispatch.Timer
	onEnd          func(dispatch.StreamEnd) // nil: the relay has ended
	outcome        dispatch.StreamEnd
}

// OnEnd sets the function that is called with the outcome when the relay ends.
func (r *relay) OnEnd(callback func(dispatch.StreamEnd)) { r.onEnd = callback }

// Discard ends the relay because its client no longer waits for the answer.
func (r *relay) Discard() {
	if r.finishOnce(dispatch.StreamClientDisconnected) {
		r.query.Conn.Close()
	}
}

// Abort ends the relay at its request's deadline if none of it has been sent to the client. A relay that has begun to send
// continues for as long as the server sends, because ending it would lose the answer.
func (r *relay) Abort() {
	if r.onEnd != nil && r.slot == nil {
		r.query.failMalformed()
	}
}

// beginRelay starts a relay if input begins with a long row, and returns the number of bytes of input consumed. It returns 0 if
// the row is not long or too little of it has been received.
func (q *query) beginRelay(input []byte) (consumed int) {
	size := pgwire.LongRow(input)
	if size == 0 || q.lastMessage != 'T' || q.errorCode != "" || len(input) < relayThresholdBytes {
		return 0
	}
	q.lastMessage = 'D'
	consumed = min(size, len(input))
	q.relay = &relay{
		query:          q,
		remaining:      size - consumed,
		pending:        append(q.rows, input[:consumed]...),
		lastReceivedAt: q.Loop().Now(),
		onEnd:          func(dispatch.StreamEnd) {},
	}
	q.input = nil
	q.rows = nil
	q.Result.Answer = q.relay
	q.relay.watchStall()
	q.Conn.Pause(true) // limits how much is read ahead of the client
	q.FinishStreaming(policy.OK, maxRelayBufferBytes)
	return consumed
}

// watchStall breaks the relay if the server sends nothing for relayStallTimeout.
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

// receive consumes the row's bytes at the beginning of data and returns the rest.
func (r *relay) receive(data []byte) (rest []byte) {
	length := min(r.remaining, len(data))
	r.remaining -= length
	r.lastReceivedAt = r.query.Loop().Now()
	canWrite := r.slot != nil && !r.clientBlocked
	if canWrite && len(r.pending) == 0 && length <= maxRelayBufferBytes {
		r.write(data[:length])
		return data[length:]
	}
	r.pending = append(r.pending, data[:length]...)
	switch {
	case canWrite:
		r.sendPending()
	case len(r.pending) > maxRelayBufferBytes:
		r.query.Conn.Pause(true)
	}
	return data[length:]
}

// start sends the answer to target's client, after the answers to the client's earlier commands.
func (r *relay) start(target *slot) {
	if r.onEnd == nil && r.outcome == dispatch.StreamBroken { // nothing has been sent to the client
		target.relay = nil
		target.Fail()
		return
	}
	r.slot = target
	target.session.Conn.LimitSendBuffer()
	r.sendPending()
}

// sendPending writes the buffered bytes until the client blocks. There may be more of them than a connection's send queue
// accepts, so it writes at most maxRelayBufferBytes at a time. When all are written, it ends a finished relay or resumes
// reading from the server.
func (r *relay) sendPending() {
	for len(r.pending) > 0 && !r.clientBlocked {
		length := min(len(r.pending), maxRelayBufferBytes)
		r.write(r.pending[:length])
		r.pending = r.pending[length:]
	}
	if len(r.pending) == 0 {
		r.pending = nil
	}
	switch {
	case r.clientBlocked:
	case r.onEnd == nil:
		r.finishSlot()
	default:
		r.query.Conn.Pause(false)
	}
}

// write sends bytes to the client. Reading from the server is paused while the client reads more slowly.
func (r *relay) write(data []byte) {
	conn := r.slot.session.Conn
	conn.Write(data)
	if conn.Written() {
		return
	}
	r.clientBlocked = true
	if r.onEnd != nil {
		r.query.Conn.Pause(true)
	}
	conn.OnWritten(func() {
		r.clientBlocked = false
		r.sendPending()
	})
}

// finishOnce ends the relay and calls the OnEnd function. It returns false if the relay has already ended.
func (r *relay) finishOnce(end dispatch.StreamEnd) bool {
	if r.onEnd == nil {
		return false
	}
	onEnd := r.onEnd
	r.onEnd = nil
	r.outcome = end
	r.stallTimer.Stop()
	r.query.ReleaseMemory()
	onEnd(end)
	return true
}

// finish ends the relay as complete, with the messages that follow the row, or as broken. The client's answer ends when its
// turn comes and everything before it is written.
func (r *relay) finish(end dispatch.StreamEnd, trailer []byte) {
	r.trailer = trailer
	if r.finishOnce(end) && r.slot != nil && !r.clientBlocked {
		r.finishSlot()
	}
}

// finishSlot completes the client's answer, or closes the client's connection if the relay broke.
func (r *relay) finishSlot() {
	switch r.outcome {
	case dispatch.StreamComplete:
		r.slot.completeRelay(r.trailer)
	case dispatch.StreamBroken:
		r.slot.session.Finish()
	}
}
