package policy

import (
	"cmp"
	"math"
	"time"
)

// Replica selection: reads are balanced over the replicas that are fresh enough for their class.

const (
	// fallbackWaitFraction is the fraction of its latency objective that a read waits for a replica
	// before it may be sent to the primary.
	fallbackWaitFraction = 0.25
	// rankPlaceCost is the cost, in outstanding requests, that a pooler of a large fleet adds per
	// place of a replica in its ranking.
	rankPlaceCost = 0.5
	// crossZoneCost is the cost, in outstanding requests, of a replica in another zone: such a
	// request takes slightly longer, and its traffic is charged.
	crossZoneCost = 0.3
	// utilizationMaxAge is the age from which on a reported utilization is ignored.
	utilizationMaxAge = time.Second
)

// replicaSearch is the state of one pass over the replicas of a group to find one for a read.
type replicaSearch struct {
	request      *request
	fallbackWait time.Duration // time from the read's arrival until the primary may take it
	minLag       time.Duration // result of minLagForLongRead; 0 for no minimum
	mostLagged   *server
	rankCost     float64 // cost added per place in the order of the pass

	best           *server
	bestCost       float64
	creditedWeight float64 // sum of the weights credited to replicas in this pass
	trialCandidate *server // ejected replica that is due for a trial; nil for none
	probeCandidate *server // replica to probe for its position; nil for none
}

// chooseReplica returns the server to send a read to, or nil if no server can take it now. It
// prefers an ejected replica that is due for a trial. Otherwise it returns, of the replicas that
// are healthy and fresh enough, the one with the lowest cost; ties are broken round-robin. If there
// is none, it may fall back to the primary. A pooler of a large fleet sees few requests and prefers
// its home replica unless that is busy, which takes fewer connections and gives better latency
// estimates.
func (r *Router) chooseReplica(req *request) *server {
	g := req.group
	search := replicaSearch{
		request:      req,
		fallbackWait: time.Duration(fallbackWaitFraction * float64(req.class.LatencyObjective)),
		minLag:       r.minLagForLongRead(req),
		mostLagged:   g.mostLaggedReplica(),
		bestCost:     math.Inf(1),
	}
	req.blockedByLag = false
	req.catchUpExpected = false
	members, first := g.members, g.roundRobinOffset
	if r.fleet.isLarge {
		members, first = r.rankedReplicas(g), 0
		search.rankCost = rankPlaceCost
	}
	for place := range members {
		s := members[(first+place)%len(members)]
		if s != g.primary {
			r.evaluateReplica(&search, s, place)
		}
	}
	r.finishSearch(&search)
	chosen := cmp.Or(search.trialCandidate, search.best)
	if chosen == nil && r.mayFallBack(&search) {
		r.refreshPositionsForSessions(req)
		chosen = r.chooseFallback(req)
	}
	if chosen != nil {
		g.roundRobinOffset++
	}
	return chosen
}

// evaluateReplica updates a search with one replica, which is at the given place in the order of
// the pass.
func (r *Router) evaluateReplica(search *replicaSearch, s *server, place int) {
	req := search.request
	r.refreshPositionProactively(req.class, s)
	if s.ReadWeight == NoReads || !r.canTake(req, s) || r.tooFreshForLongRead(search, s) {
		return
	}
	if !r.freshEnough(req, s) {
		r.evaluateStaleReplica(search, s)
		return
	}
	if s.ejection.ejected {
		r.evaluateEjectedReplica(search, s)
		return
	}
	if cost := r.selectionCost(search, s, place); cost < search.bestCost {
		search.best = s
		search.bestCost = cost
	}
}

// evaluateStaleReplica updates a search with a replica that could take the read if it were fresh
// enough. A pooler of a large fleet selects at most one such replica per search for a position
// probe. A replica that is probably still too far behind, or whose last probe brought no newer
// position, is probed no more often than probe rounds are repeated.
func (r *Router) evaluateStaleReplica(search *replicaSearch, s *server) {
	req := search.request
	req.blockedByLag = true
	shortfall := r.positionShortfall(req, s)
	if !s.ejection.ejected && !s.replication.notReported && shortfall <= search.fallbackWait {
		req.catchUpExpected = true
	}
	if !r.fleet.isLarge || !r.settings.ProbesAllowed || s.ejection.ejected || search.probeCandidate != nil {
		return
	}
	minProbeInterval := positionRefreshInterval
	if shortfall > 0 || s.replication.probedAt > s.replication.advancedAt {
		minProbeInterval = roundInterval
	}
	if r.now >= s.replication.probedAt+minProbeInterval {
		search.probeCandidate = s
	}
}

// evaluateEjectedReplica updates a search with an ejected replica. If a trial is due, the replica
// may take the read as a trial, provided that this is the read's first attempt. An unreachable
// replica is probed first and gets no trial until it has answered.
func (r *Router) evaluateEjectedReplica(search *replicaSearch, s *server) {
	if len(search.request.attempts) > 0 || r.now < s.ejection.nextTrialAt {
		return
	}
	if s.health.unreachable && r.settings.ProbesAllowed {
		s.ejection.nextTrialAt = r.now + maxTrialInterval
		r.sendProbe(s, probeForTrial)
		return
	}
	if search.trialCandidate == nil {
		search.trialCandidate = s
	}
}

// selectionCost returns the cost by which replicas are compared; the lowest wins. It is the
// replica's load cost. If the members of the group differ in weight, reads are spread by smooth
// weighted round-robin: the cost is the negative credit that the replica has accumulated. For a
// long read the cost is the position, so that the replica furthest behind wins.
func (r *Router) selectionCost(search *replicaSearch, s *server, place int) float64 {
	cost := r.loadCost(s)
	if !r.inSlowStart(s) { // all poolers share the load of a server in slow start, whatever their ranking
		cost += search.rankCost * float64(place)
	}
	if search.request.group.weightsDiffer {
		weight := r.effectiveReadWeight(s)
		s.roundRobinCredit += weight
		search.creditedWeight += weight
		cost = -s.roundRobinCredit
	}
	if search.minLag > 0 {
		cost = s.replication.position.Seconds()
	}
	return cost
}

// effectiveReadWeight returns the weight of a replica in the round-robin: its ReadWeight, reduced
// while the server is in slow start or congested.
func (r *Router) effectiveReadWeight(s *server) float64 {
	congestion := max(s.latency.decayedRatio(r.now)/congestedLatencyRatio, 1)
	return float64(max(s.ReadWeight, 1)) * r.slowStartWeight(s) / congestion
}

// loadCost returns the load that a replica would have with one more attempt of this pooler, in
// outstanding requests. It is the number of attempts times the latency ratio, and is higher if the
// replica reports that its cores are in use. In a small fleet it is also higher for a replica that
// is in slow start or in another zone.
func (r *Router) loadCost(s *server) float64 {
	cost := (float64(s.outstanding.count()) + 1) * s.latency.decayedRatio(r.now)
	if s.utilization.reportedAt > 0 && r.now-s.utilization.reportedAt < utilizationMaxAge {
		cost *= 1 + s.utilization.share
	}
	if r.fleet.isLarge { // slowStartAllows already limits each pooler to a small share of such a server
		return cost
	}
	cost /= r.slowStartWeight(s)
	if s.Zone != r.settings.Zone {
		cost += crossZoneCost
	}
	return cost
}

// finishSearch deducts the weights credited in the pass from the best replica's credit, as smooth
// weighted round-robin does. If no replica was found, it probes the selected stale replica for its
// position. It probes only one, because probes by each pooler of a large fleet to all replicas
// would outnumber the reads.
func (r *Router) finishSearch(search *replicaSearch) {
	switch {
	case search.best != nil:
		search.best.roundRobinCredit -= search.creditedWeight
	case search.probeCandidate != nil:
		r.probePosition(search.probeCandidate, probeForPosition)
	}
}

// mayFallBack reports whether a read that no replica can take may be sent to another server. It may
// once it has waited for search.fallbackWait, or at once if there is a recorded primary and no
// replica is expected to catch up soon.
func (r *Router) mayFallBack(search *replicaSearch) bool {
	req := search.request
	return !req.catchUpExpected && req.group.primary != nil || r.now-req.arrivedAt >= search.fallbackWait
}

// chooseFallback returns the server for a read that no replica in use can take: the primary, unless
// the fleet is large and the primary is congested, or else the reachable ejected member with the
// fewest outstanding attempts that is fresh enough. It returns nil if there is none.
func (r *Router) chooseFallback(req *request) *server {
	recordedPrimary := req.group.primary
	if recordedPrimary != nil && r.canTake(req, recordedPrimary) {
		if !r.fleet.isLarge || recordedPrimary.latency.decayedRatio(r.now) <= congestedLatencyRatio {
			return recordedPrimary
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

// canTake reports whether a server may be sent a read, apart from the freshness of its data.
func (r *Router) canTake(req *request, s *server) bool {
	if s.State != Ready || r.recentlyTried(req, s) || !r.attemptAllowed(req, s) {
		return false
	}
	return r.hasCapacity(s, req.classIndex)
}

// recentlyTried reports whether a request's latest attempt went to a server and is still in flight
// or was sent less than positionRefreshInterval ago.
func (r *Router) recentlyTried(req *request, s *server) bool {
	last := req.lastAttempt()
	if last == nil || last.server != s {
		return false
	}
	return !last.finished || r.now < last.sentAt+positionRefreshInterval
}
