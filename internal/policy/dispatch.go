package policy

import "time"

// Requests: what the answer to one is worth, when, and where it goes.

// HandleRequest takes in a client's request.
func (r *Router) HandleRequest(now time.Duration, in Request) {
	r.advanceClock(now)
	if in.Class < 0 || in.Class >= len(r.settings.Classes) {
		r.actions.Fail(in.ID)
		return
	}
	g := r.groupFor(in.Group)
	if g.lastRequestAt = r.now; !g.pingScheduled {
		r.pingPrimary(g)
	}
	q := &request{id: in.ID, classIndex: in.Class, classSettings: &r.settings.Classes[in.Class], sessionID: in.Session, group: g,
		maxAttempts: r.settings.MaxAttempts, arrivedAt: r.now, deadline: r.now + in.Timeout}
	r.requests[q.id] = q
	if q.classSettings.Access == ReadSession {
		q.requiredPosition = r.sessionPosition(in)
	}
	r.setObjective(q, in.Timeout)
	r.retryBudget = min(r.retryBudget+retryBudgetRatio, maxRetryBudget)
	if !g.initialRoundTriggered && (!r.largeFleet || q.classSettings.Access == ReadLatest || q.classSettings.Access == Write) {
		if g.initialRoundTriggered = true; !r.largeFleet || g.primary == nil { // the list may have named one
			r.startRound(g)
		}
	}
	r.schedule(max(in.Timeout-rejectMargin-r.settings.EventInterval, 0), func() {
		if q.inFlight == 0 { // else the last attempt's time-out is still to come, and ends it in time
			r.finishRequest(q)
		}
	})
	if r.now >= q.lastUsefulSendAt && q.classSettings.LateWeightFraction == 0 {
		r.finishRequest(q)
	} else if !r.dispatch(q) {
		r.enqueue(q)
	}
}

// setObjective sets when the answer must come to earn its full worth. A try whose patience is not the usual one of its
// class is a later one: its time has run since the first. One in a hurry is judged by what it has.
func (r *Router) setObjective(q *request, patience time.Duration) {
	c := q.classSettings
	q.objectiveAt = q.arrivedAt + min(c.LatencyObjective, patience)
	if patience >= c.LatencyObjective && !r.majorityTimeouts[q.classIndex].vote(patience, c.TotalTimeout/timeoutToleranceDivisor) {
		q.objectiveAt -= max(c.TotalTimeout-patience, 0)
	}
	q.lastUsefulSendAt = q.objectiveAt - min(2*r.baselines[q.classIndex].value, c.LatencyObjective/2, patience/2)
}

// dispatch sends a request if there is a store for it now.
func (r *Router) dispatch(q *request) bool {
	if q.inFlight > 0 && (!r.settings.HedgingAllowed || q.classSettings.Idempotency != Idempotent) || r.attemptsExhausted(q) {
		return false
	}
	choose := r.chooseReplica
	if q.classSettings.Access == Write || q.classSettings.Access == ReadLatest {
		choose = r.choosePrimary
	}
	s := choose(q)
	if s != nil {
		r.sendAttempt(q, s)
	}
	return s != nil
}

func (r *Router) sendAttempt(q *request, s *server) {
	r.recordAttempt(q, s)
	if s.ejected {
		s.nextTrialAt, s.trialInterval = r.now+s.trialInterval, min(2*s.trialInterval, maxTrialInterval)
	}
	timeout := time.Duration(0)
	if c := q.classSettings; c.LateWeightFraction == 0 && c.Idempotency == Idempotent {
		timeout = max(q.objectiveAt-r.now, ms) // nothing is spent on an answer past all worth
	}
	r.actions.Attempt(q.id, s.ID, timeout)
	if !s.silenceCheckScheduled {
		r.checkSilence(s)
	}
}

// valueDensity is what the answer is still worth for the work; past the aim only the late share is left.
func (r *Router) valueDensity(q *request) float64 {
	w := q.classSettings.PriorityWeight / float64(r.baselines[q.classIndex].value)
	if r.now >= q.lastUsefulSendAt {
		w *= q.classSettings.LateWeightFraction
	}
	return w
}
