package policy

import (
	"slices"
	"time"
)

// attempt is one send of a request to a server.
type attempt struct {
	request     *request
	server      *server
	sentAt      time.Duration
	finished    bool
	serverError bool // it ended as ServerError
}

// request is a request of a client, from its arrival until it has its final answer and no attempt
// is in flight.
type request struct {
	requestTiming
	attemptHistory
	readFreshness

	id                 uint32
	queued             bool // it stands in its group's queue
	finished           bool // it has its final answer, or nobody waits for one
	clientDisconnected bool // its client has left, or cancelled it

	session     uint64
	group       *group
	class       *Class
	classIndex  int
	maxAttempts int // as the settings had it when the request arrived
}

// requestTiming holds the times that a request is judged by: arrivedAt, lastUsefulSendAt,
// objectiveAt and deadline follow each other.
type requestTiming struct {
	arrivedAt        time.Duration
	lastUsefulSendAt time.Duration // an attempt sent by then can still earn the full weight
	objectiveAt      time.Duration // an answer by then earns the full weight
	deadline         time.Duration // the client gives up then
}

// attemptHistory holds the attempts made for a request.
type attemptHistory struct {
	attempts         []*attempt
	inFlight         int      // attempts that have not ended
	possiblyExecuted *attempt // the first attempt that may have been executed; nil for none
	reachedServer    bool     // an attempt has reached a server
}

// readFreshness holds what a read needs of a replica's position, and what its last pass over the
// replicas found.
type readFreshness struct {
	sessionPosition time.Duration // ReadSession: the position of the session's last write; 0 for none
	blockedByLag    bool          // some replica lacks only the position
	catchUpExpected bool          // such a replica will have the position soon
}

// add records an attempt that is about to be sent.
func (h *attemptHistory) add(a *attempt) {
	h.attempts = append(h.attempts, a)
	h.inFlight++
}

// unfinished returns the attempt of a number if there is one and it has not ended.
func (h *attemptHistory) unfinished(number int) *attempt {
	if number < 0 || number >= len(h.attempts) || h.attempts[number].finished {
		return nil
	}
	return h.attempts[number]
}

// last returns the latest attempt, nil if there is none.
func (h *attemptHistory) last() *attempt {
	if len(h.attempts) == 0 {
		return nil
	}
	return h.attempts[len(h.attempts)-1]
}

// finish records the end of an attempt.
func (h *attemptHistory) finish(a *attempt, result Result) {
	a.finished = true
	h.inFlight--
	if !result.NotExecuted() && h.possiblyExecuted == nil {
		h.possiblyExecuted = a
	}
	if result != ConnectFailed && result != NotSent {
		h.reachedServer = true
	}
}

// attemptNumber returns the number of an attempt within its request, or -1 if it is not one of them.
func (h *attemptHistory) attemptNumber(a *attempt) int { return slices.Index(h.attempts, a) }

// recordAttempt enters an attempt that is about to be sent.
func (r *Router) recordAttempt(req *request, s *server) {
	a := &attempt{server: s, sentAt: r.now, request: req}
	req.add(a)
	s.outstanding.add(a)
	if r.inSlowStart(s) {
		s.slowStart.budget -= float64(r.estimates.forRequest(req).meanLatency)
	}
}

// finishAttempt enters what an outcome tells of its attempt, request, server and session, and
// returns the attempt; nil if there is none that the outcome could end.
func (r *Router) finishAttempt(o Outcome) *attempt {
	req := r.requests[o.RequestID]
	if req == nil {
		return nil
	}
	a := req.unfinished(o.Attempt)
	if a == nil {
		return nil
	}
	if o.Result == OK && !r.inSlowStart(a.server) {
		r.recordWarmRequest(req.classIndex)
	}
	req.finish(a, o.Result)
	a.server.outstanding.finish(a, o.Result, r.now)
	r.observePosition(a, o)
	return a
}

// observePosition records what an outcome tells of positions: the position of a write that was
// executed belongs to its session, that of any other answer is the server's. A read may have been
// turned away for its position.
func (r *Router) observePosition(a *attempt, o Outcome) {
	req := a.request
	if o.Result == Misdirected && req.class.Access != Write {
		a.server.replication.lagRejectedAt = r.now
	}
	if o.Result == OK && !req.class.needsPrimary() && !o.HasPosition {
		r.positionsOmitted = true
	}
	if !o.HasPosition {
		return
	}
	if o.Result != OK || req.class.Access != Write {
		a.server.replication.advance(o.Position, r.now)
		return
	}
	if r.settings.TrackSessions && req.session != 0 {
		r.sessions.remember(req.session, o.Position)
	}
}

// forgetFinished drops a request that has its final answer and no attempt in flight.
func (r *Router) forgetFinished(req *request) {
	if req.finished && req.inFlight == 0 {
		delete(r.requests, req.id)
	}
}

// attemptsExhausted reports whether a request has had all its attempts. New settings may lower the
// number for a request under way and do not raise it.
func (r *Router) attemptsExhausted(req *request) bool {
	return len(req.attempts) >= min(req.maxAttempts, r.settings.MaxAttempts)
}
