package policy

import (
	"slices"
	"time"
)

// Health check: what the end of an attempt says of its server, and which servers are silent or out
// of reach.

const (
	// silenceMeanLatencies: a server is silent when its attempts have waited for this many mean
	// latencies, summed over them, since it last answered any. That is rare by chance, also where
	// latencies have a heavy tail.
	silenceMeanLatencies = 10.0
	// minSilence is the shortest wait that counts as silence.
	minSilence = 150 * time.Millisecond
	// minSilenceCheckInterval is the least span between two checks of a server.
	minSilenceCheckInterval = 20 * time.Millisecond
	// minRestartOutage is how long a server is out of reach at the least when its process has been
	// restarted.
	minRestartOutage = time.Second
	// initialPause is how long a server is left alone after it was overloaded. The pause doubles
	// each time.
	initialPause = 50 * time.Millisecond
	// maxPause bounds that pause.
	maxPause = 800 * time.Millisecond
	// scarcityDuration is how long no connection to a server is kept idle after it refused some
	// again and again.
	scarcityDuration = 10 * time.Second
)

// serverHealth is whether a server answers, on the request path and to probes.
type serverHealth struct {
	lastAnswerAt          time.Duration // on the request path; 0 for never, or after a failed connect
	lastReachedAt         time.Duration // to a request or a probe
	unreachable           bool          // its last probe failed
	silent                bool          // attempts wait in vain; no claim to be primary counts meanwhile
	silenceCheckScheduled bool
	roundProbePending     bool // a running probe round waits for it
}

// answeredRecently reports whether the server has answered on the request path within
// recentAnswerAge.
func (h *serverHealth) answeredRecently(now time.Duration) bool {
	return now < h.lastAnswerAt+recentAnswerAge
}

// overloadPause is how long a server is left alone because it has no capacity or connections to
// spare.
type overloadPause struct {
	until              time.Duration
	length             time.Duration // of the last pause; 0 once an attempt is served
	connectionScarceAt time.Duration // when it last refused connections again and again; 0 for never
}

func (p *overloadPause) begin(now time.Duration) {
	p.length = min(max(2*p.length, initialPause), maxPause)
	p.until = now + p.length
}

// connectionsScarce reports whether a server has refused connections again and again of late.
func (p *overloadPause) connectionsScarce(now time.Duration) bool {
	return p.connectionScarceAt > 0 && now < p.connectionScarceAt+scarcityDuration
}

// observeHealth updates a server's health, latency and window by the end of an attempt.
func (r *Router) observeHealth(a *attempt, result Result) {
	s := a.server
	switch result {
	case TimedOut, Cancelled:
		if !a.request.clientDisconnected { // a client's own cancel says nothing of the server
			r.observeLatency(s, a, false)
		}
	case OK, Misdirected:
		r.observeAnswer(a, result)
	case Overloaded:
		s.pause.begin(r.now)
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
	if s.outstanding.count() == 0 && s.pause.connectionsScarce(r.now) {
		r.actions.CloseIdleConnections(s.ID) // leave the connection to poolers that have none
	}
}

// observeAnswer records that a server has served an attempt or turned it away by its role or
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
	s.pause.length = 0
	if first := a.request.possiblyExecuted; first != nil && first.serverError && first.server != s {
		// Another server has served the request: the error was the first server's own.
		r.observeFailure(first.server)
	}
	latency := r.observeLatency(s, a, true)
	r.estimates.forRequest(a.request).baseline.observe(r.now, latency)
	r.endEjectionByAnswer(s)
}

// observeConnectFailure records that no connection came up: connections are scarce, or the server
// is gone. It is paused for the first, and a probe round finds out about the second if it is the
// primary.
func (r *Router) observeConnectFailure(s *server) {
	s.pause.begin(r.now)
	s.health.lastAnswerAt = 0
	// One connection may just have broken: it takes three failures with nothing served in between.
	if s.pause.length > 2*initialPause {
		s.pause.connectionScarceAt = r.now
	}
	r.observeFailure(s)
	if g := r.groupFor(s.Group); g.primary == s {
		r.startRound(g)
	}
}

// observeReachable records an answer to a request or a probe. A server that has been out of reach
// for longer than a connection takes to come back may have been restarted: it is in slow start
// then.
func (r *Router) observeReachable(s *server) {
	h := &s.health
	wasAway := h.unreachable || h.silent || s.ejection.ejected && h.lastAnswerAt == 0
	if wasAway && r.now >= h.lastReachedAt+minRestartOutage {
		s.slowStart.since = max(s.slowStart.since, r.now)
	}
	h.unreachable = false
	h.lastReachedAt = r.now
}

// silence is how long a server's attempts have waited since it last answered.
type silence struct {
	waited float64       // in mean latencies, summed over the attempts
	rate   float64       // what is added to waited a nanosecond; 0 where no attempt counts
	oldest time.Duration // the longest wait of one attempt
}

// detected reports whether the server counts as silent.
func (w silence) detected() bool { return w.waited >= silenceMeanLatencies && w.oldest >= minSilence }

// measureSilence returns how long a server's attempts have waited. An attempt does not count once a
// later one has been answered: it may be lost, but the server is not silent.
func (r *Router) measureSilence(s *server) silence {
	var measured silence
	for _, a := range s.outstanding.attempts {
		if a.sentAt < s.outstanding.latestAnsweredSendAt {
			continue
		}
		waited := r.now - max(a.sentAt, s.health.lastAnswerAt)
		mean := float64(r.estimates.forRequest(a.request).meanLatency) / r.slowStartWeight(s)
		measured.waited += float64(waited) / mean
		measured.rate += 1 / mean
		measured.oldest = max(measured.oldest, waited)
	}
	return measured
}

// checkSilence ejects a server that is silent and schedules the next check. It finds hangs, stalls,
// slow hosts and cut links, where a shallow probe may still succeed.
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
		r.retrySilentElsewhere(s)
		measured.waited = 0
	}
	expected := time.Duration((silenceMeanLatencies - measured.waited) / measured.rate)
	s.health.silenceCheckScheduled = true
	r.schedule(max(expected, minSilence-measured.oldest, minSilenceCheckInterval), func() { r.checkSilence(s) })
}

// retrySilentElsewhere sends the idempotent requests that wait at a silent server to another one,
// within the retry budget: beside the first attempt where that is allowed, else after its
// cancellation.
func (r *Router) retrySilentElsewhere(s *server) {
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
