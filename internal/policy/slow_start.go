package policy

import (
	"math"
	"time"

	"threadsail/internal/rendezvous"
)

// Slow start: a server that has just been started has only a fraction of its capacity and fails if it
// is overloaded. The poolers share the load that it tolerates without communicating. If there are few
// poolers, each accrues a budget at its share of the rate (a token bucket). If there are too many for
// each to accrue a whole request, they send in short time slots, which all of them compute in the same
// way (see rendezvous.NextSlot).

const (
	// slotUtilization is the fraction of a server's tolerated load that is planned for slots. With a
	// lower value, slots stay open for longer.
	slotUtilization = 0.75
	// accrualUtilization is the fraction of a server's tolerated load that is planned for accrued
	// budgets.
	accrualUtilization = 0.9
	// minServerCores is the number of cores of the smallest database host.
	minServerCores = 2.0
	// minSlowStartCapacity is the minimum fraction of its capacity that a server has at its start.
	minSlowStartCapacity = 0.05
	// evenShareFraction is the fraction of the load that is divided evenly, so that every pooler has
	// some. The rest is divided in proportion to the poolers' own load on the other servers.
	evenShareFraction = 0.1
	// burstDeviations is the allowed random excess over the planned number of requests, in standard
	// deviations (square roots of that number).
	burstDeviations = 1.5
	// slotsPerInterval is the number of slots in an overload interval.
	slotsPerInterval = 128
)

// slowStart is the slow start of a server and this pooler's budget for it.
type slowStart struct {
	startedAt     time.Duration // last start of the server, reported or inferred; 0 for long ago
	slotStartedAt time.Duration // start of the last slot that this pooler used
	budget        float64       // work that may be sent now, accrued or left in the slot, in core nanoseconds
	budgetAt      time.Duration // time of the last accrual
}

// accrue adds the work accrued since the last call to the budget, up to a limit. The rate is in core
// nanoseconds per nanosecond.
func (s *slowStart) accrue(now time.Duration, rate, limit float64) {
	s.budget = min(s.budget+rate*float64(now-s.budgetAt), limit)
	s.budgetAt = now
}

// inSlowStart reports whether a server was started less than SlowStartDuration ago.
func (r *Router) inSlowStart(s *server) bool {
	return s.slowStart.startedAt > 0 && r.now < s.slowStart.startedAt+r.settings.SlowStartDuration
}

// slowStartWeight returns the fraction of its capacity that a server has at least, which grows linearly
// from its start and is 1 after the slow start.
func (r *Router) slowStartWeight(s *server) float64 {
	if !r.inSlowStart(s) {
		return 1
	}
	initial := max(r.settings.SlowStartCapacity, minSlowStartCapacity)
	age := max(r.now-s.slowStart.startedAt, 0)
	return initial + (1-initial)*float64(age)/float64(r.settings.SlowStartDuration)
}

// slowStartPlan is the load that a server in slow start tolerates and this pooler's share of it.
type slowStartPlan struct {
	workPerRequest  float64 // work of a request of the most expensive class, in core nanoseconds
	rate            float64 // this pooler's share of the load, in core nanoseconds per nanosecond
	requests        float64 // requests of workPerRequest that the server tolerates per overload interval
	initialRequests float64 // the same number at the server's start
}

// planSlowStart computes the plan for a server that is to receive a request of the given class.
func (r *Router) planSlowStart(s *server, classIndex int) slowStartPlan {
	work := r.heaviestWork(s, classIndex)
	busyCores := r.busyCoresPerServer()
	interval := float64(r.settings.OverloadInterval)
	poolers := float64(r.settings.Poolers)
	weight := r.slowStartWeight(s)
	// fullLoad is the load that a server tolerates after its slow start, in core nanoseconds per
	// nanosecond.
	fullLoad := minServerCores * r.settings.OverloadFactor
	share := evenShareFraction/poolers + (1-evenShareFraction)*busyCores/minServerCores
	return slowStartPlan{
		workPerRequest:  work,
		rate:            fullLoad * weight * share,
		requests:        fullLoad * weight * interval / work,
		initialRequests: fullLoad * r.settings.SlowStartCapacity * interval / work,
	}
}

// heaviestWork returns the work of a request of the most expensive class that a server may receive, in
// core nanoseconds. Only classes with measurements and the given class are considered.
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

// busyCoresPerServer returns the number of cores that this pooler keeps busy at each server that is not
// in slow start.
func (r *Router) busyCoresPerServer() float64 {
	work := 0.0
	for i := range r.estimates.classes {
		e := &r.estimates.classes[i]
		work += e.warmLoad * float64(e.meanLatency)
	}
	currentLoad := work * loadDecay(r.now-r.estimates.warmLoadAt)
	return currentLoad / (1 - loadDecay(r.now-r.startedAt)) / float64(loadAveragingTime)
}

// slowStartAllows reports whether this pooler may send one more request to a server in slow start. If
// the server tolerates N requests in an overload interval, all poolers together may send N plus
// burstDeviations times the square root of N; only a random excess is possible beyond that. The call
// accrues the budget or opens a slot.
func (r *Router) slowStartAllows(s *server, classIndex int) bool {
	plan := r.planSlowStart(s, classIndex)
	work := float64(r.estimates.classes[classIndex].meanLatency)
	if plan.burstCoversAllPoolers(r.settings.Poolers) {
		limit := plan.burstRequests(plan.requests) * plan.workPerRequest / float64(r.settings.Poolers)
		s.slowStart.accrue(r.now, accrualUtilization*plan.rate, limit)
	} else if !r.acquireSlot(s, plan, work) {
		return false
	}
	return s.slowStart.budget >= work
}

// burstRequests returns how many requests all poolers together may send at once, beyond the planned
// rate, to a server that tolerates the given number of requests per overload interval.
func (p slowStartPlan) burstRequests(tolerated float64) float64 {
	return (1-accrualUtilization)*tolerated + burstDeviations*math.Sqrt(tolerated)
}

// burstCoversAllPoolers reports whether the burst at the server's start is at least one request for each
// pooler, so that every pooler can accrue enough budget for a request.
func (p slowStartPlan) burstCoversAllPoolers(poolers int) bool {
	return p.burstRequests(p.initialRequests) >= float64(poolers)
}

// acquireSlot reports whether this pooler has an open slot with enough budget for the given work. If it
// has none, acquireSlot opens the next slot that is assigned to this pooler, if it has started.
func (r *Router) acquireSlot(s *server, plan slowStartPlan, work float64) bool {
	slotLength := max(r.settings.OverloadInterval/slotsPerInterval, 1)
	interval := float64(r.settings.OverloadInterval)
	openFor := time.Duration(((1+burstDeviations/math.Sqrt(plan.requests))/slotUtilization - 1) * interval)
	state := &s.slowStart
	if state.slotStartedAt > r.now-openFor && state.budget >= work {
		return true
	}
	slotWork := plan.rate * (slotUtilization * float64(slotLength))
	earliestStart := max(r.now-openFor, state.slotStartedAt)
	share := slotWork / plan.workPerRequest
	slotStart := rendezvous.NextSlot(r.settings.PoolerIndex, r.settings.Poolers, s.ID,
		slotLength, earliestStart, r.now, share)
	if slotStart == 0 {
		return false
	}
	state.slotStartedAt = slotStart
	state.budget = max(plan.workPerRequest, slotWork)
	return true
}
