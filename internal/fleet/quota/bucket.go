package quota

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/config"
)

const (
	// minDemandInterval is the minimum interval by which counted demand is divided, so that a single token requested right after a new
	// interval begins counts as a demand of at most ten a second.
	minDemandInterval = 100 * time.Millisecond
	// demandMargin is the ratio of requested to observed demand, so that growing demand can be met.
	demandMargin = 1.25
)

// bucket is the token bucket of this pooler for one key of one limit. It is refilled at the rate of the safe share, and until the quota
// expires also at the rate of the quota. refill accounts for the expiry even if the bucket was not used in between, so that a late timer
// cannot extend a quota. The caller holds the Client's mutex.
//
// Invariant: the level increases only with time, at the rate in force at that time, and by refunds. A larger quota raises the capacity but
// not the level. A smaller one discards the tokens above the new capacity.
type bucket struct {
	limit          config.Limit
	safeRate       float64 // permanent rate in tokens a second: the limit's reserve divided by the size of the fleet
	quotaRate      float64 // tokens a second until quotaExpiresAt
	quotaExpiresAt time.Time
	level          float64 // tokens at levelAt
	levelAt        time.Time
	waiting        bool // whether the last attempt to take tokens failed

	demand         float64 // tokens requested by callers in the current demand interval
	previousDemand float64 // demand in the previous interval, in tokens a second
	reportedDemand float64 // demand in the last request to the leader, in tokens a second
}

// isPaced reports whether the target of a limit is subject to a thundering herd after a failure, as connections, probes and attempts at
// cold servers are. The tokens of such limits are spread over time, so that not all poolers have a token available at that moment.
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

// setFleetSize sets the safe share to the reserve divided by fleetSize.
func (b *bucket) setFleetSize(fleetSize int) {
	b.safeRate = b.limit.Reserve * b.limit.Rate / float64(max(fleetSize, 1))
}

// capacity returns the maximum number of tokens at a rate: the rate's proportional part of the limit's burst, but at least one, as no
// token could ever be taken otherwise.
func (b *bucket) capacity(rate float64) float64 { return max(1, b.limit.Burst*rate/b.limit.Rate) }

// rate returns the rate in force at now, in tokens a second.
func (b *bucket) rate(now time.Time) float64 {
	if now.Before(b.quotaExpiresAt) {
		return b.safeRate + b.quotaRate
	}
	return b.safeRate
}

// refill updates the level to now. Until the quota expires the bucket fills at both rates, and after that at the safe rate.
func (b *bucket) refill(now time.Time) {
	if b.levelAt.Before(b.quotaExpiresAt) {
		end := b.quotaExpiresAt
		if now.Before(end) {
			end = now
		}
		b.refillAtRate(end, b.safeRate+b.quotaRate)
	}
	if !now.Before(b.quotaExpiresAt) {
		b.refillAtRate(now, b.safeRate)
	}
}

// refillAtRate updates the level to a time at one rate, and discards the tokens above the capacity of that rate.
func (b *bucket) refillAtRate(until time.Time, rate float64) {
	if elapsed := until.Sub(b.levelAt); elapsed > 0 {
		b.level += rate * elapsed.Seconds()
		b.levelAt = until
	}
	b.level = min(b.level, b.capacity(rate))
}

// trimToCapacity discards the tokens above the capacity of the rate in force.
func (b *bucket) trimToCapacity(now time.Time) { b.level = min(b.level, b.capacity(b.rate(now))) }

// applyQuota replaces the quota. The new one has the given rate and expiry.
func (b *bucket) applyQuota(now time.Time, rate float64, expiresAt time.Time) {
	b.refill(now)
	b.quotaRate = rate
	b.quotaExpiresAt = expiresAt
	b.trimToCapacity(now)
}

// take takes tokens, usually one, if at least one is available. Otherwise it returns the time after which a token will be available at the
// rate in force. A paced bucket with a capacity of a single token, if it is full and no caller is waiting, is first reset to a random level
// below one: otherwise a thundering herd would find a token in each pooler's bucket.
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

// refund returns an unused token to the bucket.
func (b *bucket) refund(now time.Time) {
	b.refill(now)
	b.level++
	b.trimToCapacity(now)
}

// excessDemand returns the demand to request from the leader, in tokens a second: the larger demand of the current and the previous
// interval, multiplied by demandMargin, minus the safe share. interval is the length of the current interval so far. If endInterval is set, a
// new one begins, so that a bucket that is no longer used requests nothing after two intervals.
func (b *bucket) excessDemand(interval time.Duration, endInterval bool) float64 {
	demand := b.demand / max(interval, minDemandInterval).Seconds()
	excess := demandMargin*max(demand, b.previousDemand) - b.safeRate
	if endInterval {
		b.demand = 0
		b.previousDemand = demand
	}
	return min(max(excess, 0), b.limit.Rate)
}

// isIdle reports whether the bucket is full, without a quota and without demand, so that a new bucket can replace it.
func (b *bucket) isIdle(now time.Time) bool {
	b.refill(now)
	hasQuota := now.Before(b.quotaExpiresAt)
	hasDemand := b.demand != 0 || b.previousDemand != 0
	return !hasQuota && !hasDemand && b.level >= b.capacity(b.safeRate)
}
