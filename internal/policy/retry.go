package policy

import "time"

// Repeats and ends: what may be sent again, and the one final answer.

const (
	sendMargin       = 60 * ms // least time from a choice to its last byte at the store that is allowed for
	retryBudgetRatio = 0.2     // further tries of safe requests, as a share of requests
	maxRetryBudget   = 20.0
)

// attemptAllowed keeps repeats within what the class allows: an unsafe request that may have run is never sent again,
// a keyed one only to the stores that drop its repeats and while they remember it.
func (r *Router) attemptAllowed(q *request, s *server) bool {
	c := q.classSettings
	switch {
	case s.listed && (q.possiblyExecuted == nil && q.inFlight == 0 || c.Idempotency == Idempotent):
		return true
	case !s.listed || c.Idempotency == NotIdempotent || q.possiblyExecuted == nil || r.now >= q.possiblyExecuted.sentAt+c.DedupWindow-sendMargin:
		return false
	}
	return c.DedupScope == DedupEverywhere || c.DedupScope == DedupInZone && s.Zone == q.possiblyExecuted.server.Zone ||
		c.DedupScope == DedupInGroup && s.Group == q.possiblyExecuted.server.Group
}

// MayStillSend tells whether an attempt that had to wait for its connection may be written now: a drain's grace
// or a keyed repeat's window may be over, or the store's proven position have become too old for the read.
func (r *Router) MayStillSend(now time.Duration, id uint32, attempt int) bool {
	r.advanceClock(now)
	q := r.requests[id]
	if q == nil || attempt < 0 || attempt >= len(q.attempts) {
		return false
	}
	s := q.attempts[attempt].server
	return !r.pastDrainGrace(s) && (q.possiblyExecuted == nil || r.attemptAllowed(q, s)) &&
		(s == q.group.primary || q.classSettings.Access >= ReadLatest || r.freshEnough(q, s))
}

// retryOrFinish decides what follows an attempt that served nothing.
func (r *Router) retryOrFinish(q *request, s *server, res Result) {
	c, ran := q.classSettings, q.possiblyExecuted != nil
	pointless := q.deadline-r.now <= rejectMargin+r.settings.EventInterval || r.now >= q.lastUsefulSendAt && c.LateWeightFraction == 0
	repeats := ran && c.Idempotency == Idempotent && res != Cancelled
	if pointless || ran && c.Idempotency == NotIdempotent || r.attemptsExhausted(q) || res == NotSent || repeats && r.retryBudget < 1 {
		r.finishRequest(q)
		return
	}
	if repeats {
		r.retryBudget--
	}
	if !r.dispatch(q) {
		r.enqueue(q)
	}
}

// finishRequest gives the final answer: a refusal where a retry is harmless; a late read's client is told to stay away.
func (r *Router) finishRequest(q *request) {
	if q.finished {
		return
	}
	q.finished = true
	r.countRejection(q)
	c := q.classSettings
	if q.possiblyExecuted == nil && q.inFlight == 0 || c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.DedupScope == DedupEverywhere {
		away := time.Duration(0)
		if r.settings.RetryAfterSupported && r.now >= q.lastUsefulSendAt && c.Access != Write {
			away = r.settings.MaxRetryAfter
		} else if r.settings.RetryAfterSupported && r.failoverTooLate(q) { // when this try's time would have been over
			away = min(r.settings.MaxRetryAfter, max(q.deadline-r.now, 0))
		}
		r.actions.Reject(q.id, away)
	} else {
		r.actions.Fail(q.id)
	}
	r.forgetFinished(q)
}

// HandleDisconnect takes in that a client has left.
func (r *Router) HandleDisconnect(now time.Duration, id uint32) {
	r.advanceClock(now)
	if q := r.requests[id]; q != nil {
		q.finished, q.clientDisconnected = true, true
		for i, a := range q.attempts {
			if !a.finished && r.settings.CancelAllowed {
				r.actions.CancelAttempt(id, i) // nobody waits for it: it must not stand in a queue
			}
		}
		r.forgetFinished(q)
	}
}
