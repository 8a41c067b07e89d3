package quota

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/config"
)

const (
	// minDemandSpan bounds from below the span over which demand is counted, so that a single want right after a request counts for
	// ten a second at most.
	minDemandSpan = 100 * time.Millisecond
	// demandMargin is what is requested over the demand that was seen, so that growing demand is met.
	demandMargin = 1.25
)

// bucket holds this pooler's tokens of one limit at one key: the safe share, which is refilled for good, and the quota, which is
// refilled until its end. The end holds even where nothing looked at the bucket in between: a timer that fires late must not stretch a
// quota. The caller holds the Client's mutex.
//
// Invariant: the level grows by time alone, at the rate in force at that time. A larger quota raises the capacity and not the level; a
// smaller one drops what is above its capacity.
type bucket struct {
	limit      config.Limit
	safeRate   float64 // tokens a second for good: the limit's reserve, divided by the fleet's size
	quotaRate  float64 // tokens a second until quotaUntil
	quotaUntil time.Time
	level      float64 // tokens, as of levelAt
	levelAt    time.Time
	waiting    bool // it was found short, and no token has been taken since

	demand         float64 // tokens that were wanted since the last span of demand began
	previousDemand float64 // tokens a second that were wanted in the span before
	reportedDemand float64 // what was requested last, tokens a second
}

// isPaced reports whether a limit is on something that comes as a herd after a failure. Not all poolers may have a token at hand then.
func isPaced(target config.LimitTarget) bool { return target != config.LimitRequests }

func newBucket(l config.Limit, fleetSize int, now time.Time) *bucket {
	b := &bucket{limit: l, levelAt: now}
	b.setFleetSize(fleetSize)
	b.level = b.capacity(b.safeRate)
	if isPaced(l.Target) {
		b.level *= rand.Float64()
	}
	return b
}

// setFleetSize sets the safe share to an equal part of the reserve.
func (b *bucket) setFleetSize(fleetSize int) {
	b.safeRate = b.limit.Reserve * b.limit.Rate / float64(max(fleetSize, 1))
}

// capacity is how many tokens may be at hand at a rate: its part of the limit's burst, and at least one, or nothing could pass.
func (b *bucket) capacity(rate float64) float64 { return max(1, b.limit.Burst*rate/b.limit.Rate) }

// rate is the rate in force at now, in tokens a second.
func (b *bucket) rate(now time.Time) float64 {
	if now.Before(b.quotaUntil) {
		return b.safeRate + b.quotaRate
	}
	return b.safeRate
}

// refill brings the level up to now: up to the quota's end at one rate, and from there on at the safe rate.
func (b *bucket) refill(now time.Time) {
	if b.levelAt.Before(b.quotaUntil) {
		end := b.quotaUntil
		if now.Before(end) {
			end = now
		}
		b.refillAtRate(end, b.safeRate+b.quotaRate)
	}
	if !now.Before(b.quotaUntil) {
		b.refillAtRate(now, b.safeRate)
	}
}

// refillAtRate brings the level up to a time at one rate, and drops what is above the rate's capacity.
func (b *bucket) refillAtRate(until time.Time, rate float64) {
	if elapsed := until.Sub(b.levelAt); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.levelAt = until
	}
	b.level = min(b.level, b.capacity(rate))
}

// trimToCapacity drops what is above the capacity of the rate in force.
func (b *bucket) trimToCapacity(now time.Time) { b.level = min(b.level, b.capacity(b.rate(now))) }

// applyQuota puts a quota in force, in place of the one before.
func (b *bucket) applyQuota(now time.Time, rate float64, until time.Time) {
	b.refill(now)
	b.quotaRate = rate
	b.quotaUntil = until
	b.trimToCapacity(now)
}

// take takes tokens, mostly one, or returns after how long there will be one at the rate in force. A paced bucket that was at rest with
// a single token gives that token only after a random part of its time: a herd that starts at one instant would find one token in each
// bucket otherwise.
func (b *bucket) take(now time.Time, tokens float64) (after time.Duration, ok bool) {
	b.refill(now)
	b.demand += tokens
	rate := b.rate(now)
	if isPaced(b.limit.Target) && !b.waiting && b.level >= 1 && b.capacity(rate) == 1 {
		b.level = rand.Float64()
	}
	if b.level < 1 {
		b.waiting = true
		return time.Duration((1 - b.level) / rate * float64(time.Second)), false
	}
	b.level -= tokens
	b.waiting = false
	return 0, true
}

// refund puts back a token that was taken and not used.
func (b *bucket) refund(now time.Time) {
	b.refill(now)
	b.level++
	b.trimToCapacity(now)
}

// excessDemand is what to request, in tokens a second: the demand of this span or of the one before, whichever is higher, with a
// margin, less the safe share. endSpan begins a new span, so a bucket without demand requests nothing from the second span on.
func (b *bucket) excessDemand(span time.Duration, endSpan bool) float64 {
	demand := b.demand / max(span, minDemandSpan).Seconds()
	excess := demandMargin*max(demand, b.previousDemand) - b.safeRate
	if endSpan {
		b.demand = 0
		b.previousDemand = demand
	}
	return min(max(excess, 0), b.limit.Rate)
}

// isIdle reports whether a new bucket would be the same: full, without a quota and without demand.
func (b *bucket) isIdle(now time.Time) bool {
	b.refill(now)
	hasQuota := now.Before(b.quotaUntil)
	hasDemand := b.demand != 0 || b.previousDemand != 0
	return !hasQuota && !hasDemand && b.level >= b.capacity(b.safeRate)
}
