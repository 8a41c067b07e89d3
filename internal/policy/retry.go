package policy

import "time"

// Retry: whether a request may be sent again, and the final answer to a request that is not served.

const (
	// sendMargin is the minimum time reserved for a send, from the check that allows it until its last
	// byte. A pooler may be held up for as long in between, with no later check to notice it.
	sendMargin = 150 * time.Millisecond
	// retryBudgetRatio is what each request adds to the retry budget, from which the retries of
	// idempotent requests that may have executed are paid.
	retryBudgetRatio = 0.2
	// maxRetryBudget is the limit of the retry budget: the largest possible burst of such retries.
	maxRetryBudget = 20.0
)

// attemptAllowed reports whether a server is listed and the idempotency of a request permits
// sending the request to it. An idempotent request may always be sent, and any other if it has no
// attempt in flight and none that may have executed. After an attempt that may have executed, a
// request that is idempotent by its key may be sent again within the deduplication window to servers
// within the deduplication scope, and a request that is not idempotent never again.
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
	if r.now >= req.possiblyExecuted.sentAt+req.class.DedupWindow-r.sendReserve() {
		return false
	}
	return req.class.DedupScope.covers(req.possiblyExecuted.server, s)
}

// covers reports whether server s drops the repeat of a request that the original server may have
// executed.
func (d DedupScope) covers(original, s *server) bool {
	switch d {
	case DedupEverywhere:
		return true
	case DedupInZone:
		return s.Zone == original.Zone
	case DedupInGroup:
		return s.Group == original.Group
	}
	return false
}

// MayStillSend reports whether an attempt that had to wait may be written now.
// It returns false if the attempt is unknown, if the server's drain grace period or the request's
// deduplication window has ended, or if the server is no longer fresh enough for the read.
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

// SentTooLate reports whether an attempt was written too late for the data of its server, because the
// pooler was held up or the write took long: the age of the data counts from the attempt's last byte.
// The host calls it at that time. If it returns true, the host must not serve the answer, and reports the
// attempt as Misdirected.
func (r *Router) SentTooLate(now time.Duration, id uint32, attempt int) bool {
	r.advanceClock(now)
	req := r.requests[id]
	if req == nil || req.class.Access != ReadBounded || attempt < 0 || attempt >= len(req.attempts) {
		return false
	}
	s := req.attempts[attempt].server
	return s != req.group.primary && r.answersStaleReads(s) && !r.freshEnough(req, s)
}

// HandleOutcome handles the end of an attempt. It updates the record of the server, and finishes,
// retries or queues the request unless that has its final answer or another attempt in flight. The
// outcome of an attempt that is unknown or has already ended is ignored.
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

// retryOrFinish is called when an attempt was not served and none is in flight. It sends the
// request again, queues it, or finishes it.
func (r *Router) retryOrFinish(req *request, result Result) {
	needsBudget := req.possiblyExecuted != nil && req.class.Idempotency == Idempotent && result != Cancelled
	if !r.mayRetry(req, result) || needsBudget && r.retryBudget < 1 {
		r.finishRequest(req)
		return
	}
	if needsBudget {
		r.retryBudget--
	}
	if !r.dispatch(req) {
		r.enqueue(req)
	}
}

// mayRetry reports whether a request has time and attempts left, its answer still has a value, and
// the request may be executed again. An attempt that ended as NotSent is never retried.
func (r *Router) mayRetry(req *request, result Result) bool {
	if req.deadline-r.now <= rejectMargin+r.settings.EventInterval || r.hasNoValue(req) {
		return false
	}
	if req.possiblyExecuted != nil && req.class.Idempotency == NotIdempotent {
		return false
	}
	return !r.attemptsExhausted(req) && result != NotSent
}

// finishRequest gives a request that was not served its final answer: a rejection if the client may
// safely repeat the request, otherwise a failure. It does nothing if the request is finished.
func (r *Router) finishRequest(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	r.countUnserved(req)
	if r.safeToRepeat(req) {
		r.actions.Reject(req.id, r.retryAfter(req))
	} else {
		r.actions.Fail(req.id)
	}
	r.forgetFinished(req)
}

// safeToRepeat reports whether the client may send the request again to any server: either the
// request has not been executed, or repeating it has no further effect.
func (r *Router) safeToRepeat(req *request) bool {
	if req.possiblyExecuted == nil && req.inFlight == 0 {
		return true
	}
	c := req.class
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere
}

// retryAfter returns how long the client of a rejected request is asked to wait before it retries,
// or 0 for no such advice. It returns MaxRetryAfter for a late read, and at most the remaining time
// of the request if that would have ended before the group has a primary again.
func (r *Router) retryAfter(req *request) time.Duration {
	switch {
	case !r.settings.RetryAfterSupported:
		return 0
	case r.isLate(req) && req.class.Access != Write:
		return r.settings.MaxRetryAfter
	case r.failoverLikelyTooLate(req):
		return min(r.settings.MaxRetryAfter, max(req.deadline-r.now, 0))
	}
	return 0
}

// HandleDisconnect finishes a request whose client has disconnected or cancelled it. If the settings
// allow it, the attempts in flight are cancelled, so that they do not occupy a server's queue.
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
