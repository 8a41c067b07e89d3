package policy

import "time"

// Retry: whether a request may be sent again, and the one final answer to a request that is not
// served.

const (
	// sendMargin is the least span from a choice to its last byte at the server that is allowed
	// for.
	sendMargin = 60 * time.Millisecond
	// retryBudgetRatio is what each request adds to the budget for repeats of idempotent requests
	// that may have executed.
	retryBudgetRatio = 0.2
	// maxRetryBudget bounds the repeats that can come at once.
	maxRetryBudget = 20.0
)

// attemptAllowed reports whether a request may be sent to a server as far as its idempotency goes:
// one that is not idempotent and may have executed is never sent again, and one that is by its key
// only to the servers that drop its repeats, while they remember it.
func (r *Router) attemptAllowed(req *request, s *server) bool {
	if !s.listed {
		return false
	}
	if req.class.Idempotency == Idempotent || req.possiblyExecuted == nil && req.inFlight == 0 {
		return true
	}
	if req.class.Idempotency == NotIdempotent || req.possiblyExecuted == nil {
		return false
	}
	if r.now >= req.possiblyExecuted.sentAt+req.class.DedupWindow-sendMargin {
		return false
	}
	return req.class.DedupScope.includes(req.possiblyExecuted.server, s)
}

// includes reports whether a server drops a repeat of what another one may have executed.
func (d DedupScope) includes(executed, s *server) bool {
	switch d {
	case DedupEverywhere:
		return true
	case DedupInZone:
		return s.Zone == executed.Zone
	case DedupInGroup:
		return s.Group == executed.Group
	}
	return false
}

// MayStillSend reports whether an attempt that had to wait for its connection may be written now.
// It may not once the grace period of its server or the window of its key is over, or the server's
// proven position is too old for the read.
func (r *Router) MayStillSend(now time.Duration, id uint32, attempt int) bool {
	r.advanceClock(now)
	req := r.requests[id]
	if req == nil || attempt < 0 || attempt >= len(req.attempts) {
		return false
	}
	s := req.attempts[attempt].server
	if r.gracePeriodOver(s) || req.possiblyExecuted != nil && !r.attemptAllowed(req, s) {
		return false
	}
	return s == req.group.primary || req.class.needsPrimary() || r.freshEnough(req, s)
}

// HandleOutcome handles the end of an attempt: it updates what is known of the server, and the
// request is finished, sent again or queued. An outcome of an attempt that is unknown or has ended
// is ignored.
func (r *Router) HandleOutcome(now time.Duration, o Outcome) {
	r.advanceClock(now)
	a := r.finishAttempt(o)
	if a == nil {
		return
	}
	req := a.request
	r.observeHealth(a, o.Result)
	switch o.Role {
	case RolePrimary:
		r.observePrimaryClaim(a.server, r.now-r.settings.EventInterval)
	case RoleReplica:
		r.observeReplicaClaim(a.server, r.now)
	}
	r.observeStatus(a.server, o.Status)
	if o.Answered {
		req.finished = true
	}
	if !req.finished && req.inFlight == 0 {
		r.retryOrFinish(req, o.Result)
	}
	r.forgetFinished(req)
	r.dispatchQueued(req.group)
}

// retryOrFinish decides what follows an attempt that was not served: another attempt, a wait for
// one, or the final answer.
func (r *Router) retryOrFinish(req *request, result Result) {
	repeated := req.possiblyExecuted != nil && req.class.Idempotency == Idempotent && result != Cancelled
	if !r.mayRetry(req, result) || repeated && r.retryBudget < 1 {
		r.finishRequest(req)
		return
	}
	if repeated {
		r.retryBudget--
	}
	if !r.dispatch(req) {
		r.enqueue(req)
	}
}

// mayRetry reports whether a request has time, attempts and worth left, and may be executed again.
func (r *Router) mayRetry(req *request, result Result) bool {
	if req.deadline-r.now <= rejectMargin+r.settings.EventInterval || r.worthless(req) {
		return false
	}
	if req.possiblyExecuted != nil && req.class.Idempotency == NotIdempotent {
		return false
	}
	return !r.attemptsExhausted(req) && result != NotSent
}

// finishRequest gives a request its final answer: a rejection where a repeat is harmless, else a
// failure.
func (r *Router) finishRequest(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	r.countUnserved(req)
	if r.repeatHarmless(req) {
		r.actions.Reject(req.id, r.retryAfter(req))
	} else {
		r.actions.Fail(req.id)
	}
	r.forgetFinished(req)
}

// repeatHarmless reports whether the client may send the request again, to any server: it has not
// been executed, or its repeats have no effect.
func (r *Router) repeatHarmless(req *request) bool {
	if req.possiblyExecuted == nil && req.inFlight == 0 {
		return true
	}
	c := req.class
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}

// retryAfter returns how long the client of a rejected request is advised to stay away, 0 for no
// advice: as long as possible for a late read, and until its timeout would have ended for a request
// that would not have seen the next primary.
func (r *Router) retryAfter(req *request) time.Duration {
	switch {
	case !r.settings.RetryAfterSupported:
		return 0
	case r.late(req) && req.class.Access != Write:
		return r.settings.MaxRetryAfter
	case r.failoverTooLate(req):
		return min(r.settings.MaxRetryAfter, max(req.deadline-r.now, 0))
	}
	return 0
}

// HandleDisconnect ends a request whose client has left or cancelled it. Its attempts are
// cancelled: they must not stand in a server's queue when nobody waits for them.
func (r *Router) HandleDisconnect(now time.Duration, id uint32) {
	r.advanceClock(now)
	req := r.requests[id]
	if req == nil {
		return
	}
	req.finished = true
	req.clientDisconnected = true
	if r.settings.CancelAllowed {
		for number, a := range req.attempts {
			if !a.finished {
				r.actions.CancelAttempt(id, number)
			}
		}
	}
	r.forgetFinished(req)
}
