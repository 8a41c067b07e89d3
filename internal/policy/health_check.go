package policy

import (
	"slices"
	"time"
)

// Health check: evaluating the results of attempts, and detecting silent and unreachable servers.

const (
	// silenceThreshold is the total waiting time of a server's attempts since its last answer, in mean
	// latencies, from which the server is considered silent. Slow answers rarely add up to it by
	// chance, even if latencies have a heavy tail.
	silenceThreshold = 10.0
	// minSilence is the minimum time that one attempt must have waited at a silent server.
	minSilence = 150 * time.Millisecond
	// minSilenceCheckInterval is the minimum interval between two silence checks of a server.
	minSilenceCheckInterval = 20 * time.Millisecond
	// minRestartOutage is the minimum time that a server is unreachable while its process restarts.
	minRestartOutage = time.Second
	// initialBackoff is how long nothing is sent to a server after it was overloaded or refused a
	// connection. It doubles each time until an attempt is served.
	initialBackoff = 50 * time.Millisecond
	// maxBackoff is the maximum backoff.
	maxBackoff = 800 * time.Millisecond
	// connectionScarcityDuration is how long no idle connections to a server are kept after it has
	// repeatedly refused connections.
	connectionScarcityDuration = 10 * time.Second
)

// serverHealth records whether a server answers requests and probes.
type serverHealth struct {
	lastAnswerAt          time.Duration // last answer to a request; 0 for never, or after a failed connect
	lastReachedAt         time.Duration // last answer to a request or a probe
	unreachable           bool          // whether its last probe failed
	lastProgressAt        time.Duration // last progress of an attempt that has not ended; 0 for never
	silent                bool          // whether attempts stay unanswered; prevents recording it as primary
	silenceCheckScheduled bool
	roundProbePending     bool // whether its probe of the current round is outstanding
}

// answeredRecently reports whether the server has answered a request within recentAnswerAge.
func (h *serverHealth) answeredRecently(now time.Duration) bool {
	return now < h.lastAnswerAt+recentAnswerAge
}

// overloadBackoff is the exponential backoff of a server that was overloaded or refused a connection.
type overloadBackoff struct {
	until               time.Duration // end of the current or last backoff
	length              time.Duration // duration of the last backoff; 0 once an attempt is served
	connectionsScarceAt time.Duration // time at which it last refused connections repeatedly; 0 for never
}

// begin starts a backoff, twice as long as the last one.
func (b *overloadBackoff) begin(now time.Duration) {
	b.length = min(max(2*b.length, initialBackoff), maxBackoff)
	b.until = now + b.length
}

// connectionsScarce reports whether the server has repeatedly refused connections within
// connectionScarcityDuration.
func (b *overloadBackoff) connectionsScarce(now time.Duration) bool {
	return b.connectionsScarceAt > 0 && now < b.connectionsScarceAt+connectionScarcityDuration
}

// observeHealth updates a server's health, latency and concurrency window from the result of an
// attempt.
func (r *Router) observeHealth(a *attempt, result Result) {
	s := a.server
	switch result {
	case TimedOut, Cancelled:
		if !a.request.clientDisconnected { // a cancellation by the client is not related to the server
			r.observeLatency(s, a, false)
		}
	case OK, Misdirected:
		r.observeAnswer(a, result)
	case Overloaded:
		s.backoff.begin(r.now)
		s.health.lastAnswerAt = r.now
		s.window.size = max(s.window.size/2, r.fleet.minWindow)
	case ConnectFailed:
		r.observeConnectFailure(s)
	case ServerError:
		s.health.lastAnswerAt = r.now
		a.serverError = true
	case ConnectionReset:
		s.health.lastAnswerAt = r.now
		r.observeFailure(s)
		r.dropPrimary(s, "cannot be reached")
	}
	if s.outstanding.count() == 0 && s.backoff.connectionsScarce(r.now) {
		r.actions.CloseIdleConnections(s.ID) // so that poolers without a connection can open one
	}
}

// observeAnswer records that a server has served an attempt, or has rejected it because of its role or
// position.
func (r *Router) observeAnswer(a *attempt, result Result) {
	s := a.server
	r.observeReachable(s)
	s.health.lastAnswerAt = r.now
	s.health.silent = false
	s.ejection.failureRate *= 1 - failureRateGain
	r.overall.failureRate *= 1 - overallFailureRateGain
	if result != OK {
		return
	}
	s.backoff.length = 0
	if first := a.request.possiblyExecuted; first != nil && first.serverError && first.server != s {
		// Another server has served the same request, so that the first server caused the error.
		r.observeFailure(first.server)
	}
	latency := r.observeLatency(s, a, true)
	r.estimates.forRequest(a.request).baseline.observe(r.now, latency)
	r.endEjectionByAnswer(s)
}

// observeConnectFailure records that no connection to a server could be established: its connections
// are exhausted, or it is down. For the former it starts a backoff. For the latter it starts a probe
// round if the server is the primary.
func (r *Router) observeConnectFailure(s *server) {
	s.backoff.begin(r.now)
	s.health.lastAnswerAt = 0
	// A connection may just have broken: connections count as scarce after three failures with
	// no attempt served in between.
	if s.backoff.length > 2*initialBackoff {
		s.backoff.connectionsScarceAt = r.now
	}
	r.observeFailure(s)
	if g := r.groupFor(s.Group); g.primary == s {
		r.startRound(g)
	}
}

// observeReachable records an answer to a request or a probe. If the server was unreachable for at
// least minRestartOutage, it may have been restarted, and its slow start begins.
func (r *Router) observeReachable(s *server) {
	h := &s.health
	wasUnreachable := h.unreachable || h.silent || s.ejection.ejected && h.lastAnswerAt == 0
	if wasUnreachable && r.now >= h.lastReachedAt+minRestartOutage {
		s.slowStart.startedAt = max(s.slowStart.startedAt, r.now)
	}
	h.unreachable = false
	h.lastReachedAt = r.now
}

// silence is the waiting time of a server's attempts since its last answer.
type silence struct {
	waited      float64       // waiting time summed over the attempts, in mean latencies
	rate        float64       // growth of waited per nanosecond; 0 if no attempt is counted
	longestWait time.Duration // longest waiting time of a single attempt
}

// detected reports whether the server is silent.
func (w silence) detected() bool { return w.waited >= silenceThreshold && w.longestWait >= minSilence }

// measureSilence computes how long a server's attempts have waited. An attempt is not counted once a
// later one has been answered: the earlier one may be lost, but the server is not silent.
func (r *Router) measureSilence(s *server) silence {
	var measured silence
	for _, a := range s.outstanding.attempts {
		if a.sentAt < s.outstanding.latestAnsweredSendAt {
			continue
		}
		waited := r.now - max(a.sentAt, s.health.lastAnswerAt, s.health.lastProgressAt)
		mean := float64(r.estimates.forRequest(a.request).meanLatency) / r.slowStartWeight(s)
		measured.waited += float64(waited) / mean
		measured.rate += 1 / mean
		measured.longestWait = max(measured.longestWait, waited)
	}
	return measured
}

// ObserveProgress records that the server of an attempt in flight has read a part of the request, or
// sent a part of its answer: it is slow, but not silent.
func (r *Router) ObserveProgress(now time.Duration, id uint32, attempt int) {
	r.advanceClock(now)
	req := r.requests[id]
	if req == nil {
		return
	}
	if a := req.unfinishedAttempt(attempt); a != nil {
		a.server.health.lastProgressAt = r.now
	}
}

// checkSilence ejects a silent server, retries its requests elsewhere and schedules the next check. It
// detects hangs, stalls, slow hosts and broken links, during which a shallow probe may still succeed.
func (r *Router) checkSilence(s *server) {
	s.health.silenceCheckScheduled = false
	if s.outstanding.count() == 0 {
		return
	}
	measured := r.measureSilence(s)
	if measured.rate == 0 {
		return
	}
	if measured.detected() {
		s.health.silent = true
		r.eject(s, "is silent")
		r.dropPrimary(s, "is silent")
		r.retryRequestsOfSilentServer(s)
		measured.waited = 0
	}
	remaining := time.Duration((silenceThreshold - measured.waited) / measured.rate)
	s.health.silenceCheckScheduled = true
	r.schedule(max(remaining, minSilence-measured.longestWait, minSilenceCheckInterval),
		func() { r.checkSilence(s) })
}

// retryRequestsOfSilentServer retries the idempotent requests that wait at a silent server, within the
// retry budget: with a concurrent attempt if hedging is allowed, otherwise by cancelling the first
// attempt, whose end triggers the retry.
func (r *Router) retryRequestsOfSilentServer(s *server) {
	for _, a := range slices.Clone(s.outstanding.attempts) {
		req := a.request
		if req.finished || req.class.Idempotency != Idempotent || req.inFlight > 1 || r.retryBudget < 1 {
			continue
		}
		if r.settings.HedgingAllowed {
			if r.dispatch(req) {
				r.retryBudget--
			}
			continue
		}
		if r.settings.CancelAllowed {
			r.actions.CancelAttempt(req.id, req.attemptNumber(a))
		}
	}
}
