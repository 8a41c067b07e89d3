package rules

import (
	"cmp"
	"math"
	"time"
)

// Other reads: to replicas by turns, as fresh as their class needs.

const (
	posSlack    = 2 * ms           // positions and ages are rounded on their way here
	staleLag    = 500 * ms         // a replica this far behind is of no use to most reads
	lagMemory   = 30 * time.Second // after that, reads for any member are kept to one replica
	spareFresh  = 2.0              // cost of a replica that is not for this kind of read
	positionOld = 2 * time.Second  // a position older than this is asked for before a replica is left out again
	holdShare   = 0.25             // of the aim: how long a read waits before the primary may take it
	awayCost    = 0.5              // of one request, for each replica that a front of a large fleet prefers
	farCost     = 0.3              // of one request: crossing zones costs a little time and money
)

// replicaFor gives a read to the replica whose turn it is: of those fresh enough and healthy the one
// that holds least for its speed, ties by turn. A front of a large fleet, which sees few requests, keeps to
// one replica of a group while that is not busy: it has fewer connections, and knows that one better.
func (r *Router) replicaFor(q *request) *store {
	g := q.g
	var best, trial, ask *store
	q.stale = false
	soon, holdFor := false, time.Duration(holdShare*float64(q.c.Aim)) // soon: a replica is about to qualify
	cost, turns := math.Inf(1), 0.0
	spare, members, at, away := r.spare(g), g.members, g.cursor, 0.0
	if r.large {
		members, at, away = r.replicas(g), 0, awayCost
	}
	for i := range members {
		s := members[(at+i)%len(members)]
		if s == g.primary || s.Weight == NoReads || !r.usable(q, s) {
			continue
		}
		if !r.fresh(q, s) {
			q.stale = true
			soon = soon || !s.lost && r.behind(q, s) <= holdFor
			wait := refreshGap
			if r.behind(q, s) > 0 || s.askedAt > s.posAt { // was too far behind, or has not answered yet
				wait = roundSeen
			}
			if r.large && r.set.MayProbe && !s.lost && ask == nil && r.now >= s.askedAt+wait {
				ask = s
			}
			continue
		}
		if s.lost {
			if due := q.tries == nil && r.now >= s.trialAt; due && s.unreach && r.set.MayProbe {
				s.trialAt = r.now + trialMost // it must answer a probe before a request is tried there
				r.probe(s, "trial")
			} else if due && trial == nil {
				trial = s
			}
			continue
		}
		share := 1.0
		if spare != nil && (s == spare) != (q.c.Need == NeedAny) {
			share /= spareFresh
		}
		c := r.cost(s) / share
		if s.coldSince == 0 { // what cold ones may be sent is to come from all fronts
			c += away * float64(i)
		}
		if g.weighed { // smooth turns; a store that is cold or jammed has fewer
			w := float64(max(s.Weight, 1)) * share * r.warmth(s) / max(r.slowness(s)/jamRatio, 1)
			s.credit, turns = s.credit+w, turns+w
			c = -s.credit
		}
		if c < cost {
			best, cost = s, c
		}
	}
	if best != nil {
		best.credit -= turns
	} else if ask != nil { // one is enough: asked of all by each front, it is more than the reads themselves
		ask.askedAt = r.now
		r.probe(ask, "position")
	}
	if best = cmp.Or(trial, best); best == nil && (!soon && g.primary != nil || r.now-q.arrived >= holdFor) {
		best = r.fallback(q)
	}
	q.soon = soon
	if best != nil {
		g.cursor++
	}
	return best
}

// spare is the replica that takes the reads any member may answer, the same at all fronts of a small fleet,
// while replicas fall behind: no front knows where the long reads of others keep one from applying.
func (r *Router) spare(g *group) (first *store) {
	if r.lagAt == 0 || r.now > r.lagAt+lagMemory || r.large {
		return nil
	}
	for _, s := range g.members {
		if s != g.primary && s.State == Ready && (first == nil || s.Store < first.Store) {
			first = s
		}
	}
	return first
}

// usable tells whether a store may take the read but for its freshness.
func (r *Router) usable(q *request, s *store) bool {
	n := len(q.tries)
	again := n > 0 && q.tries[n-1].s == s && (!q.tries[n-1].done || r.now < q.tries[n-1].sent+refreshGap)
	return s.State == Ready && !again && r.mayTry(q, s) && r.room(s, q.class)
}

// fallback is the bounded way out when no replica has qualified for a share of the aim, or none soon
// will: the primary, else a fresh enough replica that has lost its turn.
func (r *Router) fallback(q *request) *store {
	if p := q.g.primary; p != nil && r.usable(q, p) && (!r.large || r.slowness(p) <= jamRatio) {
		return p
	}
	var best *store
	for _, s := range q.g.members {
		if s.lost && !s.unreach && r.usable(q, s) && r.fresh(q, s) && (best == nil || len(s.out) < len(best.out)) {
			best = s
		}
	}
	return best
}

// fresh tells whether a store's proven position satisfies the read. Where stores check by themselves
// a miss is cheap, so a replica is also tried when it would do if it kept the lag it last showed.
func (r *Router) fresh(q *request, s *store) bool {
	need := r.needs(q)
	if need <= 0 || s.pos >= need+posSlack {
		return true
	}
	return r.set.Behind != BehindAnswers && (s.posAt == 0 && s.coldSince == 0 || r.behind(q, s) <= 0)
}

func (r *Router) needs(q *request) time.Duration {
	if c := q.c; c.Need == NeedBounded {
		return r.now - c.Bound
	}
	return q.needPos
}

// behind is how much a replica lacks for a read if it has kept the lag it last showed.
func (r *Router) behind(q *request, s *store) time.Duration {
	return r.needs(q) + posSlack - s.pos - (r.now - s.posAt)
}

func (r *Router) cost(s *store) float64 {
	c := (float64(len(s.out)) + 1) * r.slowness(s)
	if s.busyAt > 0 && r.now-s.busyAt < time.Second {
		c *= 1 + s.busy
	}
	if r.large { // where a cold store's share for each front is so small that it bears them all
		return c
	}
	if c /= r.warmth(s); s.Zone != r.set.Zone {
		c += farCost
	}
	return c
}
