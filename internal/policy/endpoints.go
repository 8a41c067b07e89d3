package policy

import "time"

// Endpoints: what a change of the endpoint list means for a server, how a draining server is left,
// and when the list is polled.

const (
	// MaxListRetryDelay is the longest wait from a failed poll of the list to the next one: with it
	// a change of the list is known 6 s later, also when a poll fails.
	MaxListRetryDelay = 1500 * time.Millisecond
	// MaxFirstPollDelay is the longest wait from a start to the first poll of the list.
	MaxFirstPollDelay = 3 * time.Second
	// listPollSpacing is the span between the first polls of two poolers: a list service bore some
	// ten a second of 80.
	listPollSpacing = 80 * time.Millisecond
	// removedServerRetention is how long a server that has left the list is remembered.
	removedServerRetention = time.Minute
)

// HandleList applies an endpoint list. After ListFailed the old list stays in force and is polled
// again.
func (r *Router) HandleList(now time.Duration, kind ListKind, entries []Member) {
	r.advanceClock(now)
	if kind == ListFailed { // the old list stays in force
		r.scheduleListPoll(r.jitter(r.fleet.listRetryDelay))
		return
	}
	listed := make(map[uint32]bool, len(entries))
	for _, m := range entries {
		listed[m.ID] = true
		if s := r.serverFor(m); s != nil {
			r.updateMember(s, m)
		}
	}
	if kind != ListDelta {
		r.withdrawUnlisted(listed)
	}
	if kind == ListCached {
		r.scheduleListPoll(r.stagger(r.fleet.firstPollSpread))
	}
}

// scheduleListPoll schedules a poll of the list unless one is scheduled.
func (r *Router) scheduleListPoll(after time.Duration) {
	if !r.settings.PollList || r.listPollScheduled {
		return
	}
	r.listPollScheduled = true
	r.schedule(after, func() {
		r.listPollScheduled = false
		r.actions.WatchList()
	})
}

// serverFor returns the server of an entry and creates it if need be; nil if it was removed before
// it was known. Its slow start counts from the latest start that an entry has reported.
func (r *Router) serverFor(m Member) *server {
	s := r.servers.byID[m.ID]
	if s == nil && m.State == Removed {
		return nil
	}
	if s == nil {
		s = &server{
			endpoint: endpoint{Member: m},
			latency:  serverLatency{ratio: 1},
			window:   concurrencyWindow{size: max(initialFleetWindow/float64(r.settings.Poolers), r.fleet.minWindow)},
		}
		r.servers.add(s)
		r.addMember(s)
	}
	s.slowStart.since = max(s.slowStart.since, m.StartedAt)
	return s
}

// updateMember applies a server's entry.
func (r *Router) updateMember(s *server, m Member) {
	if m.State != Ready {
		r.withdraw(s, m.State)
		return
	}
	restarted := m.StartedAt > s.StartedAt && m.StartedAt > s.role.asOf
	if restarted && s.role.current == RolePrimary {
		r.observeReplicaClaim(s, m.StartedAt) // a process that starts again comes back as a replica
	}
	r.addMember(s)
	s.Member = m
	s.sendUntil = 0
	g := r.groupFor(s.Group)
	if g.primary == s {
		g.outage.primaryRemoved = false
	}
	if r.takesListedPrimary(g, s) {
		g.primary = s
		s.role.claimedAt = max(s.role.claimedAt, r.now-typicalFailover)
		event := PrimaryEvent{Kind: PrimaryListed, Group: g.id, Server: s.ID, AsOf: s.role.claimedAt}
		r.actions.PrimaryChanged(event)
	}
	g.updateWeightsDiffer()
}

// takesListedPrimary reports whether a server that the list names as primary is recorded without
// evidence. That is so at the start of a large fleet, where probe rounds by all poolers would be a
// storm: the entry, some seconds old, stands until there is an answer.
func (r *Router) takesListedPrimary(g *group, s *server) bool {
	if !r.fleet.isLarge || !s.Primary || s.role.current != RoleUnknown || g.outage.startedAt != 0 {
		return false
	}
	return g.primary == nil || g.primary.role.current == RoleUnknown
}

// withdrawUnlisted withdraws the servers that a complete list does not name.
func (r *Router) withdrawUnlisted(listed map[uint32]bool) {
	for _, s := range r.servers.ordered {
		if s.listed && !listed[s.ID] && s.State != Removed {
			r.withdraw(s, Removed)
		}
	}
}

// withdraw stops the use of a server that drains or has left the list: of reads at once, of writes
// once its grace period is over, less a margin.
func (r *Router) withdraw(s *server, state MemberState) {
	if state == Draining {
		s.wasDraining = true
	}
	if state == Removed && r.settings.IgnoreRemoval && !s.wasDraining {
		return
	}
	s.State = state
	if state == Removed {
		g := r.groupFor(s.Group)
		if g.primary == s {
			// Another member may be about to be promoted, so that no write is tried at one of them.
			g.outage.primaryRemoved = true
		}
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	}
	if s.sendUntil > 0 {
		return
	}
	grace := r.settings.DrainGracePeriod - sendMargin - r.settings.EventInterval
	s.sendUntil = max(r.now+grace, 1)
	r.schedule(max(s.sendUntil-r.now, 0), func() { r.endGracePeriod(s) })
}

// endGracePeriod takes a server out of its group unless it was listed as ready again, or its grace
// period lasts longer.
func (r *Router) endGracePeriod(s *server) {
	if s.State == Ready || r.now < s.sendUntil {
		return
	}
	r.removeMember(s)
	if r.dropPrimary(s, "has left") {
		r.groupFor(s.Group).outage.primaryRemoved = true
	}
}

// gracePeriodOver reports whether a server that drains is sent nothing more: when less of its grace
// period is left, less the events' interval, than a send has lately taken, and sendMargin at the
// least.
func (r *Router) gracePeriodOver(s *server) bool {
	return s.sendUntil > 0 && r.now >= s.sendUntil-max(r.reported.sendDuration-sendMargin, 0)
}

// SetSendDuration sets the longest time that a send has lately taken, from its choice to its last
// byte.
func (r *Router) SetSendDuration(d time.Duration) { r.reported.sendDuration = d }

// forgetRemovedServer drops a server that has left the list for good, once nothing of it is under
// way: over a long time every server is replaced.
func (r *Router) forgetRemovedServer(s *server) {
	switch {
	case s.State != Removed || r.servers.byID[s.ID] != s:
	case s.listed || s.health.roundProbePending || s.outstanding.count() > 0:
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	default:
		r.servers.remove(s)
	}
}
