package policy

import (
	"fmt"
	"slices"
	"time"
)

// Health: a store holds as much of this front as its answers bear; silence and failures cost it its turn.

const (
	initialFleetWindow       = 8.0  // attempts that a store may hold of all fronts together until its answers tell more
	minFleetWindow           = 6.0  // and of these at least; under one is a rest between a front's reads in a jam
	congestedLatencyRatio    = 1.3  // undisturbed answer times at which a queue costs more than it hides
	windowCutFactor          = 0.85 // window kept at such an answer, at most once per cutGap
	windowCutInterval        = 100 * ms
	baselineObjectiveDivisor = 4               // part of the aim that a class's undisturbed time is taken for at first
	baselineWithoutObjective = 100 * ms        // and where it has no aim
	latencyRatioGain         = 0.15            // weight of one answer in a store's slowness
	overallLatencyRatioGain  = 0.1             // and in that of all stores together
	latencyRatioHalfLife     = 8 * time.Second // slowness halves its excess in this time, so that a store is tried again
	meanLatencyGain          = 0.03            // weight of one answer in a class's mean answer time
	silenceMeanLatencies     = 10.0            // mean answer times waited without a word: rarely by chance, heavy tails too
	minSilence               = 150 * ms        // shorter pauses are no silence
	initialOverloadPause     = 50 * ms         // after being sent away unseen; doubles up to fullMost
	maxOverloadPause         = 800 * ms
	ejectionFailureRate      = 0.5      // share of recent attempts failing at which a store loses its turn
	failureRateGain          = 0.3      // weight of one outcome in that share
	overallFailureRateGain   = 0.1      // and in the share that fails everywhere
	initialTrialInterval     = 300 * ms // from losing its turn to the first trial
	maxTrialInterval         = 3 * time.Second
	scarcityDuration         = 10 * time.Second // after a refused connection: none is kept idle
	minRestartOutage         = time.Second      // no process is back sooner
)

// HandleOutcome takes in the end of an attempt.
func (r *Router) HandleOutcome(now time.Duration, o Outcome) {
	r.advanceClock(now)
	a := r.finishAttempt(o)
	if a == nil {
		return
	}
	q, s := a.request, a.server
	r.observeHealth(s, a, o)
	switch o.Role {
	case RolePrimary:
		r.observePrimaryClaim(s, r.now-r.settings.EventInterval)
	case RoleReplica:
		r.observeReplicaClaim(s, r.now)
	}
	r.observeStatus(s, o.Status)
	q.finished = q.finished || o.Answered
	if !q.finished && q.inFlight == 0 {
		r.retryOrFinish(q, s, o.Result)
	}
	r.forgetFinished(q)
	r.dispatchQueued(q.group)
}

func (r *Router) observeHealth(s *server, a *attempt, o Outcome) {
	switch o.Result {
	case TimedOut, Cancelled:
		if !a.request.clientDisconnected { // a client's own cancel says nothing of the store
			r.observeLatency(s, a, false)
		}
	case OK, Misdirected:
		r.observeReachable(s)
		s.lastAnswerAt, s.silent = r.now, false
		s.failureRate *= 1 - failureRateGain
		r.failureRate *= 1 - overallFailureRateGain
		if o.Result == OK {
			s.overloadPause = 0
			if e := a.request.possiblyExecuted; e != nil && e.serverErrored && e.server != s {
				r.observeFailure(e.server) // an error is the store's, not the request's, if another store then served it
			}
			r.observeBaseline(a.request.classIndex, r.observeLatency(s, a, true))
			if s.ejected && s.failureRate < ejectionFailureRate {
				s.ejected, s.ejectedByFleet = false, false
				r.actions.Log(fmt.Sprintf("group %d: store %d has its turn back", s.Group, s.ID))
			}
		}
	case Overloaded, ConnectFailed: // work or connections are scarce: a pause; a round tells whether the store is gone
		s.overloadPause = min(max(2*s.overloadPause, initialOverloadPause), maxOverloadPause)
		s.pausedUntil = r.now + s.overloadPause
		if s.lastAnswerAt = r.now; o.Result == Overloaded {
			s.window = max(s.window/2, r.minWindow)
			break
		}
		if s.lastAnswerAt = 0; s.overloadPause > 2*initialOverloadPause { // thrice with nothing served between: one may just have broken
			s.connectionsScarceAt = r.now
		}
		r.observeFailure(s)
		if g := r.groupFor(s.Group); g.primary == s {
			r.startRound(g)
		}
	case ServerError, ConnectionReset:
		if s.lastAnswerAt, a.serverErrored = r.now, o.Result == ServerError; o.Result == ConnectionReset {
			r.observeFailure(s)
			r.dropPrimary(s, "cannot be reached")
		}
	}
	if len(s.inFlight) == 0 && s.connectionsScarceAt > 0 && r.now < s.connectionsScarceAt+scarcityDuration {
		r.actions.CloseIdleConnections(s.ID) // leave the connection to fronts that have none
	}
}

// observeFailure counts a failure against a store, as far as it fails more than all do: where all refuse, connections
// are scarce, and that costs no store its turn.
func (r *Router) observeFailure(s *server) {
	s.failureRate += failureRateGain * (1 - s.failureRate)
	if (s.failureRate-r.failureRate)/(1-r.failureRate) >= ejectionFailureRate {
		r.eject(s, "fails")
	}
	r.failureRate += overallFailureRateGain * (1 - r.failureRate)
}

// hasCapacity tells whether a store may hold one more attempt of this front. Work beyond the window waits here
// and not in the store's queue, whatever made the store slow: overload, a neighbour, a cold start, a jam.
func (r *Router) hasCapacity(s *server, class int) bool {
	rest := time.Duration(0)
	if s.window < 1 && max(r.decayedLatencyRatio(s), r.latencyRatio) > congestedLatencyRatio && r.settings.Classes[class].Access != Write {
		rest = time.Duration((1/s.window - 1) * float64(s.lastAttemptDuration))
	}
	held := s.inFlight
	for s.ejected && len(held) > 0 && held[0].sentAt < s.ejectedAt {
		held = held[1:] // what hangs there since before must not keep it from its trial
	}
	return float64(len(held)) < max(s.window, 1) && r.now >= s.pausedUntil && r.now >= s.lastAttemptEndedAt+rest &&
		(!r.inSlowStart(s) || r.slowStartAllows(s, class))
}

// adjustWindow moves a window: up when it was used up and answers come in good time, down when they show a queue.
func (r *Router) adjustWindow(s *server) {
	switch {
	case s.latencyRatio > congestedLatencyRatio:
		if r.now >= s.windowCutAt+windowCutInterval {
			s.window, s.windowCutAt = max(s.window*windowCutFactor, r.minWindow), r.now
		}
	case s.window < 1 && r.latencyRatio > congestedLatencyRatio: // only then has it been in force
		s.window = min(s.window/windowCutFactor, 1)
	case s.window >= 1 && float64(len(s.inFlight)+1) >= s.window:
		s.window += min(1/s.window, s.window)
	}
}

// observeLatency enters how long an attempt lasted, or at least, if it was not waited out.
func (r *Router) observeLatency(s *server, a *attempt, answered bool) time.Duration {
	took := r.now - a.sentAt
	ratio := min(float64(took)/float64(r.baselines[a.request.classIndex].value), 20)
	if answered || ratio > r.decayedLatencyRatio(s) {
		s.latencyRatio = r.decayedLatencyRatio(s)*(1-latencyRatioGain) + latencyRatioGain*ratio
	}
	if answered || ratio > r.latencyRatio && r.now < s.lastAnswerAt+recentAnswerAge { // silence is no jam
		r.latencyRatio += overallLatencyRatioGain * (ratio - r.latencyRatio)
	}
	s.latencyRatioAt, s.lastAttemptDuration = r.now, took
	r.adjustWindow(s)
	m := &r.meanLatencies[a.request.classIndex]
	*m = max(*m+time.Duration(meanLatencyGain*float64(min(took, 8**m)-*m)), ms)
	return took
}

// checkSilence looks for silence: the time that the store's attempts have waited since it last answered any, in mean
// answer times, summed: hangs, stalls, slow hosts and cut links, where a shallow probe may still succeed.
func (r *Router) checkSilence(s *server) {
	s.silenceCheckScheduled = false
	if len(s.inFlight) == 0 {
		return
	}
	waited, rate, oldest := 0.0, 0.0, time.Duration(0)
	for _, a := range s.inFlight {
		if a.sentAt < s.latestAnsweredSendAt {
			continue // a later one has been answered: this one may be lost, but the store is not silent
		}
		m := float64(r.meanLatencies[a.request.classIndex]) / r.slowStartWeight(s)
		waited += float64(r.now-max(a.sentAt, s.lastAnswerAt)) / m
		rate += 1 / m
		oldest = max(oldest, r.now-max(a.sentAt, s.lastAnswerAt))
	}
	if rate == 0 {
		return
	}
	if waited >= silenceMeanLatencies && oldest >= minSilence {
		s.silent = true // no claim counts until it answers a request: a shallow probe may succeed on a hung one
		r.eject(s, "is silent")
		r.dropPrimary(s, "is silent")
		r.retrySilentElsewhere(s)
		waited = 0
	}
	wait := max(time.Duration((silenceMeanLatencies-waited)/rate), minSilence-oldest, 20*ms)
	s.silenceCheckScheduled = true
	r.schedule(wait, func() { r.checkSilence(s) })
}

// ObserveFleetEjection takes in the fleet's word that a store is bad, or no longer: it loses its turn until a trial or the
// next word, unless it has just answered here, or no other member of its group has its turn.
func (r *Router) ObserveFleetEjection(now time.Duration, id uint32, bad bool) {
	r.advanceClock(now)
	s := r.servers[id]
	if s == nil || bad && (s.ejected || s.lastAnswerAt > 0 && r.now < s.lastAnswerAt+recentAnswerAge) || !bad && !s.ejectedByFleet {
		return
	}
	g := r.groupFor(s.Group)
	if !bad {
		s.ejected, s.ejectedByFleet = false, false
		r.dispatchQueued(g)
	} else if slices.ContainsFunc(g.members, func(x *server) bool { return x != s && !r.Avoids(x.ID) }) {
		r.eject(s, "is bad by the fleet's word")
		s.ejectedByFleet = true
	}
}

func (r *Router) eject(s *server, why string) {
	if s.ejectedByFleet = false; s.ejected {
		return
	}
	s.ejected, s.ejectedAt, s.trialInterval, s.nextTrialAt = true, r.now, initialTrialInterval, r.now+initialTrialInterval
	r.actions.Log(fmt.Sprintf("group %d: store %d %s and loses its turn", s.Group, s.ID, why))
}

// retrySilentElsewhere takes the safe requests of a silent store elsewhere.
func (r *Router) retrySilentElsewhere(s *server) {
	for _, a := range append([]*attempt(nil), s.inFlight...) {
		switch q := a.request; {
		case q.finished || q.classSettings.Idempotency != Idempotent || q.inFlight > 1 || r.retryBudget < 1:
		case r.settings.HedgingAllowed && r.dispatch(q):
			r.retryBudget--
		case !r.settings.HedgingAllowed && r.settings.CancelAllowed:
			r.actions.CancelAttempt(q.id, attemptIndex(q, a))
		}
	}
}

// observeReachable notes an answer: after a while out of reach, longer than a break, a store may have restarted cold.
func (r *Router) observeReachable(s *server) {
	if (s.unreachable || s.silent || s.ejected && s.lastAnswerAt == 0) && r.now >= s.lastReachedAt+minRestartOutage {
		s.slowStartSince = max(s.slowStartSince, r.now)
	}
	s.unreachable, s.lastReachedAt = false, r.now
}
