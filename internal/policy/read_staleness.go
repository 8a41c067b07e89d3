package policy

import "time"

// Read staleness: whether a replica's proven position satisfies a read, and when replicas are asked
// for their positions.

const (
	// positionTolerance is what positions and ages are rounded by on their way.
	positionTolerance = 2 * time.Millisecond
	// positionRefreshFraction: a position of this part of a class's MaxStaleness is asked for anew,
	// in time for the next reads.
	positionRefreshFraction = 0.5
	// positionProbeGapFraction is the part of MaxStaleness that is left between two such probes at
	// the least.
	positionProbeGapFraction = 0.125
	// longReadRatio: a read whose baseline is more than this multiple of a bounded read's is kept
	// apart from those.
	longReadRatio = 3
)

// requiredPosition returns the position that a replica must have applied to answer a read, 0 or
// less for none.
func (r *Router) requiredPosition(req *request) time.Duration {
	if req.class.Access == ReadBounded {
		return r.now - req.class.MaxStaleness
	}
	return req.sessionPosition
}

// missingLag returns how much a replica lacks for a read if it has kept the lag that it last
// showed; 0 or less for nothing.
func (r *Router) missingLag(req *request, s *server) time.Duration {
	sinceProof := r.now - s.replication.provenAt
	return r.requiredPosition(req) + positionTolerance - s.replication.position - sinceProof
}

// freshEnough reports whether a replica is fresh enough for a read: by its proven position, or,
// where servers check the position themselves and a wrong try is cheap, by the lag that it last
// showed.
func (r *Router) freshEnough(req *request, s *server) bool {
	required := r.requiredPosition(req)
	if required <= 0 || s.replication.position >= required+positionTolerance {
		return true
	}
	if r.settings.StaleReads == StaleReadAnswered || r.rejectedReadsLately(s) {
		return false
	}
	if s.replication.provenAt == 0 && !r.inSlowStart(s) { // nothing is known of its position
		return true
	}
	return !r.probesPositionsAhead(req.class) && r.missingLag(req, s) <= 0
}

// rejectedReadsLately reports whether a server has turned a read away as too far behind within a
// round's interval and has not proved a newer position since.
func (r *Router) rejectedReadsLately(s *server) bool {
	p := &s.replication
	rejected := p.lagRejectedAt >= max(p.provenAt, time.Millisecond) // 0 for never
	return rejected && r.now < p.lagRejectedAt+roundInterval
}

// probesPositionsAhead reports whether replicas are asked for positions ahead of a class's bounded
// reads, so that none is turned away: where answers tell none, and all poolers together ask a
// replica no more often than a small fleet pings a primary.
func (r *Router) probesPositionsAhead(c *Class) bool {
	if c.Access != ReadBounded || !r.positionsOmitted || !r.settings.ProbesAllowed {
		return false
	}
	fleetPingTime := float64(r.settings.Poolers) * float64(primaryPingInterval)
	return fleetPingTime <= maxSmallFleet*positionProbeGapFraction*float64(c.MaxStaleness)
}

// keepPositionProven asks a replica for its position before that is too old for a class's bounded
// reads.
func (r *Router) keepPositionProven(c *Class, s *server) {
	if !r.probesPositionsAhead(c) || s.State != Ready || s.ejection.ejected {
		return
	}
	refreshAfter := time.Duration(positionRefreshFraction * float64(c.MaxStaleness))
	gap := time.Duration(positionProbeGapFraction * float64(c.MaxStaleness))
	if r.now >= max(s.replication.position+refreshAfter, s.replication.probedAt+gap) {
		r.probePosition(s, probeForPosition)
	}
}

// probePosition asks a server for its position.
func (r *Router) probePosition(s *server, reason probeReason) {
	s.replication.probedAt = r.now
	r.sendProbe(s, reason)
}

// longReadMinLag returns the lag from which on a replica is of no use to bounded reads, where a
// read of this class may keep its replica from applying the log for long; 0 for any other read.
// Such a read goes to the replica furthest behind, which all poolers see alike, or one behind by
// that lag, else to the primary, which applies nothing: spread out, such reads leave no replica
// fresh.
func (r *Router) longReadMinLag(req *request) time.Duration {
	if req.class.Access != ReadAny {
		return 0
	}
	baseline := r.estimates.of(req).baseline.value
	for i := range r.settings.Classes {
		c := &r.settings.Classes[i]
		if r.probesPositionsAhead(c) && baseline > longReadRatio*r.estimates.classes[i].baseline.value {
			return c.MaxStaleness
		}
	}
	return 0
}

// tooFreshForLongRead reports whether a long read goes past a replica that bounded reads can use.
func (r *Router) tooFreshForLongRead(search *replicaSearch, s *server) bool {
	return search.minLag > 0 && s != search.mostLagged && r.now-s.replication.position < search.minLag
}
