package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// attempt is one send of a request to a server. It is in flight from startAttempt until its end, which comes once: by the
// backend, by its time-out, or from here where it was never sent.
type attempt struct {
	request   *OpenRequest
	number    int // 0, 1, 2, in the order of the sends
	server    uint32
	startedAt time.Duration
	allowedAt time.Duration // when the policy last said that it may go to its server
	call      Call          // nil: never sent
	timeout   *Timer
}

// startAttempt sends a request to a server, as the policy chose at chosenAt. The time-out closes the connection before the
// policy hears of it, so that no second attempt can meet the first. timeout 0 leaves all the time of the request.
func (o *OpenRequest) startAttempt(server uint32, timeout, chosenAt time.Duration) {
	d, now := o.dispatcher, o.dispatcher.loop.Now()
	deadline := o.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	a := &attempt{request: o, number: o.attemptCount, server: server, startedAt: now, allowedAt: chosenAt}
	o.attemptCount++
	o.inFlight[a.number] = a
	address := d.servers.addresses[server]
	if o.isUnwanted() || deadline <= now || address == "" {
		a.endLater(policy.NotSent)
		return
	}
	switch o.checkSend(server) {
	case SendElsewhere:
		a.endLater(policy.Overloaded)
		return
	case RejectRequest:
		d.loop.Post(func() {
			o.rejectByGuard()
			a.end(AttemptResult{Result: policy.NotSent})
		})
		return
	}
	a.call = d.backend.Send(address, o.request.Payload, deadline-now,
		AttemptCallbacks{StillAllowed: a.stillAllowed, Sent: a.sent, Done: a.end})
	a.timeout = d.loop.At(deadline, a.timedOut)
}

// stillAllowed reports whether a request that had to wait for its connection may be written now.
func (a *attempt) stillAllowed() bool {
	o, d := a.request, a.request.dispatcher
	if o.isUnwanted() {
		a.end(AttemptResult{Result: policy.NotSent})
		return false
	}
	if !d.router.MayStillSend(d.loop.Now(), o.id, a.number) {
		return false
	}
	o.request.WaitedForConnection = true
	decision := o.checkSend(a.server)
	o.request.WaitedForConnection = false
	switch decision {
	case SendElsewhere:
		return false
	case RejectRequest:
		o.rejectByGuard()
		return false
	}
	a.allowedAt = d.loop.Now()
	return true
}

// sent takes in that the last byte of the request has gone out.
func (a *attempt) sent() {
	d := a.request.dispatcher
	a.request.counters.Attempts++
	d.drainReserve.observeSend(d.loop.Now(), a.allowedAt)
	d.router.SetSendDuration(d.drainReserve.required(d.loop.Now()))
}

func (a *attempt) timedOut() {
	a.abort()
	a.end(AttemptResult{Result: policy.TimedOut})
}

func (a *attempt) abort() {
	if a.call != nil {
		a.call.Abort()
	}
}

// endLater ends the attempt in the next round of events.
func (a *attempt) endLater(result policy.Result) {
	a.request.dispatcher.loop.Post(func() { a.end(AttemptResult{Result: result}) })
}

// end takes in the end of the attempt, gives the client its answer if there is one, and reports to the policy. Only the
// first end counts.
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
	o.takeAnswer(result, a.server)
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
