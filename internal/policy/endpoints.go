package policy

import "time"

// The list: who is a member, who drains, and when the list is asked for.

const (
	MaxListRetryDelay = 1500 * ms       // at most from a failed call to the next: what is listed counts as told 6 s later
	MaxFirstPollDelay = 3 * time.Second // and from a start to the first call
	listPollSpacing   = 80 * ms         // between two fronts' first calls: a list service bore some ten a second from 80
)

// HandleList takes in what discovery says.
func (r *Router) HandleList(now time.Duration, kind ListKind, entries []Member) {
	r.advanceClock(now)
	if kind == ListFailed { // keep the old list and ask again
		r.scheduleListPoll(r.jitter(r.listRetryDelay))
		return
	}
	seen := map[uint32]bool{}
	for _, m := range entries {
		seen[m.ID] = true
		if s := r.serverFor(m); s != nil {
			r.updateMember(s, m)
		}
	}
	for _, s := range r.serverOrder {
		if kind != ListDelta && s.listed && !seen[s.ID] && s.State != Removed {
			r.withdrawMember(s, Removed)
		}
	}
	if kind == ListCached {
		r.scheduleListPoll(r.stagger(r.firstPollSpread))
	}
}

func (r *Router) updateMember(s *server, m Member) {
	if m.State != Ready {
		r.withdrawMember(s, m.State)
		return
	}
	if m.StartedAt > s.StartedAt && m.StartedAt > s.roleAsOf && s.role == RolePrimary {
		r.observeReplicaClaim(s, m.StartedAt) // a process that starts again comes back as a replica
	}
	r.addMember(s)
	s.Member, s.sendUntil = m, 0
	g := r.groupFor(s.Group)
	g.primaryRemoved = g.primaryRemoved && g.primary != s
	if p := g.primary; r.largeFleet && m.Primary && s.role == RoleUnknown && g.primaryDownAt == 0 &&
		(p == nil || p.role == RoleUnknown) {
		// Rounds by all at a start are a storm: the list's word, some seconds old, stands until an answer.
		g.primary, s.primaryClaimAsOf = s, max(s.primaryClaimAsOf, r.now-typicalFailover)
		r.actions.PrimaryChanged(PrimaryEvent{Kind: PrimaryListed, Group: g.id, Server: s.ID, AsOf: s.primaryClaimAsOf})
	}
	g.updateWeightsDiffer()
}

// pastDrainGrace tells whether a store that drains gets no more attempts: once less of its grace is left, less a tick,
// than a send has lately taken; graceMargin at the least.
func (r *Router) pastDrainGrace(s *server) bool {
	return s.sendUntil > 0 && r.now >= s.sendUntil-max(r.sendDuration-sendMargin, 0)
}

// withdrawMember stops reads at once; writes may use the grace, less a margin, until the hand-over.
func (r *Router) withdrawMember(s *server, st MemberState) {
	s.wasDraining = s.wasDraining || st == Draining
	if st == Removed && r.settings.IgnoreRemoval && !s.wasDraining {
		return // the list does not prove what is up
	}
	s.State = st
	if st == Removed {
		g := r.groupFor(s.Group)
		g.primaryRemoved = g.primaryRemoved || g.primary == s // what stays may be about to be promoted, or not: no write tries it out
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	}
	if s.sendUntil > 0 {
		return
	}
	s.sendUntil = max(r.now+r.settings.DrainGracePeriod-sendMargin-r.settings.EventInterval, 1)
	r.schedule(max(s.sendUntil-r.now, 0), func() {
		if s.State != Ready && r.now >= s.sendUntil {
			r.removeMember(s)
			if r.dropPrimary(s, "has left") {
				r.groupFor(s.Group).primaryRemoved = true
			}
		}
	})
}

// applyPendingSettings has what the old settings had put off or counted be as the new ones would have it: the gap between
// pings, the time over which first calls are spread, the grace of a drain.
func (r *Router) applyPendingSettings(pings, span, grace time.Duration) {
	if r.listPollScheduled && r.firstPollSpread < span { // the call that is due may be as far off as the larger fleet had it
		r.listPollScheduled = false
		r.scheduleListPoll(r.stagger(r.firstPollSpread))
	}
	for _, g := range r.sortedGroups() {
		g.rankedFrom, g.initialRoundTriggered = nil, false // rounds may be allowed only now
		if g.pingScheduled && r.pingInterval != pings {
			r.schedulePing(g, r.pingInterval)
		}
	}
	for _, s := range r.serverOrder {
		s.window = max(s.window, r.minWindow)
		if s.sendUntil > 0 { // a longer grace is for those that drain from now on
			s.sendUntil = max(s.sendUntil+min(r.settings.DrainGracePeriod-grace, 0), 1)
		}
	}
}
