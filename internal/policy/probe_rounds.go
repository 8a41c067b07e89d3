package policy

import "time"

// Probe rounds: all members of a group without a primary are probed until one reports itself
// primary.

const (
	// roundInterval is the span from a round to the next when some member answered.
	roundInterval = 500 * time.Millisecond
	// silentRoundInterval is the span from a round to the next when no member answered.
	silentRoundInterval = time.Second
	// minRoundGap is the least span between the starts of two rounds of a group: several failures
	// at once have one cause.
	minRoundGap = 50 * time.Millisecond
	// leaderRoundsTrust is how long the pooler that repeats rounds for all is believed to go on
	// with a group after it was heard of: three of its rounds, of which two reports may be lost on
	// the way.
	leaderRoundsTrust = 3 * roundInterval
)

// probeRound is the running or last round of a group, and when the next one is due.
type probeRound struct {
	pending          int           // members whose answer is outstanding; 0 when no round is running
	answered         bool          // some member has answered the round
	startedAt        time.Duration // 0 for never
	nextAt           time.Duration // a round scheduled for another time has been replaced
	leaderUntil      time.Duration // until then the round leader repeats this group's rounds
	initialTriggered bool          // the round that the first request starts is over, under way or not needed
}

// recordAnswer takes a member's answer into the running round and reports whether it was the last
// one.
func (p *probeRound) recordAnswer(s *server, reached bool) bool {
	if !s.health.roundProbePending {
		return false
	}
	s.health.roundProbePending = false
	p.pending--
	p.answered = p.answered || reached
	return p.pending == 0
}

// nextInterval returns the span from this round to the next.
func (p *probeRound) nextInterval() time.Duration {
	if p.answered {
		return roundInterval
	}
	return silentRoundInterval
}

// startRound probes all members of a group in parallel: the one that reports itself primary becomes
// the record.
func (r *Router) startRound(g *group) {
	switch {
	case g.round.pending > 0 || !r.settings.ProbesAllowed:
		return
	case r.now < g.round.leaderUntil && !r.reported.roundLeader:
		r.scheduleRound(g, roundInterval)
		return
	case g.round.startedAt > 0 && r.now < g.round.startedAt+minRoundGap:
		r.scheduleRound(g, g.round.startedAt+minRoundGap-r.now)
		return
	}
	g.round.startedAt = r.now
	g.round.answered = false
	for _, s := range g.members {
		if s.listed && !s.health.roundProbePending {
			s.health.roundProbePending = true
			g.round.pending++
			r.sendProbe(s, probeForRound)
		}
	}
	if g.round.pending == 0 {
		r.scheduleRound(g, silentRoundInterval)
	}
}

// startInitialRound starts the round of a group that is used for the first time. The poolers of a
// large fleet leave it out where the list names a primary, and for reads that need none.
func (r *Router) startInitialRound(req *request) {
	g := req.group
	if g.round.initialTriggered || r.fleet.isLarge && !req.class.needsPrimary() {
		return
	}
	g.round.initialTriggered = true
	if !r.fleet.isLarge || g.primary == nil {
		r.startRound(g)
	}
}

// scheduleRound schedules a round unless one is due sooner.
func (r *Router) scheduleRound(g *group, after time.Duration) {
	dueAt := r.now + after
	if g.round.nextAt > r.now && g.round.nextAt <= dueAt {
		return
	}
	g.round.nextAt = dueAt
	r.schedule(after, func() {
		if g.round.nextAt == dueAt {
			r.repeatRound(g)
		}
	})
}

// repeatRound starts a round that is due. In a large fleet only the poolers with queued requests
// for the group do, and the round leader.
func (r *Router) repeatRound(g *group) {
	if g.primary != nil {
		return
	}
	if !r.fleet.isLarge || len(g.queue.requests) > 0 || r.reported.roundLeader {
		r.startRound(g)
	}
}

// endRound reports a round without a primary and schedules the next.
func (r *Router) endRound(g *group) {
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryNotFound, Group: g.id, Repeated: g.outage.confirmed})
	g.outage.confirmed = true
	r.scheduleRound(g, g.round.nextInterval())
}

// HandleProbeResult handles the end of a probe: it updates the server's health and role, and ends
// the round that waited for it.
func (r *Router) HandleProbeResult(now time.Duration, p ProbeResult) {
	r.advanceClock(now)
	s := r.servers.byID[p.Server]
	if s == nil {
		return
	}
	g := r.groupFor(s.Group)
	reached := p.Result == OK || p.Result == Overloaded || p.Result == ServerError
	switch {
	case p.Result == OK:
		r.observeReachable(s)
		r.observeStatus(s, p.Status)
	case p.Result == ConnectFailed || !reached && !s.health.answeredRecently(r.now):
		// Probes fail by themselves: an error, or a timeout soon after an answer on the request
		// path, is no evidence.
		s.health.unreachable = true
		r.dropPrimary(s, "does not answer its ping")
	}
	if g.round.recordAnswer(s, reached) && g.primary == nil {
		r.endRound(g)
	}
	r.dispatchQueued(g)
}

// SetRoundLeader has this pooler repeat probe rounds for all poolers, also of groups that it has no
// requests for, or leaves that to another pooler.
func (r *Router) SetRoundLeader(leader bool) { r.reported.roundLeader = leader }
