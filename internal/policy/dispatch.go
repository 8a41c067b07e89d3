package policy

import "time"

// Dispatch: what a request's answer is worth and until when, and its send to the server that is
// chosen for it.

// minAttemptTimeout is the least timeout of an attempt: 0 would stand for the client's own.
const minAttemptTimeout = time.Millisecond

// HandleRequest handles the arrival of a request: it is sent, queued, or given its final answer.
func (r *Router) HandleRequest(now time.Duration, in Request) {
	r.advanceClock(now)
	if in.Class < 0 || in.Class >= len(r.settings.Classes) {
		r.actions.Fail(in.ID)
		return
	}
	g := r.groupFor(in.Group)
	g.lastRequestAt = r.now
	if !g.ping.scheduled {
		r.pingPrimary(g)
	}
	req := r.addRequest(in, g)
	r.retryBudget = min(r.retryBudget+retryBudgetRatio, maxRetryBudget)
	r.startInitialRound(req)
	r.schedule(max(in.Timeout-rejectMargin-r.settings.EventInterval, 0), func() {
		if req.inFlight == 0 { // else the last attempt's timeout is still to come, and ends the request in time
			r.finishRequest(req)
		}
	})
	if r.worthless(req) {
		r.finishRequest(req)
		return
	}
	if !r.dispatch(req) {
		r.enqueue(req)
	}
}

// addRequest records a request and what it is judged by.
func (r *Router) addRequest(in Request, g *group) *request {
	req := &request{
		id:            in.ID,
		session:       in.Session,
		group:         g,
		class:         &r.settings.Classes[in.Class],
		classIndex:    in.Class,
		maxAttempts:   r.settings.MaxAttempts,
		requestTiming: requestTiming{arrivedAt: r.now, deadline: r.now + in.Timeout},
	}
	r.requests[req.id] = req
	if req.class.Access == ReadSession {
		req.sessionPosition = r.sessionPosition(in)
	}
	r.setObjective(req, in.Timeout)
	return req
}

// setObjective sets when the answer must come to earn its full weight. A try whose timeout is not
// the usual one of its class is a later try of its client: its time has run since the first one. A
// try with less time than the class's objective is judged by what it has.
func (r *Router) setObjective(req *request, timeout time.Duration) {
	c := req.class
	estimate := r.estimates.forRequest(req)
	req.objectiveAt = req.arrivedAt + min(c.LatencyObjective, timeout)
	tolerance := c.TotalTimeout / timeoutToleranceDivisor
	if timeout >= c.LatencyObjective && !estimate.usualTimeout.vote(timeout, tolerance) {
		req.objectiveAt -= max(c.TotalTimeout-timeout, 0)
	}
	req.lastUsefulSendAt = req.objectiveAt - min(2*estimate.baseline.value, c.LatencyObjective/2, timeout/2)
}

// late reports whether an attempt sent now would hardly earn the full weight.
func (r *Router) late(req *request) bool { return r.now >= req.lastUsefulSendAt }

// worthless reports whether a late answer earns nothing, and any answer would be late now.
func (r *Router) worthless(req *request) bool {
	return r.late(req) && req.class.LateWeightFraction == 0
}

// weightPerWork returns what an answer is still worth for the work that it takes.
func (r *Router) weightPerWork(req *request) float64 {
	weight := req.class.PriorityWeight / float64(r.estimates.forRequest(req).baseline.value)
	if r.late(req) {
		weight *= req.class.LateWeightFraction
	}
	return weight
}

// dispatch sends a request if there is a server for it now, and reports whether it did.
func (r *Router) dispatch(req *request) bool {
	hedged := r.settings.HedgingAllowed && req.class.Idempotency == Idempotent
	if req.inFlight > 0 && !hedged || r.attemptsExhausted(req) {
		return false
	}
	s := r.chooseServer(req)
	if s == nil {
		return false
	}
	r.sendAttempt(req, s)
	return true
}

// chooseServer returns the server that a request is sent to now, nil if there is none.
func (r *Router) chooseServer(req *request) *server {
	if req.class.needsPrimary() {
		return r.choosePrimary(req)
	}
	return r.chooseReplica(req)
}

// sendAttempt sends a request to a server.
func (r *Router) sendAttempt(req *request, s *server) {
	r.recordAttempt(req, s)
	if s.ejection.ejected {
		s.ejection.startTrial(r.now)
	}
	timeout := time.Duration(0)
	if req.class.LateWeightFraction == 0 && req.class.Idempotency == Idempotent {
		timeout = max(req.objectiveAt-r.now, minAttemptTimeout) // no work is spent on an answer that earns nothing
	}
	r.actions.Attempt(req.id, s.ID, timeout)
	if !s.health.silenceCheckScheduled {
		r.checkSilence(s)
	}
}
