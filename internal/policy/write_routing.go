package policy

// Write routing: writes and reads of the latest data go to the recorded primary. Without one they
// are queued, from where they can still be rejected.

// choosePrimary returns the server to send a request that needs the primary, or nil if the request
// cannot be sent now.
func (r *Router) choosePrimary(req *request) *server {
	s := req.group.primary
	if s == nil && r.mayGuessPrimary(req.group) {
		s = r.guessPrimary(req)
	}
	if s == nil || !r.attemptAllowed(req, s) || r.gracePeriodOver(s) || !r.hasCapacity(s, req.classIndex) {
		return nil
	}
	return s
}

// mayGuessPrimary reports whether a request may be sent to a member that is not known to be the
// primary. It may if probes do not return roles, or if a probe round has found no primary and the
// last one has not been removed from the list.
func (r *Router) mayGuessPrimary(g *group) bool {
	if !r.settings.ProbesAllowed || !r.settings.RolesReported {
		return true
	}
	return g.outage.confirmed && !g.outage.primaryRemoved
}

// guessPrimary returns the member that is most likely the primary, or nil if no member can take the
// request: the last known primary, then the one that the list names, then any other. A wrong guess
// is harmless, because a replica rejects a write without executing it.
func (r *Router) guessPrimary(req *request) *server {
	g := req.group
	var best *server
	bestLikelihood := -1
	for i := range g.members {
		s := g.members[(g.roundRobinOffset+i)%len(g.members)]
		likelihood := primaryLikelihood(s)
		if s.ejection.ejected || r.mightAnswerStale(req, s, likelihood) || r.recentlyReportedReplica(s) {
			continue
		}
		if likelihood > bestLikelihood && r.canTake(req, s) {
			best = s
			bestLikelihood = likelihood
		}
	}
	return best
}

// primaryLikelihood returns 2 for the last known primary, 1 for a member that the list names as
// primary, and 0 for any other.
func primaryLikelihood(s *server) int {
	switch {
	case s.role.current == RolePrimary:
		return 2
	case s.Primary:
		return 1
	}
	return 0
}

// mightAnswerStale reports whether a member with the given likelihood of being the primary might
// answer a read of the latest data with stale data.
func (r *Router) mightAnswerStale(req *request, s *server, likelihood int) bool {
	return req.class.Access == ReadLatest && r.answersStaleReads(s) && likelihood == 0
}

// recentlyReportedReplica reports whether a member was reported to be a replica within the last
// roundInterval.
func (r *Router) recentlyReportedReplica(s *server) bool {
	return s.role.current == RoleReplica && r.now < s.role.asOf+roundInterval
}
