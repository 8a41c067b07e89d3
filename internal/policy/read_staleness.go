package policy

import "time"

// Read staleness: whether a replica's reported position satisfies a read, and when replicas are
// probed for their positions.

const (
	// positionTolerance bounds the rounding error of positions and ages in messages.
	positionTolerance = 2 * time.Millisecond
	// positionRefreshFraction is the age of a position, as a fraction of a class's MaxStaleness, at
	// which the replica is probed again.
	positionRefreshFraction = 0.5
	// minPositionProbeIntervalFraction is the minimum interval between two such probes of a replica,
	// as a fraction of MaxStaleness.
	minPositionProbeIntervalFraction = 0.125
	// longReadRatio is the multiple of a bounded class's baseline latency above which a read counts
	// as long and is kept off the replicas that bounded reads use.
	longReadRatio = 3
)

// requiredPosition returns the position that a replica must have reached to answer a read. If it is
// 0 or less, any position will do.
func (r *Router) requiredPosition(req *request) time.Duration {
	if req.class.Access == ReadBounded {
		return r.now - req.class.MaxStaleness
	}
	return req.sessionPosition
}

// positionShortfall returns how far a replica is behind the position that a read requires, on the
// assumption that its lag has not changed since its last report. If it is 0 or less, the replica is
// fresh enough.
func (r *Router) positionShortfall(req *request, s *server) time.Duration {
	sinceReport := r.now - s.replication.advancedAt
	return r.requiredPosition(req) + positionTolerance - s.replication.position - sinceReport
}

// freshEnough reports whether a replica is fresh enough for a read. It is if the position that it
// last reported is recent enough. If servers do not answer stale reads, so that an attempt at a
// replica that is too far behind costs little, a replica also counts as fresh enough in two more
// cases: it has never reported a position and is not in slow start, or it is fresh enough if its
// lag has not changed since its last report. The latter is not assumed for classes whose positions
// are refreshed proactively, and neither is assumed of a replica that recently rejected a read.
func (r *Router) freshEnough(req *request, s *server) bool {
	required := r.requiredPosition(req)
	if required <= 0 || s.replication.position >= required+positionTolerance {
		return true
	}
	if r.answersStaleReads(s) || r.recentlyRejectedStaleRead(s) {
		return false
	}
	if s.replication.advancedAt == 0 && !r.inSlowStart(s) { // it has never reported a position
		return true
	}
	return !r.refreshesPositionsProactively(req.class) && r.positionShortfall(req, s) <= 0
}

// answersStaleReads reports whether a server answers a read that it is too far behind for.
func (r *Router) answersStaleReads(s *server) bool {
	return r.settings.StaleReads == StaleReadAnswered || s.AnswersStaleReads
}

// recentlyRejectedStaleRead reports whether a server has rejected a read as too far behind within
// the last roundInterval and has not reported a newer position since.
func (r *Router) recentlyRejectedStaleRead(s *server) bool {
	reported := &s.replication
	rejected := reported.lagRejectedAt >= max(reported.advancedAt, time.Millisecond) // 0 for never
	return rejected && r.now < reported.lagRejectedAt+roundInterval
}

// refreshesPositionsProactively reports whether replicas are probed before their positions become
// too old for the bounded reads of a class, so that no replica rejects one. This is done only if
// answers omit positions, and only if the probes of all poolers to one replica are no more frequent
// than the pings of a small fleet to a primary.
func (r *Router) refreshesPositionsProactively(c *Class) bool {
	if c.Access != ReadBounded || !r.positionsOmitted || !r.settings.ProbesAllowed {
		return false
	}
	// Rearranged from Poolers/minInterval <= maxSmallFleet/primaryPingInterval, where minInterval is
	// minPositionProbeIntervalFraction of MaxStaleness.
	fleetPingTime := float64(r.settings.Poolers) * float64(primaryPingInterval)
	return fleetPingTime <= maxSmallFleet*minPositionProbeIntervalFraction*float64(c.MaxStaleness)
}

// refreshPositionProactively probes a replica before its position becomes too old for the bounded
// reads of a class, if refreshesPositionsProactively is true for the class.
func (r *Router) refreshPositionProactively(c *Class, s *server) {
	if !r.refreshesPositionsProactively(c) || s.State != Ready || s.ejection.ejected {
		return
	}
	refreshAfter := time.Duration(positionRefreshFraction * float64(c.MaxStaleness))
	minProbeInterval := time.Duration(minPositionProbeIntervalFraction * float64(c.MaxStaleness))
	if r.now >= max(s.replication.position+refreshAfter, s.replication.probedAt+minProbeInterval) {
		r.probePosition(s, probeForPosition)
	}
}

// probePosition probes a server for its position.
func (r *Router) probePosition(s *server, reason probeReason) {
	s.replication.probedAt = r.now
	r.sendProbe(s, reason)
}

// minLagForLongRead returns the lag at which a replica is too stale for bounded reads, if a request
// is a long read, or 0 if it is not. A long read may keep its replica from applying the log. It
// goes to the replica that is furthest behind, which is the same for all poolers, to a replica with
// at least the returned lag, or else to the primary, which has no log to apply. Spread over all
// replicas, long reads would leave none of them fresh.
func (r *Router) minLagForLongRead(req *request) time.Duration {
	if req.class.Access != ReadAny {
		return 0
	}
	baseline := r.estimates.forRequest(req).baseline.value
	for i := range r.settings.Classes {
		c := &r.settings.Classes[i]
		if r.refreshesPositionsProactively(c) && baseline > longReadRatio*r.estimates.classes[i].baseline.value {
			return c.MaxStaleness
		}
	}
	return 0
}

// tooFreshForLongRead reports whether a replica is skipped for a long read because bounded reads
// can use it.
func (r *Router) tooFreshForLongRead(search *replicaSearch, s *server) bool {
	return search.minLag > 0 && s != search.mostLagged && r.now-s.replication.position < search.minLag
}
