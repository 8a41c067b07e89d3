package policy

import (
	"slices"
	"time"
)

// Admission: a request that no server can take waits in the queue of its group. The queue is
// ordered by the value of an answer per unit of work, and a queued request can still be rejected.

const (
	// minOutageCoverageFraction is the fraction of the remaining outage of a group that a request's
	// remaining time must cover. With less, the request is rejected when half of its time has passed.
	minOutageCoverageFraction = 0.3
	// rejectMargin is how long before its deadline a queued request is rejected.
	rejectMargin = 5 * time.Millisecond
	// positionRefreshInterval is the interval between two checks of a queue, in which replicas may
	// be probed for their positions. It is also the minimum interval between two consecutive
	// attempts of a request at the same server, except at the recorded primary.
	positionRefreshInterval = 60 * time.Millisecond
)

// requestQueue holds the queued requests of a group in descending order of their value per work.
type requestQueue struct {
	requests       []*request
	checkScheduled bool
	nextRefreshAt  time.Duration // earliest time to probe replicas that are far behind again
}

// insert inserts a request before the first one for which belongsAfter returns true.
func (q *requestQueue) insert(req *request, belongsAfter func(*request) bool) {
	i := slices.IndexFunc(q.requests, belongsAfter)
	if i < 0 {
		i = len(q.requests)
	}
	q.requests = slices.Insert(q.requests, i, req)
	req.inQueue = true
}

// remove removes a request if it is in the queue.
func (q *requestQueue) remove(req *request) {
	if i := slices.Index(q.requests, req); i >= 0 {
		q.requests = slices.Delete(q.requests, i, i+1)
		req.inQueue = false
	}
}

// contains reports whether match returns true for any request in the queue.
func (q *requestQueue) contains(match func(*request) bool) bool {
	return slices.ContainsFunc(q.requests, match)
}

// enqueue inserts a request into its group's queue. It schedules the checks that may reject the
// request or move it within the queue, and starts the periodic checks of the queue.
func (r *Router) enqueue(req *request) {
	value := r.valuePerWork(req)
	req.group.queue.insert(req, func(other *request) bool { return r.valuePerWork(other) <= value })
	if req.lastUsefulSendAt > r.now {
		r.scheduleFor(req, req.lastUsefulSendAt-r.now, func() { r.handleLateRequest(req) })
	}
	halfTimeAt := (req.arrivedAt+req.deadline)/2 - rejectMargin - r.settings.EventInterval
	if halfTimeAt > r.now {
		r.scheduleFor(req, halfTimeAt-r.now, func() { r.rejectBeforeFailover(req) })
	}
	r.startQueueChecks(req.group)
}

// rejectBeforeFailover is called when half of a queued request's time has passed. It finishes the
// request if the next primary will probably come too late for it, so that the client can retry. A
// request that has reached a server is left in the queue.
func (r *Router) rejectBeforeFailover(req *request) {
	if req.inQueue && !req.finished && !req.reachedServer && r.failoverLikelyTooLate(req) {
		r.finishRequest(req)
	}
}

// failoverLikelyTooLate reports whether a request's group has no primary and will probably not have
// one before the request's deadline.
func (r *Router) failoverLikelyTooLate(req *request) bool {
	g := req.group
	if g.primary != nil || !g.outage.confirmed {
		return false
	}
	expected := g.outage.expectedDuration
	remainingOutage := max(expected-(r.now-g.outage.startedAt), expected/2)
	return float64(req.deadline-r.now) < minOutageCoverageFraction*float64(remainingOutage)
}

// handleLateRequest is called when a queued request becomes late. It finishes the request if a late
// answer has no value, and otherwise moves it within the queue by its reduced value.
func (r *Router) handleLateRequest(req *request) {
	if req.finished || !req.inQueue {
		return
	}
	if req.class.LateWeightFraction == 0 {
		r.finishRequest(req)
		return
	}
	req.group.queue.remove(req)
	r.enqueue(req)
}

// dispatchQueued tries to send the queued requests of a group in the order of the queue.
func (r *Router) dispatchQueued(g *group) {
	waiting := g.queue.requests
	if len(waiting) == 0 {
		return
	}
	g.queue.requests = nil // requests that are enqueued during the loop follow those that stay
	staying := waiting[:0]
	for _, req := range waiting {
		if req.finished {
			continue
		}
		req.inQueue = false
		if !r.dispatch(req) && !req.finished {
			req.inQueue = true
			staying = append(staying, req)
		}
	}
	g.queue.requests = append(staying, g.queue.requests...)
}

// startQueueChecks starts the periodic checks of a group's queue unless they are running. A check
// probes replicas for their positions if queued reads need them, and tries to send the queued
// requests positionRefreshInterval later. The checks stop when the queue is empty.
func (r *Router) startQueueChecks(g *group) {
	if g.queue.checkScheduled {
		return
	}
	if r.shouldRefreshPositions(g) {
		r.refreshAllPositions(g)
	}
	g.queue.checkScheduled = true
	r.schedule(positionRefreshInterval, func() {
		g.queue.checkScheduled = false
		r.dispatchQueued(g)
		if len(g.queue.requests) > 0 {
			r.startQueueChecks(g)
		}
	})
}

// shouldRefreshPositions reports whether the replicas of a group are to be probed for their
// positions now, which is done in small fleets only. They are whenever a replica is expected to
// become fresh enough for a queued read soon, and every roundInterval if a queued read waits for
// replicas that are further behind.
func (r *Router) shouldRefreshPositions(g *group) bool {
	if !r.settings.ProbesAllowed || r.fleet.isLarge {
		return false
	}
	if g.queue.contains(func(req *request) bool { return req.catchUpExpected }) {
		return true
	}
	return r.now >= g.queue.nextRefreshAt &&
		g.queue.contains(func(req *request) bool { return req.blockedByLag })
}

// refreshPositionsForSessions probes the replicas of a group for their positions because a read of a
// session is not sent to any of them: without other reads, nothing else would show that one has caught
// up. It does so in small fleets only, and at most every roundInterval.
func (r *Router) refreshPositionsForSessions(req *request) {
	if req.class.Access != ReadSession || !req.blockedByLag {
		return
	}
	if r.settings.ProbesAllowed && !r.fleet.isLarge && r.now >= req.group.queue.nextRefreshAt {
		r.refreshAllPositions(req.group)
	}
}

// refreshAllPositions probes the ready replicas of a group for their positions. It skips ejected
// replicas and those that a probe round or a position probe has just covered.
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
