package quota

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/config"
)

// bucket holds this pooler's tokens of one limit at one key. Its safe part is filled for good, its slice until the slice's
// end, also where nothing looked at it in between: a timer that comes late must not stretch a slice. The caller locks.
//
// What the bound rests on: level never grows but by time, at the rate in force at that time. A larger slice raises the depth,
// not the level; a smaller one spills what is above its depth.
type bucket struct {
	limit          config.Limit
	safeRate       float64 // tokens a second for good: the limit's reserve, by the fleet's size
	quotaRate      float64 // tokens a second until
	quotaUntil     time.Time
	level          float64
	levelAt        time.Time // of level
	waiting        bool      // it was found short, and has not been taken from since
	demand         float64   // wants since the last ask
	previousDemand float64   // wants a second, between the asks before that
	reportedDemand float64   // the want that the holder was told last
}

// isPaced limits are on what comes as a herd after a failure: there poolers must not all have a token put by.
func isPaced(on string) bool { return on != config.LimitRequests }

func newBucket(l config.Limit, fleet int, now time.Time) *bucket {
	b := &bucket{limit: l, levelAt: now}
	b.setFleetSize(fleet)
	b.level = b.depth(b.safeRate)
	if isPaced(l.On) {
		b.level *= rand.Float64()
	}
	return b
}

// setFleetSize sets the safe share: the reserve in equal parts.
func (b *bucket) setFleetSize(fleet int) {
	b.safeRate = b.limit.Reserve * b.limit.Rate / float64(max(fleet, 1))
}

// depth is how many tokens may be put by at a rate: its part of the limit's burst, and never under one, or none could pass.
func (b *bucket) depth(rate float64) float64 { return max(1, b.limit.Burst*rate/b.limit.Rate) }

// rate is what is in force at now.
func (b *bucket) rate(now time.Time) float64 {
	if now.Before(b.quotaUntil) {
		return b.safeRate + b.quotaRate
	}
	return b.safeRate
}

// refill brings the level up to now. Up to the slice's end it is filled and spilt at one rate, from there on at the safe one.
func (b *bucket) refill(now time.Time) {
	step := func(to time.Time, rate float64) {
		if d := to.Sub(b.levelAt); d > 0 {
			b.level += rate * d.Seconds()
			b.levelAt = to
		}
		b.level = min(b.level, b.depth(rate))
	}
	if b.levelAt.Before(b.quotaUntil) {
		end := b.quotaUntil
		if now.Before(end) {
			end = now
		}
		step(end, b.safeRate+b.quotaRate)
	}
	if !now.Before(b.quotaUntil) {
		step(now, b.safeRate)
	}
}

// applyQuota puts a slice in force.
func (b *bucket) applyQuota(now time.Time, slice float64, until time.Time) {
	b.refill(now)
	b.quotaRate, b.quotaUntil = slice, until
	b.level = min(b.level, b.depth(b.rate(now)))
}

// take takes tokens, mostly one, or tells after how long there will be one at the rate in force. A paced bucket that was at rest with
// a single token gives it after a part of its time drawn anew: a herd that sets out at one instant would find one token in
// each of its buckets.
func (b *bucket) take(now time.Time, tokens float64) (after time.Duration, ok bool) {
	b.refill(now)
	b.demand += tokens
	rate := b.rate(now)
	if isPaced(b.limit.On) && !b.waiting && b.level >= 1 && b.depth(rate) == 1 {
		b.level = rand.Float64()
	}
	if b.level >= 1 {
		b.level, b.waiting = b.level-tokens, false
		return 0, true
	}
	b.waiting = true
	return time.Duration((1 - b.level) / rate * float64(time.Second)), false
}

// refund gives back a token that was taken and not used.
func (b *bucket) refund(now time.Time) {
	b.refill(now)
	b.level = min(b.level+1, b.depth(b.rate(now)))
}

// excessDemand is the demand to tell the holder, in units a second, over what the safe share bears: the more of this span and the one
// before it, with a quarter on top so that a demand that grows is met. next begins a new span; a bucket without wants asks for
// nothing from the second span on.
func (b *bucket) excessDemand(span time.Duration, next bool) float64 {
	now := b.demand / max(span, minDemandSpan).Seconds()
	w := 1.25*max(now, b.previousDemand) - b.safeRate
	if next {
		b.demand, b.previousDemand = 0, now
	}
	return min(max(w, 0), b.limit.Rate)
}

// minDemandSpan bounds what one want right behind an ask can stand for: ten a second.
const minDemandSpan = 100 * time.Millisecond

// idle tells that a bucket made anew would be the same: full, no slice, no wants.
func (b *bucket) idle(now time.Time) bool {
	b.refill(now)
	return !now.Before(b.quotaUntil) && b.demand == 0 && b.previousDemand == 0 && b.level >= b.depth(b.safeRate)
}
