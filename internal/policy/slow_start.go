package policy

import (
	"math"
	"time"

	"threadsail/internal/rendezvous"
)

// Cold servers: few fronts save up a part each of what all may send; more take turns by a plan.

const (
	slotUtilization        = 0.75 // of what a server may be sent, in turns; with less, they stay open for longer
	savedBudgetUtilization = 0.9  // and where fronts save it up
	minServerCores         = 2.0  // no database host is smaller than this
	minSlowStartCapacity   = 0.05 // of its capacity that a server has at its start
	evenShareFraction      = 0.1  // dealt evenly: all fronts have some; the rest goes by load, to where it is used
)

// inSlowStart tells whether a store has not had its time yet since its last start that was told or seen.
func (r *Router) inSlowStart(s *server) bool {
	return s.slowStartSince > 0 && r.now < s.slowStartSince+r.settings.SlowStartDuration
}

// slowStartWeight is the share of its capacity that a store has at the least, by the time since its start.
func (r *Router) slowStartWeight(s *server) float64 {
	if !r.inSlowStart(s) {
		return 1
	}
	f := max(r.settings.SlowStartCapacity, minSlowStartCapacity)
	return f + (1-f)*float64(max(r.now-s.slowStartSince, 0))/float64(r.settings.SlowStartDuration)
}

// estimateWork is the work of a request of the heaviest class that has been measured and that a store may get, or
// of the one in question, and how many cores this front keeps busy at each warm store.
func (r *Router) estimateWork(s *server, class int) (heaviest, busy float64) {
	heaviest, primary := float64(r.meanLatencies[class]), r.groupFor(s.Group).primary == s
	for i, b := range r.baselines {
		busy += r.warmLoad[i] * float64(r.meanLatencies[i])
		if (b.measuredAt > 0 || b.count > 0) && (primary || r.settings.Classes[i].Access < ReadLatest) {
			heaviest = max(heaviest, float64(r.meanLatencies[i]))
		}
	}
	return heaviest, busy * loadDecay(r.now-r.warmLoadAt) / (1 - loadDecay(r.now-r.startedAt)) / float64(loadAveragingTime)
}

// slowStartAllows tells whether this front may send: N + 1.5 root N may go out within a span; the rest is chance.
func (r *Router) slowStartAllows(s *server, class int) bool {
	work, busy := r.estimateWork(s, class)
	span, fronts := float64(r.settings.OverloadInterval), float64(r.settings.Poolers)
	all := minServerCores * r.settings.OverloadFactor // what a warm one may be sent, and this front of it now
	dealt := all * r.slowStartWeight(s) * (evenShareFraction/fronts + (1-evenShareFraction)*busy/minServerCores)
	n, first := all*r.slowStartWeight(s)*span/work, all*r.settings.SlowStartCapacity*span/work
	slot, open := max(r.settings.OverloadInterval/128, 1), time.Duration(((1+1.5/math.Sqrt(n))/slotUtilization-1)*span)
	if (1-savedBudgetUtilization)*first+1.5*math.Sqrt(first) >= fronts { // a part holds a request from the start on
		most := ((1-savedBudgetUtilization)*n + 1.5*math.Sqrt(n)) * work / fronts
		s.workBudget, s.workBudgetAt = min(s.workBudget+savedBudgetUtilization*dealt*float64(r.now-s.workBudgetAt), most), r.now
	} else if dealt *= slotUtilization * float64(slot); s.slotBeganAt <= r.now-open || s.workBudget < float64(r.meanLatencies[class]) {
		at := rendezvous.NextTurn(r.settings.PoolerIndex, r.settings.Poolers, s.ID, slot, max(r.now-open, s.slotBeganAt), r.now, dealt/work)
		if at == 0 {
			return false
		}
		s.slotBeganAt, s.workBudget = at, max(work, dealt)
	}
	return s.workBudget >= float64(r.meanLatencies[class])
}
