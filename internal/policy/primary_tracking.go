package policy

import "time"

// Primary tracking: recording a group's primary, pinging it, and evaluating evidence about the roles
// of servers.

const (
	// primaryPingInterval is the interval between two pings of a recorded primary in a small fleet.
	primaryPingInterval = 100 * time.Millisecond
	// maxSmallFleet is the maximum number of poolers that each ping every primaryPingInterval. All
	// their pings together take at most 1% of a primary's time.
	maxSmallFleet = 5
	// recentAnswerAge is how long an answer to a request takes precedence over failed probes.
	recentAnswerAge = time.Second
	// firstPingDelay is the delay from recording a primary to its first ping.
	firstPingDelay = 10 * time.Millisecond
	// typicalSwitchoverDuration is the approximate time that a group has no primary after a demotion.
	typicalSwitchoverDuration = 700 * time.Millisecond
	// typicalFailoverDuration is the approximate time that a group has no primary after the old one
	// has failed.
	typicalFailoverDuration = 4 * time.Second
)

// roleEvidence is the evidence about a server's role. Evidence has an effective time, at which the
// server had the role. More recent evidence takes precedence, in whatever order it arrives.
type roleEvidence struct {
	current     Role
	asOf        time.Duration // effective time of the evidence for the current role
	primaryAsOf time.Duration // latest effective time of evidence that the server is primary
}

// recordPrimaryClaim records evidence that the server is primary. It reports false if the evidence is
// ignored because more recent evidence says otherwise.
func (e *roleEvidence) recordPrimaryClaim(asOf time.Duration) bool {
	e.primaryAsOf = max(e.primaryAsOf, asOf)
	if asOf < e.asOf && e.current != RolePrimary {
		return false
	}
	e.current = RolePrimary
	e.asOf = max(e.asOf, asOf)
	return true
}

// recordReplicaClaim records evidence that the server is a replica. It reports false if the evidence is
// ignored because there is more recent evidence.
func (e *roleEvidence) recordReplicaClaim(asOf time.Duration) bool {
	if asOf < e.asOf || asOf < e.primaryAsOf {
		return false
	}
	e.current = RoleReplica
	e.asOf = asOf
	return true
}

// primaryOutage describes the current or last period in which a group had no recorded primary.
type primaryOutage struct {
	confirmed        bool          // whether a probe round has found no primary
	primaryRemoved   bool          // whether the primary was removed from the list and no other is recorded
	startedAt        time.Duration // time at which the last primary was dropped; 0 for never
	expectedDuration time.Duration // approximate duration of the outage
}

// pingSchedule is the schedule of the next ping of a group's primary.
type pingSchedule struct {
	scheduled bool
	dueAt     time.Duration // a ping timer for any other time is obsolete
}

// pingPrimary pings the recorded primary and schedules the next ping. In a large fleet all poolers
// together ping as often as a single pooler of a small fleet, and a pooler pings only if its group is
// in use and there is no evidence of the primary within the last ping interval.
func (r *Router) pingPrimary(g *group) {
	inUse := !r.fleet.isLarge || r.now < g.lastRequestAt+r.fleet.pingInterval
	g.ping.scheduled = g.primary != nil && r.settings.ProbesAllowed && inUse
	if !g.ping.scheduled {
		return
	}
	if !r.fleet.isLarge || r.now >= g.primary.role.primaryAsOf+r.fleet.pingInterval {
		r.sendProbe(g.primary, probeForPing)
	}
	r.schedulePing(g, r.fleet.pingInterval)
}

// schedulePing schedules a ping of a group's primary, replacing the one already scheduled.
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

// observePrimaryClaim records evidence that a server is primary. The server becomes the recorded
// primary unless the evidence for the current one is at least as recent, or the server is no member of
// its group or is silent.
func (r *Router) observePrimaryClaim(s *server, asOf time.Duration) {
	if !s.role.recordPrimaryClaim(asOf) {
		return
	}
	g := r.groupFor(s.Group)
	if !s.listed || s.health.silent || g.primary == s {
		return
	}
	if g.primary != nil && g.primary.role.primaryAsOf >= asOf {
		return
	}
	g.primary = s
	g.outage.confirmed = false
	g.outage.primaryRemoved = false
	g.round.leaderActiveUntil = 0
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryFound, Group: g.id, Server: s.ID, AsOf: asOf})
	if !g.ping.scheduled {
		r.schedulePing(g, firstPingDelay)
	}
	r.dispatchQueued(g)
}

// observeReplicaClaim records evidence that a server is a replica. If the server is the recorded
// primary, it has been demoted and is dropped.
func (r *Router) observeReplicaClaim(s *server, asOf time.Duration) {
	if !s.role.recordReplicaClaim(asOf) {
		return
	}
	if r.dropPrimary(s, "reports that it is a replica") {
		r.groupFor(s.Group).outage.expectedDuration = typicalSwitchoverDuration
	}
}

// dropPrimary clears the recorded primary and starts a probe round if the server is the recorded
// primary. It reports whether it was.
func (r *Router) dropPrimary(s *server, reason string) bool {
	g := r.groupFor(s.Group)
	if g.primary != s {
		return false
	}
	g.primary = nil
	g.outage.startedAt = r.now
	g.outage.expectedDuration = typicalFailoverDuration
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryDown, Group: g.id, Server: s.ID, Reason: reason})
	r.startRound(g)
	return true
}

// observeStatus records the position, utilization and role that a server reports.
func (r *Router) observeStatus(s *server, status ServerStatus) {
	asOf := r.now - primaryPingInterval // assumed if the status does not include its age
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

// ObservePrimary records what the round leader has found out about a group: that the server is its
// primary as of the given time, or, if found is false, that it has no primary yet. The report is
// treated like an answer of the server: more recent evidence takes precedence over it.
func (r *Router) ObservePrimary(now time.Duration, group int, id uint32, found bool, asOf time.Duration) {
	r.advanceClock(now)
	if s := r.servers.byID[id]; found && s != nil && s.Group == group {
		r.observePrimaryClaim(s, asOf)
		return
	}
	if g := r.groups[group]; g != nil && !found {
		g.round.leaderActiveUntil = r.now + roundLeaderTimeout
	}
}

// ReportPrimaryDown records that another pooler has found a group's primary to be down. If this pooler
// is the round leader, it starts a round, unless the last one began less than roundInterval ago. Its
// own pings might detect the failure only seconds later.
func (r *Router) ReportPrimaryDown(now time.Duration, group int) {
	r.advanceClock(now)
	g := r.groups[group]
	if g != nil && r.reported.roundLeader && r.now >= g.round.startedAt+roundInterval {
		r.startRound(g)
	}
}
