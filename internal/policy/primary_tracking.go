package policy

import "time"

// Finding the primary: the record of a group, its ping, and the evidence that moves it.

const (
	primaryPingInterval = 100 * ms        // steady ping of the recorded primary
	maxSmallFleet       = 5               // fronts whose pings at 100 ms each take a primary 1% of its time at most
	recentAnswerAge     = time.Second     // an answer on the request path outweighs failed probes this long
	firstPingDelay      = 10 * ms         // from finding a primary to its first ping
	typicalHandover     = 700 * ms        // and from a drained one's last write
	typicalFailover     = 4 * time.Second // from a primary's death until another takes writes, more or less
)

// pingPrimary is every 100 ms. All fronts of a large fleet together ping as often as one alone would, and only
// groups in use, where no answer has said the same since.
func (r *Router) pingPrimary(g *group) {
	if g.pingScheduled = g.primary != nil && r.settings.ProbesAllowed && (!r.largeFleet || r.now < g.lastRequestAt+r.pingInterval); g.pingScheduled {
		if !r.largeFleet || r.now >= g.primary.primaryClaimAsOf+r.pingInterval {
			r.sendProbe(g.primary, "ping")
		}
		r.schedulePing(g, r.pingInterval)
	}
}

// observePrimaryClaim and deny weigh role evidence by its as-of time: the latest wins, whatever was under way meanwhile.
func (r *Router) observePrimaryClaim(s *server, asOf time.Duration) {
	s.primaryClaimAsOf = max(s.primaryClaimAsOf, asOf)
	if asOf < s.roleAsOf && s.role != RolePrimary {
		return
	}
	s.role, s.roleAsOf = RolePrimary, max(s.roleAsOf, asOf)
	g := r.groupFor(s.Group)
	if !s.listed || s.silent || g.primary == s || g.primary != nil && g.primary.primaryClaimAsOf >= asOf {
		return
	}
	g.primary, g.primaryNotFound, g.primaryRemoved, g.leaderRoundsUntil = s, false, false, 0
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryFound, Group: g.id, Server: s.ID, AsOf: asOf})
	if !g.pingScheduled {
		r.schedulePing(g, firstPingDelay)
	}
	r.dispatchQueued(g)
}

func (r *Router) observeReplicaClaim(s *server, asOf time.Duration) {
	if asOf < s.roleAsOf || asOf < s.primaryClaimAsOf {
		return
	}
	s.role, s.roleAsOf = RoleReplica, asOf
	if r.dropPrimary(s, "says it is a replica") {
		r.groupFor(s.Group).expectedOutage = typicalHandover
	}
}

// dropPrimary drops a store from the record, if it stands there, and starts a round.
func (r *Router) dropPrimary(s *server, why string) bool {
	g := r.groupFor(s.Group)
	if g.primary != s {
		return false
	}
	g.primary, g.primaryDownAt, g.expectedOutage = nil, r.now, typicalFailover
	r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryDown, Group: g.id, Server: s.ID, Reason: why})
	r.startRound(g)
	return true
}

func (r *Router) observeStatus(s *server, rep ServerStatus) {
	asOf := r.now - primaryPingInterval // where its age is untold
	if rep.HasPosition {
		r.advancePosition(s, rep.Position)
		if !rep.RoleIsCurrent {
			asOf = rep.Position // exact as of the report
		}
	}
	if rep.Utilization > 0 {
		s.utilization, s.utilizationAt = rep.Utilization, r.now
	}
	if rep.HasRole && rep.IsPrimary {
		r.observePrimaryClaim(s, asOf)
	} else if rep.HasRole {
		r.observeReplicaClaim(s, asOf)
	}
}
