package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// attempt is one forwarding of a request to a server. It is in flight from startAttempt until end, which takes effect once:
// called by the backend, by the attempt's timeout, or by the dispatcher if the request was never sent.
type attempt struct {
	request     *OpenRequest
	number      int           // counts the attempts of the request from 0
	server      uint32        // id of the server
	startedAt   time.Duration // Unix time of the call of startAttempt
	allowedAt   time.Duration // Unix time at which the policy last allowed the attempt to be sent
	answerBegun bool          // the server has sent a part of its answer
	call        Call          // nil: never passed to the backend
	timeout     *Timer        // nil: never passed to the backend
}

// startAttempt sends a request to the server that the policy chose earlier in the round, if that still allows it. On timeout, the
// connection is closed before the policy is notified, so that a second attempt can't overlap with the first. A timeout of 0 stands
// for the time left until the request's deadline.
func (o *OpenRequest) startAttempt(server uint32, timeout time.Duration) {
	d, now := o.dispatcher, o.dispatcher.loop.Now()
	deadline := o.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{request: o, number: o.attemptCount, server: server, startedAt: now, allowedAt: now}
	o.attemptCount++
	o.inFlight[a.number] = a
	address := d.servers.addresses[server]
	if o.checkEnded() || deadline <= now || address == "" {
		a.endLater(policy.NotSent)
		return
	}
	if !d.router.MayStillSend(now, o.id, a.number) {
		a.endLater(policy.Misdirected)
		return
	}
	switch o.checkAttempt(server) {
	case SendElsewhere:
		a.endLater(policy.Overloaded)
		return
	case RejectRequest:
		d.loop.Post(func() {
			o.rejectUnsent()
			a.end(AttemptResult{Result: policy.NotSent})
		})
		return
	}
	a.call = d.backend.Send(address, o.request.Payload, deadline-now,
		AttemptCallbacks{StillAllowed: a.stillAllowed, Sent: a.sent, Progress: a.progressed, Done: a.end})
	a.timeout = d.loop.At(deadline, a.timedOut)
}

// stillAllowed reports whether a request may still be written after waiting for its connection.
func (a *attempt) stillAllowed() bool {
	o, d := a.request, a.request.dispatcher
	if o.checkEnded() {
		a.end(AttemptResult{Result: policy.NotSent})
		return false
	}
	if !d.router.MayStillSend(d.loop.Now(), o.id, a.number) {
		return false
	}
	o.request.WaitedForConnection = true
	decision := o.checkAttempt(a.server)
	o.request.WaitedForConnection = false
	switch decision {
	case SendElsewhere:
		return false
	case RejectRequest:
		o.rejectUnsent()
		return false
	}
	a.allowedAt = d.loop.Now()
	return true
}

// checkAttempt asks the client's connection and the guards whether a request may be sent to a server now.
func (o *OpenRequest) checkAttempt(server uint32) SendDecision {
	if !o.request.Reply.MayAttempt() {
		return RejectRequest
	}
	return o.checkSend(server)
}

// sent records that the last byte of the request has been written.
func (a *attempt) sent() {
	d := a.request.dispatcher
	a.request.counters.Attempts++
	d.sendDurations.observe(d.loop.Now(), a.allowedAt)
	d.router.SetSendDuration(d.sendDurations.longest(d.loop.Now()))
	if d.router.SentTooLate(d.loop.Now(), a.request.id, a.number) {
		d.loop.Post(a.endUnserved) // the backend may still be in Send
	}
}

// endUnserved ends a read that was sent too late, so that its answer reaches nobody.
func (a *attempt) endUnserved() {
	if a.request.inFlight[a.number] == nil {
		return
	}
	a.abort()
	a.end(AttemptResult{Result: policy.Misdirected})
}

// progressed reports to the policy that the server is at work.
func (a *attempt) progressed(answered bool) {
	d := a.request.dispatcher
	a.answerBegun = a.answerBegun || answered
	d.router.ObserveProgress(d.loop.Now(), a.request.id, a.number)
}

// timedOut ends the attempt. One whose server has begun to answer goes on until the request's deadline: the client still waits, and
// the backend ends an answer that stalls.
func (a *attempt) timedOut() {
	loop, deadline := a.request.dispatcher.loop, a.request.deadline
	if a.answerBegun && loop.Now() < deadline {
		a.timeout = loop.At(deadline, a.timedOut)
		return
	}
	a.abort()
	a.end(AttemptResult{Result: policy.TimedOut})
}

func (a *attempt) abort() {
	if a.call != nil {
		a.call.Abort()
	}
}

// endLater posts the end of the attempt to the loop's next round of events.
func (a *attempt) endLater(result policy.Result) {
	a.request.dispatcher.loop.Post(func() { a.end(AttemptResult{Result: result}) })
}

// end removes the attempt from those in flight, passes an answer on to the client, and reports the outcome to the policy. Only
// the first call has an effect.
func (a *attempt) end(result AttemptResult) {
	o, d := a.request, a.request.dispatcher
	if o.inFlight[a.number] == nil {
		return
	}
	delete(o.inFlight, a.number)
	a.timeout.Stop()
	o.mayHaveExecuted = o.mayHaveExecuted || !result.Result.NotExecuted()
	if d.outcomeObserver != nil {
		o.observeOutcome(a, result.Result)
	}
	o.handleAnswer(result, a.server)
	d.router.HandleOutcome(d.loop.Now(), policy.Outcome{
		RequestID:   o.id,
		Attempt:     a.number,
		Server:      a.server,
		Result:      result.Result,
		Answered:    o.ended,
		Role:        result.Role,
		HasPosition: result.HasPosition,
		Position:    result.Position,
		Status:      result.Status,
	})
	o.removeIfSettled()
}
