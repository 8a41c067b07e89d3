package rules

import "time"

// Cold servers: each front keeps to its share of what one may be sent.

const (
	coldUse   = 0.9 // of this front's share: the rest is for probes and handshakes
	coldCores = 2.0 // no database host is smaller than this
)

func (r *Router) chill(s *store, since time.Duration) {
	if r.set.ColdFor <= 0 || r.set.ColdMultiple <= 0 || since+r.set.ColdFor <= r.now || since <= s.coldSince {
		return
	}
	s.coldSince, s.budgetAt, s.budget, s.phase = since, r.now, 0, r.random()
}

// coldRoom keeps a front inside its share of what a cold store may be sent.
func (r *Router) coldRoom(s *store, class int) bool {
	w := r.warmth(s)
	if s.coldSince == 0 {
		return true
	}
	rate := coldUse * r.set.ColdMultiple * w * max(coldCores/float64(r.set.Balancers), r.load)
	work := float64(r.mean[class])
	s.budget = min(s.budget+rate*float64(r.now-s.budgetAt), rate*float64(r.set.ColdSpan)/2+work)
	s.budgetAt = r.now
	return s.budget >= work*s.phase // no two fronts save up for the same moment
}
