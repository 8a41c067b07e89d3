package policy

import "time"

// Rounds: all members of a group without a primary are probed until one reports itself primary.

const (
	roundInterval       = 500 * ms    // to the next round when some member answered
	silentRoundInterval = time.Second // to the next round when none did
	minRoundGap         = 50 * ms     // no two rounds of a group start closer than this: a storm of misses is one cause
)

// startRound probes all members of a group in parallel; the one that reports itself primary becomes the record.
func (r *Router) startRound(g *group) {
	switch {
	case g.roundPending > 0 || !r.settings.ProbesAllowed:
		return
	case r.now < g.leaderRoundsUntil && !r.roundLeader: // another front is at it for all
		r.scheduleRound(g, roundInterval)
		return
	case g.roundStartedAt > 0 && r.now < g.roundStartedAt+minRoundGap:
		r.scheduleRound(g, g.roundStartedAt+minRoundGap-r.now)
		return
	}
	g.roundStartedAt, g.roundAnswered = r.now, false
	for _, s := range g.members {
		if s.listed && !s.inRound {
			s.inRound = true
			g.roundPending++
			r.sendProbe(s, "round")
		}
	}
	if g.roundPending == 0 {
		r.scheduleRound(g, silentRoundInterval)
	}
}

// repeatRound is a round that is due: in a large fleet for fronts that hold work for the group, or one for all.
func (r *Router) repeatRound(g *group) {
	if g.primary == nil && (!r.largeFleet || len(g.queue) > 0 || r.roundLeader) {
		r.startRound(g)
	}
}

// HandleProbeResult takes in what a probe found.
func (r *Router) HandleProbeResult(now time.Duration, p ProbeResult) {
	r.advanceClock(now)
	s := r.servers[p.Server]
	if s == nil {
		return
	}
	g := r.groupFor(s.Group)
	reached := p.Result == OK || p.Result == Overloaded || p.Result == ServerError
	if p.Result == OK {
		r.observeReachable(s)
		r.observeStatus(s, p.Status)
	} else if p.Result == ConnectFailed || !reached && r.now >= s.lastAnswerAt+recentAnswerAge {
		// An error, or silence where requests have just been answered, says nothing: probes fail by themselves.
		s.unreachable = true
		r.dropPrimary(s, "does not answer its ping")
	}
	if g.recordRoundAnswer(s, reached) && g.primary == nil {
		r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryNotFound, Group: g.id, Repeated: g.primaryNotFound})
		g.primaryNotFound = true
		r.scheduleRound(g, map[bool]time.Duration{true: roundInterval, false: silentRoundInterval}[g.roundAnswered])
	}
	r.dispatchQueued(g)
}
