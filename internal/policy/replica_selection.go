package policy

import (
	"cmp"
	"math"
	"time"
)

// Replica selection: reads go to replicas by turns, as fresh as their class needs.

const (
	// fallbackWaitFraction is the part of its latency objective that a read waits before the
	// primary may take it.
	fallbackWaitFraction = 0.25
	// nonPreferredCost is the cost, in requests, of each place in a large fleet's ranking of
	// replicas.
	nonPreferredCost = 0.5
	// crossZoneCost is the cost, in requests, of another zone: it takes a little time and money.
	crossZoneCost = 0.3
	// utilizationMaxAge is how long a reported utilization counts.
	utilizationMaxAge = time.Second
)

// replicaSearch is one pass over the replicas of a group for a read.
type replicaSearch struct {
	request      *request
	fallbackWait time.Duration // how long the read may wait for a replica to catch up
	minLag       time.Duration // as longReadMinLag has it; 0 for none
	mostLagged   *server
	placeCost    float64 // cost of each place in the order of the pass

	best       *server
	bestCost   float64
	turnCredit float64 // sum of the turns credited in this pass, in weights
	trial      *server // an ejected replica that is due for a trial
	stale      *server // a replica that is to be asked for its position
}

// chooseReplica returns the replica whose turn it is for a read, nil if no server may take it now.
// Of the replicas that are fresh enough and healthy it is the one with the least load, ties by
// turn. A pooler of a large fleet, which sees few requests, keeps to its home while that is not
// busy: so it has fewer connections, and better estimates.
func (r *Router) chooseReplica(req *request) *server {
	g := req.group
	search := replicaSearch{
		request:      req,
		fallbackWait: time.Duration(fallbackWaitFraction * float64(req.class.LatencyObjective)),
		minLag:       r.longReadMinLag(req),
		mostLagged:   g.mostLaggedReplica(),
		bestCost:     math.Inf(1),
	}
	req.blockedByLag = false
	req.catchUpExpected = false
	members, first := g.members, g.turnCursor
	if r.pace.largeFleet {
		members, first = r.rankedReplicas(g), 0
		search.placeCost = nonPreferredCost
	}
	for place := range members {
		s := members[(first+place)%len(members)]
		if s != g.primary {
			r.considerReplica(&search, s, place)
		}
	}
	r.settleTurn(&search)
	chosen := cmp.Or(search.trial, search.best)
	if chosen == nil && r.mayFallBack(&search) {
		chosen = r.chooseFallback(req)
	}
	if chosen != nil {
		g.turnCursor++
	}
	return chosen
}

// considerReplica takes one replica into a search.
func (r *Router) considerReplica(search *replicaSearch, s *server, place int) {
	req := search.request
	r.keepPositionProven(req.class, s)
	if s.ReadWeight == NoReads || !r.canTake(req, s) || r.tooFreshForLongRead(search, s) {
		return
	}
	if !r.freshEnough(req, s) {
		r.considerStale(search, s)
		return
	}
	if s.ejection.ejected {
		r.considerTrial(search, s)
		return
	}
	if cost := r.turnCost(search, s, place); cost < search.bestCost {
		search.best = s
		search.bestCost = cost
	}
}

// considerStale notes that a replica lacks only the position. A pooler of a large fleet asks one
// such replica for it: where that was too far behind, or has not answered, as seldom as rounds are
// repeated.
func (r *Router) considerStale(search *replicaSearch, s *server) {
	req := search.request
	req.blockedByLag = true
	lag := r.missingLag(req, s)
	if !s.ejection.ejected && lag <= search.fallbackWait {
		req.catchUpExpected = true
	}
	if !r.pace.largeFleet || !r.settings.ProbesAllowed || s.ejection.ejected || search.stale != nil {
		return
	}
	wait := positionRefreshInterval
	if lag > 0 || s.replication.probedAt > s.replication.provenAt {
		wait = roundInterval
	}
	if r.now >= s.replication.probedAt+wait {
		search.stale = s
	}
}

// considerTrial notes that an ejected replica may be tried by a read's first attempt. One that is
// out of reach must answer a probe before.
func (r *Router) considerTrial(search *replicaSearch, s *server) {
	if len(search.request.attempts) > 0 || r.now < s.ejection.nextTrialAt {
		return
	}
	if s.health.unreachable && r.settings.ProbesAllowed {
		s.ejection.nextTrialAt = r.now + maxTrialInterval
		r.sendProbe(s, probeForTrial)
		return
	}
	if search.trial == nil {
		search.trial = s
	}
}

// turnCost returns what a replica's turn is chosen by, the least first: its load, or the turns that
// it has had where members differ in weight, or its position where a long read goes to the replica
// furthest behind.
func (r *Router) turnCost(search *replicaSearch, s *server, place int) float64 {
	cost := r.loadCost(s)
	if !r.inSlowStart(s) { // what is sent to a server in slow start is to come from all poolers
		cost += search.placeCost * float64(place)
	}
	if search.request.group.weightsDiffer {
		weight := r.turnWeight(s)
		s.turnCredit += weight
		search.turnCredit += weight
		cost = -s.turnCredit
	}
	if search.minLag > 0 {
		cost = s.replication.position.Seconds()
	}
	return cost
}

// turnWeight returns a replica's share of turns: a server that is in slow start or congested has
// fewer.
func (r *Router) turnWeight(s *server) float64 {
	congestion := max(s.latency.decayedRatio(r.now)/congestedLatencyRatio, 1)
	return float64(max(s.ReadWeight, 1)) * r.slowStartWeight(s) / congestion
}

// loadCost returns the load that a replica would have with one more attempt of this pooler: the
// attempts by its latency ratio, more where it reports that its cores are in use, is in slow start
// or in another zone.
func (r *Router) loadCost(s *server) float64 {
	cost := (float64(s.outstanding.count()) + 1) * s.latency.decayedRatio(r.now)
	if s.utilization.reportedAt > 0 && r.now-s.utilization.reportedAt < utilizationMaxAge {
		cost *= 1 + s.utilization.share
	}
	if r.pace.largeFleet { // a pooler's share of a server in slow start is so small that it bears all poolers
		return cost
	}
	cost /= r.slowStartWeight(s)
	if s.Zone != r.settings.Zone {
		cost += crossZoneCost
	}
	return cost
}

// settleTurn charges the best replica for the turns that were credited, or asks a replica for its
// position if there is none. One replica is enough: asked of all of them by each pooler it would be
// more than the reads themselves.
func (r *Router) settleTurn(search *replicaSearch) {
	switch {
	case search.best != nil:
		search.best.turnCredit -= search.turnCredit
	case search.stale != nil:
		r.probePosition(search.stale, probeForPosition)
	}
}

// mayFallBack reports whether a read that no replica can take goes elsewhere: once it has waited
// for its share of the objective, or at once where none will soon be fresh enough and there is a
// primary.
func (r *Router) mayFallBack(search *replicaSearch) bool {
	req := search.request
	return !req.catchUpExpected && req.group.primary != nil || r.now-req.arrivedAt >= search.fallbackWait
}

// chooseFallback returns the primary, unless that is congested in a large fleet, or else an ejected
// replica that is fresh enough.
func (r *Router) chooseFallback(req *request) *server {
	p := req.group.primary
	if p != nil && r.canTake(req, p) {
		if !r.pace.largeFleet || p.latency.decayedRatio(r.now) <= congestedLatencyRatio {
			return p
		}
	}
	var best *server
	for _, s := range req.group.members {
		if !s.ejection.ejected || s.health.unreachable || !r.canTake(req, s) || !r.freshEnough(req, s) {
			continue
		}
		if best == nil || s.outstanding.count() < best.outstanding.count() {
			best = s
		}
	}
	return best
}

// canTake reports whether a server may take a read but for its freshness.
func (r *Router) canTake(req *request, s *server) bool {
	if s.State != Ready || r.justTried(req, s) || !r.attemptAllowed(req, s) {
		return false
	}
	return r.hasCapacity(s, req.classIndex)
}

// justTried reports whether a request's latest attempt went to a server and is in flight, or was
// sent a moment ago.
func (r *Router) justTried(req *request, s *server) bool {
	last := req.last()
	if last == nil || last.server != s {
		return false
	}
	return !last.finished || r.now < last.sentAt+positionRefreshInterval
}
