package policy

import (
	"math"
	"time"

	"threadsail/internal/rendezvous"
)

// Slow start: a server that has just been started has only a share of its capacity. Where there are
// few poolers for the work that it bears, each saves up its part of it; where there are many, they
// take turns in short slots by a plan that all of them compute alike.

const (
	// slotUtilization is the part of what a server bears that is planned for the slots; with less,
	// slots stay open for longer.
	slotUtilization = 0.75
	// savedBudgetUtilization is that part where poolers save up their parts.
	savedBudgetUtilization = 0.9
	// minServerCores is the number of cores of the smallest database host.
	minServerCores = 2.0
	// minSlowStartCapacity is the share of its capacity that a server has at its start at the
	// least.
	minSlowStartCapacity = 0.05
	// evenShareFraction is the part that is shared out evenly, so that all poolers have some. The
	// rest goes by their load, to where it is used.
	evenShareFraction = 0.1
	// chanceMargin, in square roots of the planned number, is what may be sent beyond the plan by
	// chance.
	chanceMargin = 1.5
	// slotsPerInterval is the number of slots in an overload interval.
	slotsPerInterval = 128
)

// slowStart is a server's slow start and what this pooler may send it.
type slowStart struct {
	since       time.Duration // its last start, as reported or seen; 0 for long ago
	slotBeganAt time.Duration // when the last slot began that this pooler used
	budget      float64       // work, in nanoseconds of a core, that may be sent: saved up, or left of the slot
	budgetAt    time.Duration // when the saved budget was brought up to date
}

// save adds to the budget what has come together since it was last brought up to date, at a rate of
// work a nanosecond.
func (w *slowStart) save(now time.Duration, rate, limit float64) {
	w.budget = min(w.budget+rate*float64(now-w.budgetAt), limit)
	w.budgetAt = now
}

// inSlowStart reports whether SlowStartDuration is not over since a server's last start.
func (r *Router) inSlowStart(s *server) bool {
	return s.slowStart.since > 0 && r.now < s.slowStart.since+r.settings.SlowStartDuration
}

// slowStartWeight returns the share of its capacity that a server has at the least, by the time
// since its start.
func (r *Router) slowStartWeight(s *server) float64 {
	if !r.inSlowStart(s) {
		return 1
	}
	initial := max(r.settings.SlowStartCapacity, minSlowStartCapacity)
	age := max(r.now-s.slowStart.since, 0)
	return initial + (1-initial)*float64(age)/float64(r.settings.SlowStartDuration)
}

// slowStartPlan is what a server in slow start bears, and this pooler's part of it.
type slowStartPlan struct {
	workPerRequest  float64 // of the heaviest class that may come, in nanoseconds of a core
	rate            float64 // this pooler's part of the work, in nanoseconds of a core a nanosecond
	requests        float64 // requests of that work that the server bears in an overload interval now
	requestsAtStart float64 // and that it bore at its start
}

// planSlowStart computes the plan for a server.
func (r *Router) planSlowStart(s *server, classIndex int) slowStartPlan {
	work := r.heaviestWork(s, classIndex)
	busyCores := r.busyCoresPerServer()
	interval := float64(r.settings.OverloadInterval)
	poolers := float64(r.settings.Poolers)
	weight := r.slowStartWeight(s)
	// full is the work, in nanoseconds of a core a nanosecond, that a server bears after its slow
	// start.
	full := minServerCores * r.settings.OverloadFactor
	share := evenShareFraction/poolers + (1-evenShareFraction)*busyCores/minServerCores
	return slowStartPlan{
		workPerRequest:  work,
		rate:            full * weight * share,
		requests:        full * weight * interval / work,
		requestsAtStart: full * r.settings.SlowStartCapacity * interval / work,
	}
}

// heaviestWork returns the work of a request of the heaviest class that has been measured and that
// a server may get, and no less than that of the class in question.
func (r *Router) heaviestWork(s *server, classIndex int) float64 {
	heaviest := float64(r.estimates.classes[classIndex].meanLatency)
	isPrimary := r.groupFor(s.Group).primary == s
	for i := range r.estimates.classes {
		e := &r.estimates.classes[i]
		if e.baseline.measured() && (isPrimary || !r.settings.Classes[i].needsPrimary()) {
			heaviest = max(heaviest, float64(e.meanLatency))
		}
	}
	return heaviest
}

// busyCoresPerServer returns how many cores this pooler keeps busy at each server out of slow
// start.
func (r *Router) busyCoresPerServer() float64 {
	work := 0.0
	for i := range r.estimates.classes {
		e := &r.estimates.classes[i]
		work += e.warmLoad * float64(e.meanLatency)
	}
	present := work * loadDecay(r.now-r.estimates.warmLoadAt)
	return present / (1 - loadDecay(r.now-r.startedAt)) / float64(loadAveragingTime)
}

// slowStartAllows reports whether this pooler may send a server in slow start one more request. Of
// N requests that the server bears in an overload interval N and chanceMargin times the root of N
// may be sent; the rest is chance. The call brings the saved budget up to date or opens a slot.
func (r *Router) slowStartAllows(s *server, classIndex int) bool {
	plan := r.planSlowStart(s, classIndex)
	work := float64(r.estimates.classes[classIndex].meanLatency)
	if plan.sharesHoldARequest(r.settings.Poolers) {
		limit := plan.unplannedRequests(plan.requests) * plan.workPerRequest / float64(r.settings.Poolers)
		s.slowStart.save(r.now, savedBudgetUtilization*plan.rate, limit)
	} else if !r.takeSlot(s, plan, work) {
		return false
	}
	return s.slowStart.budget >= work
}

// unplannedRequests returns how many requests may be sent at once beside those that are saved up
// for, out of a number that the server bears.
func (p slowStartPlan) unplannedRequests(borne float64) float64 {
	return (1-savedBudgetUtilization)*borne + chanceMargin*math.Sqrt(borne)
}

// sharesHoldARequest reports whether each pooler's part of the unplanned requests is at least one
// from the start on, so that poolers can save up.
func (p slowStartPlan) sharesHoldARequest(poolers int) bool {
	return p.unplannedRequests(p.requestsAtStart) >= float64(poolers)
}

// takeSlot reports whether this pooler has a slot open with budget for the given work, or can open
// one now.
func (r *Router) takeSlot(s *server, plan slowStartPlan, work float64) bool {
	slot := max(r.settings.OverloadInterval/slotsPerInterval, 1)
	interval := float64(r.settings.OverloadInterval)
	openFor := time.Duration(((1+chanceMargin/math.Sqrt(plan.requests))/slotUtilization - 1) * interval)
	w := &s.slowStart
	if w.slotBeganAt > r.now-openFor && w.budget >= work {
		return true
	}
	slotWork := plan.rate * (slotUtilization * float64(slot))
	after := max(r.now-openFor, w.slotBeganAt)
	share := slotWork / plan.workPerRequest
	began := rendezvous.NextSlot(r.settings.PoolerIndex, r.settings.Poolers, s.ID, slot, after, r.now, share)
	if began == 0 {
		return false
	}
	w.slotBeganAt = began
	w.budget = max(plan.workPerRequest, slotWork)
	return true
}
