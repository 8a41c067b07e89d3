package rules

import (
	"math"
	"time"

	"threadsail/internal/fleet/balance"
)

// Cold servers: fronts take turns by a plan that each follows by itself. A turn that passes unused is lost.

const (
	coldUse   = 0.75 // of what a server may be sent, in turns; with less, they stay open for longer
	coldCores = 2.0  // no database host is smaller than this
	coldEven  = 0.1  // of the turns: all fronts have some; the others go by load, to where they are used
)

// coldTurn tells whether it is this front's turn. N + 1.5 root N are open within a span; the rest is chance.
func (r *Router) coldTurn(s *store, class int) bool {
	work, slot := r.heaviest(s, class), max(r.set.ColdSpan/128, 1) // a turn may begin with any slot
	bears, span := coldUse*coldCores*r.set.ColdMultiple*r.warmth(s), float64(r.set.ColdSpan)
	dealt := bears * float64(slot) * (coldEven/float64(r.set.Balancers) + (1-coldEven)*r.busy()/coldCores)
	open := time.Duration(((1+1.5*math.Sqrt(coldUse*work/bears/span))/coldUse - 1) * span)
	if s.turnAt > r.now-open && s.budget >= float64(r.mean[class]) {
		return true
	}
	at := balance.Turn(r.set.Me, r.set.Balancers, s.Store, slot, max(r.now-open, s.turnAt), r.now, dealt/work)
	if at > 0 {
		s.turnAt, s.budget = at, max(work, dealt)
	}
	return at > 0
}
