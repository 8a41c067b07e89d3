package policy

import (
	"slices"
	"time"
)

// Admission: a request without a server waits in its group's queue, where it can still be rejected,
// and is sent by what its answer is worth for the work.

const (
	// minFailoverWaitFraction: a wait shorter than this part of what is left of an outage is not
	// worth a late rejection.
	minFailoverWaitFraction = 0.3
	// rejectMargin is how long before its client gives up a queued request is rejected.
	rejectMargin = 5 * time.Millisecond
	// positionRefreshInterval is how often a queue is checked and replicas are asked for positions
	// meanwhile. It is also the least span between two attempts of one request at one server.
	positionRefreshInterval = 60 * time.Millisecond
)

// requestQueue holds the queued requests of a group, those first that are worth most for the work.
type requestQueue struct {
	requests       []*request
	checkScheduled bool
	nextRefreshAt  time.Duration // when replicas that are far behind may be asked for positions again
}

// insert puts a request before the first one that is worth no more.
func (q *requestQueue) insert(req *request, worthNoMore func(*request) bool) {
	i := slices.IndexFunc(q.requests, worthNoMore)
	if i < 0 {
		i = len(q.requests)
	}
	q.requests = slices.Insert(q.requests, i, req)
	req.queued = true
}

func (q *requestQueue) remove(req *request) {
	if i := slices.Index(q.requests, req); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
		req.queued = false
	}
}

func (q *requestQueue) has(is func(*request) bool) bool { return slices.ContainsFunc(q.requests, is) }

// enqueue puts a request into its group's queue, and schedules what may end or reorder its wait.
func (r *Router) enqueue(req *request) {
	weight := r.weightPerWork(req)
	req.group.queue.insert(req, func(other *request) bool { return r.weightPerWork(other) <= weight })
	if req.lastUsefulSendAt > r.now {
		r.schedule(req.lastUsefulSendAt-r.now, func() { r.reassessLate(req) })
	}
	halfTimeAt := (req.arrivedAt+req.deadline)/2 - rejectMargin - r.settings.EventInterval
	if halfTimeAt > r.now {
		r.schedule(halfTimeAt-r.now, func() { r.rejectBeforeFailover(req) })
	}
	r.superviseQueue(req.group)
}

// rejectBeforeFailover ends a request that has waited for half of its time if it will hardly see
// the next primary, so that its client can retry.
func (r *Router) rejectBeforeFailover(req *request) {
	if req.queued && !req.finished && !req.reachedServer && r.failoverTooLate(req) {
		r.finishRequest(req)
	}
}

// failoverTooLate reports whether a wait for a primary will hardly end in time.
func (r *Router) failoverTooLate(req *request) bool {
	g := req.group
	if g.primary != nil || !g.outage.confirmed {
		return false
	}
	expected := g.outage.expectedDuration
	left := max(expected-(r.now-g.outage.startedAt), expected/2)
	return float64(req.deadline-r.now) < minFailoverWaitFraction*float64(left)
}

// reassessLate ends a queued request whose answer earns nothing from now on, and moves one that
// earns less behind the others.
func (r *Router) reassessLate(req *request) {
	if req.finished || !req.queued {
		return
	}
	if req.class.LateWeightFraction == 0 {
		r.finishRequest(req)
		return
	}
	req.group.queue.remove(req)
	r.enqueue(req)
}

// dispatchQueued tries to send the queued requests of a group, in their order.
func (r *Router) dispatchQueued(g *group) {
	waiting := g.queue.requests
	if len(waiting) == 0 {
		return
	}
	g.queue.requests = nil // what is queued meanwhile comes after those that stay
	staying := waiting[:0]
	for _, req := range waiting {
		if req.finished {
			continue
		}
		req.queued = false
		if !r.dispatch(req) && !req.finished {
			req.queued = true
			staying = append(staying, req)
		}
	}
	g.queue.requests = append(staying, g.queue.requests...)
}

// superviseQueue asks replicas for their positions while reads wait for one, and schedules itself
// every positionRefreshInterval until the queue is empty.
func (r *Router) superviseQueue(g *group) {
	if g.queue.checkScheduled {
		return
	}
	if r.refreshesQueuedReads(g) {
		r.refreshAllPositions(g)
	}
	g.queue.checkScheduled = true
	r.schedule(positionRefreshInterval, func() {
		g.queue.checkScheduled = false
		r.dispatchQueued(g)
		if len(g.queue.requests) > 0 {
			r.superviseQueue(g)
		}
	})
}

// refreshesQueuedReads reports whether replicas are asked for their positions now: in a small
// fleet, for a read that a replica will soon be fresh enough for, and as seldom as rounds are
// repeated for one that all are far behind for.
func (r *Router) refreshesQueuedReads(g *group) bool {
	if !r.settings.ProbesAllowed || r.fleet.isLarge {
		return false
	}
	if g.queue.has(func(req *request) bool { return req.catchUpExpected }) {
		return true
	}
	return r.now >= g.queue.nextRefreshAt && g.queue.has(func(req *request) bool { return req.blockedByLag })
}

// refreshAllPositions asks the ready replicas of a group for their positions, unless an answer is
// outstanding or recent.
func (r *Router) refreshAllPositions(g *group) {
	g.queue.nextRefreshAt = r.now + roundInterval
	for _, s := range g.members {
		if !g.isReadyReplica(s) || s.ejection.ejected || s.health.roundProbePending {
			continue
		}
		if r.now >= s.replication.probedAt+positionRefreshInterval {
			r.probePosition(s, probeForRefresh)
		}
	}
}
