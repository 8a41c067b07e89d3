package policy

// Write routing: writes and reads of the latest data go to the recorded primary. A request that
// finds none is queued, where it can still be rejected.

// choosePrimary returns the primary that may take a request now, nil if there is none.
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

// mayGuessPrimary reports whether a request may be tried at a member that is not known to be
// primary: where probes cannot tell the role, or a round has found no primary although the last one
// is still listed.
func (r *Router) mayGuessPrimary(g *group) bool {
	if !r.settings.ProbesAllowed || !r.settings.RolesReported {
		return true
	}
	return g.outage.confirmed && !g.outage.primaryRemoved
}

// guessPrimary returns the member that is most likely the primary: the last one, then the listed
// one, then any. A try is harmless, since a member that is not the primary turns a write away
// untouched.
func (r *Router) guessPrimary(req *request) *server {
	g := req.group
	var best *server
	bestLikelihood := -1
	for i := range g.members {
		s := g.members[(g.turnCursor+i)%len(g.members)]
		likelihood := primaryLikelihood(s)
		if s.ejection.ejected || r.wouldAnswerStale(req, likelihood) || r.deniedRecently(s) {
			continue
		}
		if likelihood > bestLikelihood && r.canTake(req, s) {
			best = s
			bestLikelihood = likelihood
		}
	}
	return best
}

// primaryLikelihood ranks a member: 2 for the last known primary, 1 for the listed one, 0 for any
// other.
func primaryLikelihood(s *server) int {
	switch {
	case s.role.current == RolePrimary:
		return 2
	case s.Primary:
		return 1
	}
	return 0
}

// wouldAnswerStale reports whether a member that is hardly the primary would answer a read of the
// latest data from its own.
func (r *Router) wouldAnswerStale(req *request, likelihood int) bool {
	return req.class.Access == ReadLatest && r.settings.StaleReads == StaleReadAnswered && likelihood == 0
}

// deniedRecently reports whether a member has said within a round's interval that it is a replica.
func (r *Router) deniedRecently(s *server) bool {
	return s.role.current == RoleReplica && r.now < s.role.asOf+roundInterval
}
