package policy

import "time"

// Dispatch: the value of a request's answer over time, and the attempt at the server chosen for it.

// minAttemptTimeout is the minimum timeout of an attempt. A timeout of 0 would mean that of the
// request.
const minAttemptTimeout = time.Millisecond

// HandleRequest handles the arrival of a request: it sends the request, queues it, or gives it its
// final answer. A request of an unknown class fails.
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
	r.scheduleFor(req, max(in.Timeout-rejectMargin-r.settings.EventInterval, 0), func() {
		if req.inFlight == 0 { // otherwise the attempt in flight times out first and the request ends with it
			r.finishRequest(req)
		}
	})
	if r.hasNoValue(req) {
		r.finishRequest(req)
		return
	}
	if !r.dispatch(req) {
		r.enqueue(req)
	}
}

// addRequest adds a request to the open requests, with its deadline, its objective and the position
// that its session requires.
func (r *Router) addRequest(in Request, g *group) *request {
	req := &request{
		id:            in.ID,
		sessions:      in.Sessions,
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

// setObjective sets the time by which the answer must arrive to earn its full weight, and the time
// by which an attempt must be sent for that. A request whose timeout differs from the usual one of
// its class is taken for a client's retry, whose objective counts from the client's first request.
// A request with less time than the class's latency objective is not taken for a retry; its timeout
// is its objective.
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

// isLate reports whether an attempt sent now would probably be answered too late to earn the full
// weight.
func (r *Router) isLate(req *request) bool { return r.now >= req.lastUsefulSendAt }

// hasNoValue reports whether a request is late and a late answer of its class earns nothing.
func (r *Router) hasNoValue(req *request) bool {
	return r.isLate(req) && req.class.LateWeightFraction == 0
}

// valuePerWork returns the weight that an answer still earns per unit of the class's baseline
// latency, which stands for the work of the request.
func (r *Router) valuePerWork(req *request) float64 {
	weight := req.class.PriorityWeight / float64(r.estimates.forRequest(req).baseline.value)
	if r.isLate(req) {
		weight *= req.class.LateWeightFraction
	}
	return weight
}

// dispatch sends a request to a server that can take it now, and reports whether there was one. A
// request with an attempt in flight is sent again only if it may be hedged.
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

// chooseServer returns the server to send a request to, or nil if no server can take it now.
func (r *Router) chooseServer(req *request) *server {
	if req.class.needsPrimary() {
		return r.choosePrimary(req)
	}
	return r.chooseReplica(req)
}

// sendAttempt records and starts an attempt of a request at a server.
func (r *Router) sendAttempt(req *request, s *server) {
	r.recordAttempt(req, s)
	if s.ejection.ejected {
		s.ejection.startTrial(r.now)
	}
	timeout := time.Duration(0)
	if req.class.LateWeightFraction == 0 && req.class.Idempotency == Idempotent {
		timeout = max(req.objectiveAt-r.now, minAttemptTimeout) // a later answer earns nothing
	}
	r.actions.Attempt(req.id, s.ID, timeout)
	if !s.health.silenceCheckScheduled {
		r.checkSilence(s)
	}
}
