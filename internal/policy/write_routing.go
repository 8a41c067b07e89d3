package policy

import "slices"

// Writes and fresh reads go to the recorded primary. What finds no store is held: it can still be refused.

const (
	minFailoverWaitFraction = 0.3     // a wait that meets a primary less often is not worth a late refusal
	rejectMargin            = 5 * ms  // a held request is refused this long before its client leaves
	positionRefreshInterval = 60 * ms // replicas are asked for positions this often while a read is held
)

func (r *Router) choosePrimary(q *request) *server {
	s := q.group.primary
	if s == nil && (!r.settings.ProbesAllowed || !r.settings.RolesReported || q.group.primaryNotFound && !q.group.primaryRemoved) {
		s = r.guessPrimary(q)
	}
	if s == nil || !r.attemptAllowed(q, s) || r.pastDrainGrace(s) || !r.hasCapacity(s, q.classIndex) {
		return nil
	}
	return s
}

// guessPrimary serves where probes cannot tell the role, or fail while requests are served: a try is harmless, since
// a member that is not the primary turns a write away untouched. First the last primary, then the listed one.
func (r *Router) guessPrimary(q *request) *server {
	g := q.group
	var best *server
	bestRank := -1
	for i := range g.members {
		s := g.members[(g.turnCursor+i)%len(g.members)]
		rank := 0
		if s.role == RolePrimary {
			rank = 2
		} else if s.Primary {
			rank = 1
		}
		blind := q.classSettings.Access == ReadLatest && r.settings.StaleReads == StaleReadAnswered && rank == 0 // would answer from old data
		denied := s.role == RoleReplica && r.now < s.roleAsOf+roundInterval
		if !s.ejected && !blind && !denied && rank > bestRank && r.canTake(q, s) {
			best, bestRank = s, rank
		}
	}
	return best
}

// enqueue queues a request here, where it can still be refused, most worth for the work first.
func (r *Router) enqueue(q *request) {
	q.queued = true
	q.group.queue = insertBefore(q.group.queue, q, func(x *request) bool { return r.valueDensity(x) <= r.valueDensity(q) })
	if q.lastUsefulSendAt > r.now {
		r.schedule(q.lastUsefulSendAt-r.now, func() { r.reassessQueued(q) })
	}
	if half := (q.arrivedAt+q.deadline)/2 - rejectMargin - r.settings.EventInterval; half > r.now {
		r.schedule(half-r.now, func() {
			if q.queued && !q.finished && !q.reachedServer && r.failoverTooLate(q) {
				r.finishRequest(q)
			}
		})
	}
	r.superviseQueue(q.group)
}

// failoverTooLate tells whether a wait for a primary will hardly end in time; it is given up at half the patience.
func (r *Router) failoverTooLate(q *request) bool {
	g := q.group
	if g.primary != nil || !g.primaryNotFound {
		return false
	}
	rest := max(g.expectedOutage-(r.now-g.primaryDownAt), g.expectedOutage/2)
	return float64(q.deadline-r.now) < minFailoverWaitFraction*float64(rest)
}

// reassessQueued ends a held request that is past all worth, and puts one past its aim behind the others.
func (r *Router) reassessQueued(q *request) {
	switch {
	case q.finished || !q.queued:
	case q.classSettings.LateWeightFraction == 0:
		r.finishRequest(q)
	default:
		r.dequeue(q)
		r.enqueue(q)
	}
}

// superviseQueue looks after held requests: replicas are asked for their positions while a read waits for one.
func (r *Router) superviseQueue(g *group) {
	if g.queueCheckScheduled {
		return
	}
	soon := slices.ContainsFunc(g.queue, func(q *request) bool { return q.catchUpExpected })
	stale := slices.ContainsFunc(g.queue, func(q *request) bool { return q.blockedByLag })
	if r.settings.ProbesAllowed && !r.largeFleet && (soon || stale && r.now >= g.nextPositionRefreshAt) {
		g.nextPositionRefreshAt = r.now + roundInterval // replicas far behind are asked as seldom as rounds are held
		for _, s := range g.members {
			if s != g.primary && !s.ejected && s.State == Ready && !s.inRound && r.now >= s.positionProbedAt+positionRefreshInterval {
				s.positionProbedAt = r.now
				r.sendProbe(s, "refresh")
			}
		}
	}
	g.queueCheckScheduled = true
	r.schedule(positionRefreshInterval, func() {
		g.queueCheckScheduled = false
		if r.dispatchQueued(g); len(g.queue) > 0 {
			r.superviseQueue(g)
		}
	})
}
