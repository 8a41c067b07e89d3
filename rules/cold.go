package rules

import (
	"math"
	"time"

	"threadsail/internal/fleet/balance"
)

// Cold servers: few fronts save up a part each of what all may send; more take turns by a plan.

const (
	coldUse   = 0.75 // of what a server may be sent, in turns; with less, they stay open for longer
	coldSaves = 0.9  // and where fronts save it up
	coldCores = 2.0  // no database host is smaller than this
	coldEven  = 0.1  // dealt evenly: all fronts have some; the rest goes by load, to where it is used
)

// coldTurn tells whether this front may send: N + 1.5 root N may go out within a span; the rest is chance.
func (r *Router) coldTurn(s *store, class int) bool {
	work, span, fronts := r.heaviest(s, class), float64(r.set.ColdSpan), float64(r.set.Balancers)
	all := coldCores * r.set.ColdMultiple // what a warm one may be sent, and this front of it now
	dealt := all * r.warmth(s) * (coldEven/fronts + (1-coldEven)*r.busy()/coldCores)
	n, first := all*r.warmth(s)*span/work, all*r.set.ColdFrom*span/work
	slot, open := max(r.set.ColdSpan/128, 1), time.Duration(((1+1.5/math.Sqrt(n))/coldUse-1)*span)
	if (1-coldSaves)*first+1.5*math.Sqrt(first) >= fronts { // a part holds a request from the start on
		most := ((1-coldSaves)*n + 1.5*math.Sqrt(n)) * work / fronts
		s.budget, s.budgetAt = min(s.budget+coldSaves*dealt*float64(r.now-s.budgetAt), most), r.now
	} else if dealt *= coldUse * float64(slot); s.turnAt <= r.now-open || s.budget < float64(r.mean[class]) {
		at := balance.Turn(r.set.Me, r.set.Balancers, s.Store, slot, max(r.now-open, s.turnAt), r.now, dealt/work)
		if at == 0 {
			return false
		}
		s.turnAt, s.budget = at, max(work, dealt)
	}
	return s.budget >= float64(r.mean[class])
}
