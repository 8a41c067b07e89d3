package policy

import (
	"slices"
	"time"
)

// attempt is one forwarding of a request to a server.
type attempt struct {
	request     *request
	server      *server
	sentAt      time.Duration
	finished    bool
	serverError bool // the attempt ended as ServerError
}

// request is an open request of a client. It is open from its arrival until it is finished and has
// no attempt in flight.
type request struct {
	requestTiming
	attemptHistory
	readFreshness

	id                 uint32
	inQueue            bool         // whether the request is in its group's queue
	finished           bool         // whether the request has its final answer, or its client has disconnected
	clientDisconnected bool         // whether the client has disconnected or cancelled the request
	timers             []*timerTask // scheduled for the request

	sessions    []uint64
	group       *group
	class       *Class
	classIndex  int
	maxAttempts int // Settings.MaxAttempts at the arrival of the request
}

// requestTiming holds the times that determine the value of a request's answer. arrivedAt,
// lastUsefulSendAt, objectiveAt and deadline usually follow each other in this order; those of a
// client's retry may already be past at its arrival.
type requestTiming struct {
	arrivedAt        time.Duration
	lastUsefulSendAt time.Duration // latest time of an attempt that can still earn the full weight
	objectiveAt      time.Duration // latest time of an answer that earns the full weight
	deadline         time.Duration // time at which the client gives up
}

// attemptHistory holds the attempts made for a request.
type attemptHistory struct {
	attempts         []*attempt // in the order of their sends
	inFlight         int        // number of attempts that have not ended
	possiblyExecuted *attempt   // first attempt that may have been executed; nil for none
	reachedServer    bool       // whether an attempt has reached a server
}

// readFreshness holds the position that a read requires and the result of its last search for a
// replica.
type readFreshness struct {
	sessionPosition time.Duration // ReadSession: position of the session's last write; 0 for none
	blockedByLag    bool          // whether a replica could take the read if it were fresh enough
	catchUpExpected bool          // whether such a replica is expected to be fresh enough soon
}

// addAttempt records an attempt that is about to be sent.
func (h *attemptHistory) addAttempt(a *attempt) {
	h.attempts = append(h.attempts, a)
	h.inFlight++
}

// unfinishedAttempt returns the attempt with the given number, or nil if there is none or it has
// ended.
func (h *attemptHistory) unfinishedAttempt(number int) *attempt {
	if number < 0 || number >= len(h.attempts) || h.attempts[number].finished {
		return nil
	}
	return h.attempts[number]
}

// lastAttempt returns the latest attempt, or nil if there is none.
func (h *attemptHistory) lastAttempt() *attempt {
	if len(h.attempts) == 0 {
		return nil
	}
	return h.attempts[len(h.attempts)-1]
}

// endAttempt records the end of an attempt.
func (h *attemptHistory) endAttempt(a *attempt, result Result) {
	a.finished = true
	h.inFlight--
	if !result.NotExecuted() && h.possiblyExecuted == nil {
		h.possiblyExecuted = a
	}
	if result != ConnectFailed && result != NotSent {
		h.reachedServer = true
	}
}

// attemptNumber returns the number of an attempt within the request, or -1 if the attempt belongs to
// another one.
func (h *attemptHistory) attemptNumber(a *attempt) int { return slices.Index(h.attempts, a) }

// recordAttempt adds an attempt that is about to be sent to its request and its server. An attempt
// at a server in slow start is charged to that server's budget.
func (r *Router) recordAttempt(req *request, s *server) {
	a := &attempt{server: s, sentAt: r.now, request: req}
	req.addAttempt(a)
	s.outstanding.add(a)
	if r.inSlowStart(s) {
		s.slowStart.budget -= float64(r.estimates.forRequest(req).meanLatency)
	}
}

// finishAttempt records the outcome of an attempt in the attempt, its request, its server and its
// session, and returns the attempt. It returns nil if the attempt is unknown or has already ended.
func (r *Router) finishAttempt(o Outcome) *attempt {
	req := r.requests[o.RequestID]
	if req == nil {
		return nil
	}
	a := req.unfinishedAttempt(o.Attempt)
	if a == nil {
		return nil
	}
	if o.Result == OK && !r.inSlowStart(a.server) {
		r.recordWarmRequest(req.classIndex)
	}
	req.endAttempt(a, o.Result)
	a.server.outstanding.finish(a, o.Result, r.now)
	r.observePosition(a, o)
	return a
}

// observePosition records the position in an outcome: that of an executed write for the sessions of
// the request, that of any other outcome for the server. It also records that a server rejected a
// read as too far behind, and that answers omit positions.
func (r *Router) observePosition(a *attempt, o Outcome) {
	req := a.request
	if o.Result == Misdirected && req.class.Access != Write {
		a.server.replication.lagRejectedAt = r.now
	}
	if o.Result == OK && !req.class.needsPrimary() && !o.HasPosition {
		r.positionsOmitted = true
	}
	switch {
	case o.Result == OK && req.class.Access == Write:
		r.recordWrite(req.sessions, o.Position, o.HasPosition)
	case o.HasPosition:
		a.server.replication.advance(o.Position, r.now)
	}
}

// forgetFinished deletes a request if it is finished and has no attempt in flight.
func (r *Router) forgetFinished(req *request) {
	if req.finished && req.inFlight == 0 {
		delete(r.requests, req.id)
		r.timers.forget(req)
	}
}

// attemptsExhausted reports whether a request has had its maximum number of attempts. New settings
// lower that maximum for open requests but do not raise it.
func (r *Router) attemptsExhausted(req *request) bool {
	return len(req.attempts) >= min(req.maxAttempts, r.settings.MaxAttempts)
}
