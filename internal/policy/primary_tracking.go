package policy

import "time"

// Primary tracking: the record of a group's primary, its ping, and the evidence that changes the
// record.

const (
	// primaryPingInterval is the steady interval between two pings of a recorded primary.
	primaryPingInterval = 100 * time.Millisecond
	// maxSmallFleet is the largest number of poolers that each ping every primaryPingInterval:
	// their pings together take 1% of a primary's time at most.
	maxSmallFleet = 5
	// recentAnswerAge is how long an answer on the request path outweighs failed probes.
	recentAnswerAge = time.Second
	// firstPingDelay is the span from finding a primary to its first ping.
	firstPingDelay = 10 * time.Millisecond
	// typicalHandover is about how long a group has no primary after the old one was demoted.
	typicalHandover = 700 * time.Millisecond
	// typicalFailover is about how long a group has no primary after the old one died.
	typicalFailover = 4 * time.Second
)

// roleEvidence is what is known of a server's role. Evidence counts by the time that it is true as
// of: the latest wins, in whatever order it arrives.
type roleEvidence struct {
	current   Role
	asOf      time.Duration // the time of the evidence for it
	claimedAt time.Duration // the time of the latest evidence that the server is primary
}

// recordClaim records evidence that the server is primary and reports whether it is now held to be.
func (e *roleEvidence) recordClaim(asOf time.Duration) bool {
	e.claimedAt = max(e.claimedAt, asOf)
	if asOf < e.asOf && e.current != RolePrimary {
		return false
	}
	e.current = RolePrimary
	e.asOf = max(e.asOf, asOf)
	return true
}

// recordDenial records evidence that the server is a replica and reports whether it is now held to
// be.
func (e *roleEvidence) recordDenial(asOf time.Duration) bool {
	if asOf < e.asOf || asOf < e.claimedAt {
		return false
	}
	e.current = RoleReplica
	e.asOf = asOf
	return true
}

// primaryOutage is what is known of a span in which a group has no recorded primary.
type primaryOutage struct {
	confirmed        bool          // a probe round has found no primary
	primaryRemoved   bool          // the recorded primary has left the list, and no other has shown itself
	startedAt        time.Duration // when the last primary was dropped; 0 for never
	expectedDuration time.Duration // how long the group is without a primary then, more or less
}

// pingSchedule is the next ping of a group's primary.
type pingSchedule struct {
	scheduled bool
	dueAt     time.Duration // the ping at another time has been replaced
}

// pingPrimary pings the recorded primary and schedules the next ping. All poolers of a large fleet
// together ping as often as one would, and only groups in use whose primary has not answered since.
func (r *Router) pingPrimary(g *group) {
	inUse := !r.fleet.isLarge || r.now < g.lastRequestAt+r.fleet.pingInterval
	g.ping.scheduled = g.primary != nil && r.settings.ProbesAllowed && inUse
	if !g.ping.scheduled {
		return
	}
	if !r.fleet.isLarge || r.now >= g.primary.role.claimedAt+r.fleet.pingInterval {
		r.sendProbe(g.primary, probeForPing)
	}
	r.schedulePing(g, r.fleet.pingInterval)
}

// schedulePing schedules a ping of a group's primary in place of the one that is due.
func (r *Router) schedulePing(g *group, after time.Duration) {
	dueAt := r.now + after
	g.ping.scheduled = true
	g.ping.dueAt = dueAt
	r.schedule(after, func() {
		if g.ping.dueAt == dueAt {
			r.pingPrimary(g)
		}
	})
}

// observePrimaryClaim records evidence that a server is primary. The server becomes the record
// unless the recorded primary has as late a claim, or the server has left the list or is silent.
func (r *Router) observePrimaryClaim(s *server, asOf time.Duration) {
	if !s.role.recordClaim(asOf) {
		return
	}
	g := r.groupFor(s.Group)
	if !s.listed || s.health.silent || g.primary == s {
		return
	}
	if g.primary != nil && g.primary.role.claimedAt >= asOf {
		return
	}
	g.primary = s
	g.outage.confirmed = false
	g.outage.primaryRemoved = false
	g.round.leaderUntil = 0
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryFound, Group: g.id, Server: s.ID, AsOf: asOf})
	if !g.ping.scheduled {
		r.schedulePing(g, firstPingDelay)
	}
	r.dispatchQueued(g)
}

// observeReplicaClaim records evidence that a server is a replica. A recorded primary that says so
// has been demoted.
func (r *Router) observeReplicaClaim(s *server, asOf time.Duration) {
	if !s.role.recordDenial(asOf) {
		return
	}
	if r.dropPrimary(s, "says it is a replica") {
		r.groupFor(s.Group).outage.expectedDuration = typicalHandover
	}
}

// dropPrimary takes a server off the record if it stands there, starts a probe round, and reports
// whether it stood there.
func (r *Router) dropPrimary(s *server, reason string) bool {
	g := r.groupFor(s.Group)
	if g.primary != s {
		return false
	}
	g.primary = nil
	g.outage.startedAt = r.now
	g.outage.expectedDuration = typicalFailover
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryDown, Group: g.id, Server: s.ID, Reason: reason})
	r.startRound(g)
	return true
}

// observeStatus records a server's report of itself.
func (r *Router) observeStatus(s *server, status ServerStatus) {
	asOf := r.now - primaryPingInterval // where the report does not tell its age
	if status.HasPosition {
		s.replication.advance(status.Position, r.now)
		if !status.RoleIsCurrent {
			asOf = status.Position
		}
	}
	if status.Utilization > 0 {
		s.utilization = reportedUtilization{share: status.Utilization, reportedAt: r.now}
	}
	switch {
	case status.HasRole && status.IsPrimary:
		r.observePrimaryClaim(s, asOf)
	case status.HasRole:
		r.observeReplicaClaim(s, asOf)
	}
}

// ObservePrimary records what the pooler that repeats probe rounds for all found of a group: its
// primary, as of a time, or none yet. It is evidence like an answer's, and newer evidence of this
// pooler outweighs it.
func (r *Router) ObservePrimary(now time.Duration, group int, id uint32, found bool, asOf time.Duration) {
	r.advanceClock(now)
	if s := r.servers.byID[id]; found && s != nil && s.Group == group {
		r.observePrimaryClaim(s, asOf)
		return
	}
	if g := r.groups[group]; g != nil && !found {
		g.round.leaderUntil = r.now + leaderRoundsTrust
	}
}

// ReportPrimaryDown records that another pooler has found a group's primary down. The pooler that
// repeats rounds for all starts one at once, but not before a round would be repeated anyway: its
// own pings may notice seconds later only.
func (r *Router) ReportPrimaryDown(now time.Duration, group int) {
	r.advanceClock(now)
	g := r.groups[group]
	if g != nil && r.reported.roundLeader && r.now >= g.round.startedAt+roundInterval {
		r.startRound(g)
	}
}
