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
func (r *Router) attemptAllowed(q *request, s *server) bool {
	if !s.listed {
		return false
	}
	if q.class.Idempotency == Idempotent || q.possiblyExecuted == nil && q.inFlight == 0 {
		return true
	}
	if q.class.Idempotency == NotIdempotent || q.possiblyExecuted == nil {
		return false
	}
	if r.now >= q.possiblyExecuted.sentAt+q.class.DedupWindow-sendMargin {
		return false
	}
	return q.class.DedupScope.includes(q.possiblyExecuted.server, s)
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
	q := r.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) {
		return false
	}
	s := q.attempts[attempt].server
	if r.gracePeriodOver(s) || q.possiblyExecuted != nil && !r.attemptAllowed(q, s) {
		return false
	}
	return s == q.group.primary || q.class.needsPrimary() || r.freshEnough(q, s)
}

// HandleOutcome takes in the end of an attempt.
func (r *Router) HandleOutcome(now time.Duration, o Outcome) {
	r.advanceClock(now)
	a := r.finishAttempt(o)
	if a == nil {
		return
	}
	q := a.request
	r.observeHealth(a, o.Result)
	switch o.Role {
	case RolePrimary:
		r.observePrimaryClaim(a.server, r.now-r.settings.EventInterval)
	case RoleReplica:
		r.observeReplicaClaim(a.server, r.now)
	}
	r.observeStatus(a.server, o.Status)
	if o.Answered {
		q.finished = true
	}
	if !q.finished && q.inFlight == 0 {
		r.retryOrFinish(q, o.Result)
	}
	r.forgetFinished(q)
	r.dispatchQueued(q.group)
}

// retryOrFinish decides what follows an attempt that was not served: another attempt, a wait for
// one, or the final answer.
func (r *Router) retryOrFinish(q *request, result Result) {
	repeated := q.possiblyExecuted != nil && q.class.Idempotency == Idempotent && result != Cancelled
	if !r.mayRetry(q, result) || repeated && r.retryBudget < 1 {
		r.finishRequest(q)
		return
	}
	if repeated {
		r.retryBudget--
	}
	if !r.dispatch(q) {
		r.enqueue(q)
	}
}

// mayRetry reports whether a request has time, attempts and worth left, and may be executed again.
func (r *Router) mayRetry(q *request, result Result) bool {
	if q.deadline-r.now <= rejectMargin+r.settings.EventInterval || r.worthless(q) {
		return false
	}
	if q.possiblyExecuted != nil && q.class.Idempotency == NotIdempotent {
		return false
	}
	return !r.attemptsExhausted(q) && result != NotSent
}

// finishRequest gives a request its final answer: a rejection where a repeat is harmless, else a
// failure.
func (r *Router) finishRequest(q *request) {
	if q.finished {
		return
	}
	q.finished = true
	r.countUnserved(q)
	if r.repeatHarmless(q) {
		r.actions.Reject(q.id, r.retryAfter(q))
	} else {
		r.actions.Fail(q.id)
	}
	r.forgetFinished(q)
}

// repeatHarmless reports whether the client may send the request again, to any server: it has not
// been executed, or its repeats have no effect.
func (r *Router) repeatHarmless(q *request) bool {
	if q.possiblyExecuted == nil && q.inFlight == 0 {
		return true
	}
	c := q.class
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}

// retryAfter returns how long the client of a rejected request is told to stay away, 0 for no
// advice: as long as possible for a late read, and until its timeout would have ended for a request
// that would not have seen the next primary.
func (r *Router) retryAfter(q *request) time.Duration {
	switch {
	case !r.settings.RetryAfterSupported:
		return 0
	case r.late(q) && q.class.Access != Write:
		return r.settings.MaxRetryAfter
	case r.failoverTooLate(q):
		return min(r.settings.MaxRetryAfter, max(q.deadline-r.now, 0))
	}
	return 0
}

// HandleDisconnect takes in that a client has left or cancelled its request. Its attempts are
// cancelled: they must not stand in a server's queue when nobody waits for them.
func (r *Router) HandleDisconnect(now time.Duration, id uint32) {
	r.advanceClock(now)
	q := r.requests[id]
	if q == nil {
		return
	}
	q.finished = true
	q.clientDisconnected = true
	if r.settings.CancelAllowed {
		for number, a := range q.attempts {
			if !a.finished {
				r.actions.CancelAttempt(id, number)
			}
		}
	}
	r.forgetFinished(q)
}
