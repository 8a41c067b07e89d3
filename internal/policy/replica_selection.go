package policy

import (
	"cmp"
	"math"
	"time"
)

// Other reads: to replicas by turns, as fresh as their class needs.

const (
	positionTolerance        = 2 * ms // positions and ages are rounded on their way here
	positionRefreshFraction  = 0.5    // of a bound: a position this old is asked for anew, in time for the next reads
	positionProbeGapFraction = 0.125  // of a bound: least time between two such questions
	longReadRatio            = 3      // times the time of a bounded read: one that long is kept apart from those
	fallbackWaitFraction     = 0.25   // of the aim: how long a read waits before the primary may take it
	nonPreferredCost         = 0.5    // of one request, for each replica that a front of a large fleet prefers
	crossZoneCost            = 0.3    // of one request: crossing zones costs a little time and money
)

// chooseReplica gives a read to the replica whose turn it is: of those fresh enough and healthy the one
// that holds least for its speed, ties by turn. A front of a large fleet, which sees few requests, keeps to
// one replica of a group while that is not busy: it has fewer connections, and knows that one better.
func (r *Router) chooseReplica(q *request) *server {
	g := q.group
	var best, trial, ask *server
	q.blockedByLag, q.catchUpExpected = false, false
	holdFor := time.Duration(fallbackWaitFraction * float64(q.classSettings.LatencyObjective))
	cost, turns := math.Inf(1), 0.0
	members, at, away := g.members, g.turnCursor, 0.0
	if r.largeFleet {
		members, at, away = r.rankedReplicas(g), 0, nonPreferredCost
	}
	apart, last := r.longReadLag(q), g.mostLaggedReplica()
	for i := range members {
		s := members[(at+i)%len(members)]
		if s == g.primary {
			continue
		}
		r.refreshPosition(q.classSettings, s)
		if s.ReadWeight == NoReads || !r.canTake(q, s) || apart > 0 && s != last && r.now-s.position < apart {
			continue
		}
		if !r.freshEnough(q, s) {
			q.blockedByLag = true
			q.catchUpExpected = q.catchUpExpected || !s.ejected && r.lagShortfall(q, s) <= holdFor
			wait := positionRefreshInterval
			if r.lagShortfall(q, s) > 0 || s.positionProbedAt > s.positionProvenAt { // was too far behind, or has not answered yet
				wait = roundInterval
			}
			if r.largeFleet && r.settings.ProbesAllowed && !s.ejected && ask == nil && r.now >= s.positionProbedAt+wait {
				ask = s
			}
			continue
		}
		if s.ejected {
			if due := q.attempts == nil && r.now >= s.nextTrialAt; due && s.unreachable && r.settings.ProbesAllowed {
				s.nextTrialAt = r.now + maxTrialInterval // it must answer a probe before a request is tried there
				r.sendProbe(s, "trial")
			} else if due && trial == nil {
				trial = s
			}
			continue
		}
		c := r.loadCost(s)
		if !r.inSlowStart(s) { // what cold ones may be sent is to come from all fronts
			c += away * float64(i)
		}
		if g.weightsDiffer { // smooth turns; a store that is cold or jammed has fewer
			w := float64(max(s.ReadWeight, 1)) * r.slowStartWeight(s) / max(r.decayedLatencyRatio(s)/congestedLatencyRatio, 1)
			s.roundRobinCredit, turns = s.roundRobinCredit+w, turns+w
			c = -s.roundRobinCredit
		}
		if apart > 0 {
			c = s.position.Seconds()
		}
		if c < cost {
			best, cost = s, c
		}
	}
	if best != nil {
		best.roundRobinCredit -= turns
	} else if ask != nil { // one is enough: asked of all by each front, it is more than the reads themselves
		ask.positionProbedAt = r.now
		r.sendProbe(ask, "position")
	}
	if best = cmp.Or(trial, best); best == nil && (!q.catchUpExpected && g.primary != nil || r.now-q.arrivedAt >= holdFor) {
		best = r.chooseFallback(q)
	}
	if best != nil {
		g.turnCursor++
	}
	return best
}

// probesPositionsAhead tells whether replicas are asked for positions ahead of bounded reads, so that none is turned away:
// where answers tell none, and all fronts ask one replica no more often than a small fleet pings a primary.
func (r *Router) probesPositionsAhead(c *Class) bool {
	return c.Access == ReadBounded && r.positionsOmitted && r.settings.ProbesAllowed &&
		float64(r.settings.Poolers)*float64(primaryPingInterval) <= maxSmallFleet*positionProbeGapFraction*float64(c.MaxStaleness)
}

func (r *Router) refreshPosition(c *Class, s *server) {
	old, gap := time.Duration(positionRefreshFraction*float64(c.MaxStaleness)), time.Duration(positionProbeGapFraction*float64(c.MaxStaleness))
	if r.probesPositionsAhead(c) && s.State == Ready && !s.ejected && r.now >= max(s.position+old, s.positionProbedAt+gap) {
		s.positionProbedAt = r.now
		r.sendProbe(s, "position")
	}
}

// longReadLag is the lag from which on a replica is of no use to bounded reads, where this one may keep its replica
// from applying the log for long. It goes to the replica furthest behind, which all fronts see alike, or one
// behind by that, else to the primary, which applies nothing: spread out, such reads leave no replica fresh.
func (r *Router) longReadLag(q *request) time.Duration {
	for i := range r.settings.Classes {
		c := &r.settings.Classes[i]
		if q.classSettings.Access == ReadAny && r.probesPositionsAhead(c) && r.baselines[q.classIndex].value > longReadRatio*r.baselines[i].value {
			return c.MaxStaleness
		}
	}
	return 0
}

// canTake tells whether a store may take the read but for its freshness.
func (r *Router) canTake(q *request, s *server) bool {
	n := len(q.attempts)
	again := n > 0 && q.attempts[n-1].server == s && (!q.attempts[n-1].finished || r.now < q.attempts[n-1].sentAt+positionRefreshInterval)
	return s.State == Ready && !again && r.attemptAllowed(q, s) && r.hasCapacity(s, q.classIndex)
}

// chooseFallback is the bounded way out when no replica has qualified for a share of the aim, or none soon
// will: the primary, else a fresh enough replica that has lost its turn.
func (r *Router) chooseFallback(q *request) *server {
	if p := q.group.primary; p != nil && r.canTake(q, p) && (!r.largeFleet || r.decayedLatencyRatio(p) <= congestedLatencyRatio) {
		return p
	}
	var best *server
	for _, s := range q.group.members {
		if s.ejected && !s.unreachable && r.canTake(q, s) && r.freshEnough(q, s) && (best == nil || len(s.inFlight) < len(best.inFlight)) {
			best = s
		}
	}
	return best
}

// freshEnough tells whether a store's proven position satisfies the read. Where stores check by themselves
// a miss is cheap, so a replica is also tried when it would do if it kept the lag it last showed.
func (r *Router) freshEnough(q *request, s *server) bool {
	need := r.requiredPosition(q)
	if need <= 0 || s.position >= need+positionTolerance {
		return true
	}
	turned := s.lagRejectedAt >= max(s.positionProvenAt, ms) && r.now < s.lagRejectedAt+roundInterval // with no newer position
	return r.settings.StaleReads != StaleReadAnswered && !turned &&
		(s.positionProvenAt == 0 && !r.inSlowStart(s) || !r.probesPositionsAhead(q.classSettings) && r.lagShortfall(q, s) <= 0)
}

func (r *Router) loadCost(s *server) float64 {
	c := (float64(len(s.inFlight)) + 1) * r.decayedLatencyRatio(s)
	if s.utilizationAt > 0 && r.now-s.utilizationAt < time.Second {
		c *= 1 + s.utilization
	}
	if r.largeFleet { // where a cold store's share for each front is so small that it bears them all
		return c
	}
	if c /= r.slowStartWeight(s); s.Zone != r.settings.Zone {
		c += crossZoneCost
	}
	return c
}
