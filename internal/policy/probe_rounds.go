package policy

import "time"

// Probe rounds: all members of a group without a recorded primary are probed repeatedly until one
// reports that it is primary.

const (
	// roundInterval is the interval from a round to the next if at least one member answered.
	roundInterval = 500 * time.Millisecond
	// silentRoundInterval is the interval from a round to the next if no member answered.
	silentRoundInterval = time.Second
	// minRoundGap is the minimum interval between the starts of two rounds of a group. Several
	// failures at the same time usually have a single cause, for which one round suffices.
	minRoundGap = 50 * time.Millisecond
	// roundLeaderTimeout is how long after its last report the round leader is assumed to continue
	// the rounds of a group. It spans three rounds, so that two reports may be lost.
	roundLeaderTimeout = 3 * roundInterval
)

// probeRound is the current or last probe round of a group and the schedule of the next one.
type probeRound struct {
	pending             int           // number of outstanding probes; 0 if no round is in progress
	answered            bool          // whether any member has answered
	startedAt           time.Duration // 0 for never
	nextAt              time.Duration // due time of the next round; a timer for any other time is obsolete
	leaderActiveUntil   time.Duration // until then the round leader is assumed to repeat the rounds
	initialRoundHandled bool          // whether the initial round was started or found unnecessary
}

// recordAnswer records that the probe of a member has ended, with or without an answer, and reports
// whether it was the last outstanding probe of the round.
func (p *probeRound) recordAnswer(s *server, reached bool) bool {
	if !s.health.roundProbePending {
		return false
	}
	s.health.roundProbePending = false
	p.pending--
	p.answered = p.answered || reached
	return p.pending == 0
}

// nextInterval returns the interval from the end of this round to the start of the next.
func (p *probeRound) nextInterval() time.Duration {
	if p.answered {
		return roundInterval
	}
	return silentRoundInterval
}

// startRound probes all members of a group in parallel. It does nothing if a round is in progress or
// probes are not allowed. The round is postponed if the round leader repeats the rounds of the group,
// or if the last round began less than minRoundGap ago.
func (r *Router) startRound(g *group) {
	switch {
	case g.round.pending > 0 || !r.settings.ProbesAllowed:
		return
	case r.now < g.round.leaderActiveUntil && !r.reported.roundLeader:
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

// startInitialRound starts a round on the first request for a group. In a large fleet it is omitted if
// the list names a primary, and reads that do not need the primary do not trigger it.
func (r *Router) startInitialRound(req *request) {
	g := req.group
	if g.round.initialRoundHandled || r.fleet.isLarge && !req.class.needsPrimary() {
		return
	}
	g.round.initialRoundHandled = true
	if !r.fleet.isLarge || g.primary == nil {
		r.startRound(g)
	}
}

// scheduleRound schedules a round unless an earlier one is already scheduled.
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

// repeatRound starts a scheduled round if the group still has no recorded primary. In a large fleet
// only the round leader and the poolers with queued requests for the group repeat rounds.
func (r *Router) repeatRound(g *group) {
	if g.primary != nil {
		return
	}
	if !r.fleet.isLarge || len(g.queue.requests) > 0 || r.reported.roundLeader {
		r.startRound(g)
	}
}

// endRound reports that a round has found no primary and schedules the next round.
func (r *Router) endRound(g *group) {
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryNotFound, Group: g.id, Repeated: g.outage.confirmed})
	g.outage.confirmed = true
	r.scheduleRound(g, g.round.nextInterval())
}

// HandleProbeResult handles the result of a probe: it updates the health and role of the server, and
// ends the probe round if this was its last outstanding probe.
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
		s.replication.notReported = p.Status.HasRole && !p.Status.IsPrimary && !p.Status.HasPosition
		r.observeStatus(s, p.Status)
	case p.Result == ConnectFailed || !reached && !s.health.answeredRecently(r.now):
		// Probes can fail on their own: an error, or a timeout shortly after an answer to a request,
		// is not evidence that the server is unreachable.
		s.health.unreachable = true
		r.dropPrimary(s, "does not answer its ping")
	}
	if g.round.recordAnswer(s, reached) && g.primary == nil {
		r.endRound(g)
	}
	r.dispatchQueued(g)
}

// SetRoundLeader sets whether this pooler is the round leader, which repeats probe rounds on behalf of
// all poolers, including rounds of groups for which it has no requests.
func (r *Router) SetRoundLeader(leader bool) { r.reported.roundLeader = leader }
