package policy

import "time"

// Endpoints: applying changes of the endpoint list, draining servers, and polling the list.

const (
	// MaxListRetryDelay is the maximum delay from a failed poll of the list to the next one. With it,
	// a change of the list is known within 6 s even if a poll fails.
	MaxListRetryDelay = 1500 * time.Millisecond
	// MaxFirstPollDelay is the maximum delay from a pooler's start to its first poll of the list.
	MaxFirstPollDelay = 3 * time.Second
	// listPollSpacing is the interval between the first polls of two poolers. A list service
	// with 80 poolers handled about ten polls a second.
	listPollSpacing = 80 * time.Millisecond
	// removedServerRetention is how long the state of a removed server is kept.
	removedServerRetention = time.Minute
)

// HandleList applies an endpoint list. On ListFailed the previous list remains in effect and another
// poll is scheduled.
func (r *Router) HandleList(now time.Duration, kind ListKind, entries []Member) {
	r.HandleListNotifiedAt(now, now, kind, entries)
}

// HandleListNotifiedAt is like HandleList for a list of which this pooler may have been notified as
// early as notifiedAt. The drain grace periods that begin with the list count from then.
func (r *Router) HandleListNotifiedAt(now, notifiedAt time.Duration, kind ListKind, entries []Member) {
	r.advanceClock(now)
	notifiedAt = min(notifiedAt, r.now)
	if kind == ListFailed {
		r.scheduleListPoll(r.jitter(r.fleet.listRetryDelay))
		return
	}
	listed := make(map[uint32]bool, len(entries))
	for _, m := range entries {
		listed[m.ID] = true
		if s := r.serverFor(m); s != nil {
			r.updateMember(s, m, notifiedAt)
		}
	}
	if kind != ListDelta {
		r.withdrawUnlisted(listed, notifiedAt)
	}
	if kind == ListCached {
		r.scheduleListPoll(r.stagger(r.fleet.firstPollSpread))
	}
}

// scheduleListPoll schedules a poll of the list unless polling is off or a poll is already scheduled.
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

// serverFor returns the server of an entry, creating it if it does not exist. It returns nil for an
// unknown server that is listed as removed. The slow start of the server begins at the latest start
// time that its entries have reported.
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
	s.slowStart.startedAt = max(s.slowStart.startedAt, m.StartedAt)
	return s
}

// updateMember applies an entry of the list to its server.
func (r *Router) updateMember(s *server, m Member, notifiedAt time.Duration) {
	if m.State != Ready {
		r.withdraw(s, m.State, notifiedAt)
		return
	}
	restarted := m.StartedAt > s.StartedAt && m.StartedAt > s.role.asOf
	if restarted && s.role.current == RolePrimary {
		r.observeReplicaClaim(s, m.StartedAt) // a restarted process is a replica at first
	}
	r.addMember(s)
	s.Member = m
	s.sendUntil = 0
	g := r.groupFor(s.Group)
	if g.primary == s {
		g.outage.primaryRemoved = false
	}
	if r.acceptsListedPrimary(g, s) {
		g.primary = s
		s.role.primaryAsOf = max(s.role.primaryAsOf, r.now-typicalFailoverDuration)
		event := PrimaryEvent{Kind: PrimaryListed, Group: g.id, Server: s.ID, AsOf: s.role.primaryAsOf}
		r.actions.PrimaryChanged(event)
	}
	g.updateWeightsDiffer()
}

// acceptsListedPrimary reports whether a server that the list names as primary is recorded without
// further evidence. This applies when a large fleet starts, since probe rounds by all poolers would
// overload the servers. The entry may be some seconds old; it is used until the first answer arrives.
func (r *Router) acceptsListedPrimary(g *group, s *server) bool {
	if !r.fleet.isLarge || !s.Primary || s.role.current != RoleUnknown || g.outage.startedAt != 0 {
		return false
	}
	return g.primary == nil || g.primary.role.current == RoleUnknown
}

// withdrawUnlisted treats the servers that are missing from a complete list as removed.
func (r *Router) withdrawUnlisted(listed map[uint32]bool, notifiedAt time.Duration) {
	for _, s := range r.servers.ordered {
		if s.listed && !listed[s.ID] && s.State != Removed {
			r.withdraw(s, Removed, notifiedAt)
		}
	}
}

// withdraw stops the use of a server that is draining or removed: for reads immediately, for writes
// at the end of its drain grace period, which begins at notifiedAt, less a margin.
func (r *Router) withdraw(s *server, state MemberState, notifiedAt time.Duration) {
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
			// Another member may be about to be promoted: until one reports itself primary, no write is
			// sent to a guessed primary.
			g.outage.primaryRemoved = true
		}
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	}
	if s.sendUntil > 0 {
		return
	}
	gracePeriod := r.settings.DrainGracePeriod - sendMargin - r.settings.EventInterval
	s.sendUntil = max(notifiedAt+gracePeriod, 1)
	r.schedule(max(s.sendUntil-r.now, 0), func() { r.endGracePeriod(s) })
}

// endGracePeriod removes a server from its group unless it has been listed as ready again or its grace
// period has been extended.
func (r *Router) endGracePeriod(s *server) {
	if s.State == Ready || r.now < s.sendUntil {
		return
	}
	r.removeMember(s)
	if r.dropPrimary(s, "reached the end of its drain grace period") {
		r.groupFor(s.Group).outage.primaryRemoved = true
	}
}

// gracePeriodOver reports whether the drain grace period of a server is too short for another send.
// The time reserved is sendReserve, plus Settings.EventInterval.
func (r *Router) gracePeriodOver(s *server) bool {
	return s.sendUntil > 0 && r.now >= s.sendUntil-(r.sendReserve()-sendMargin)
}

// sendReserve returns the time that must be left for a send before a limit: the recent maximum duration
// of sends, but at least sendMargin.
func (r *Router) sendReserve() time.Duration { return max(r.reported.sendDuration, sendMargin) }

// SetSendDuration sets the recent maximum time that a send has taken, from the check that allowed it to
// its last byte.
func (r *Router) SetSendDuration(d time.Duration) { r.reported.sendDuration = d }

// forgetRemovedServer deletes the state of a removed server once it has no outstanding attempts or
// probes. Without it, a long-running pooler would accumulate every server that was ever listed.
func (r *Router) forgetRemovedServer(s *server) {
	switch {
	case s.State != Removed || r.servers.byID[s.ID] != s:
	case s.listed || s.health.roundProbePending || s.outstanding.count() > 0:
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	default:
		r.servers.remove(s)
	}
}
