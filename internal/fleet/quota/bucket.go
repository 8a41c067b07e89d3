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
	limit   config.Limit
	safe    float64 // tokens a second for good: the limit's reserve, by the fleet's size
	slice   float64 // tokens a second until
	until   time.Time
	level   float64
	at      time.Time // of level
	waiting bool      // it was found short, and has not been taken from since
	tried   float64   // wants since the last ask
	before  float64   // wants a second, between the asks before that
	told    float64   // the want that the holder was told last
}

// paced limits are on what comes as a herd after a failure: there poolers must not all have a token put by.
func paced(on string) bool { return on != config.LimitRequests }

func newBucket(l config.Limit, fleet int, now time.Time) *bucket {
	b := &bucket{limit: l, at: now}
	b.size(fleet)
	b.level = b.depth(b.safe)
	if paced(l.On) {
		b.level *= rand.Float64()
	}
	return b
}

// size sets the safe share: the reserve in equal parts.
func (b *bucket) size(fleet int) { b.safe = b.limit.Reserve * b.limit.Rate / float64(max(fleet, 1)) }

// depth is how many tokens may be put by at a rate: its part of the limit's burst, and never under one, or none could pass.
func (b *bucket) depth(rate float64) float64 { return max(1, b.limit.Burst*rate/b.limit.Rate) }

// rate is what is in force at now.
func (b *bucket) rate(now time.Time) float64 {
	if now.Before(b.until) {
		return b.safe + b.slice
	}
	return b.safe
}

// fill brings the level up to now. Up to the slice's end it is filled and spilt at one rate, from there on at the safe one.
func (b *bucket) fill(now time.Time) {
	step := func(to time.Time, rate float64) {
		if d := to.Sub(b.at); d > 0 {
			b.level += rate * d.Seconds()
			b.at = to
		}
		b.level = min(b.level, b.depth(rate))
	}
	if b.at.Before(b.until) {
		end := b.until
		if now.Before(end) {
			end = now
		}
		step(end, b.safe+b.slice)
	}
	if !now.Before(b.until) {
		step(now, b.safe)
	}
}

// give puts a slice in force.
func (b *bucket) give(now time.Time, slice float64, until time.Time) {
	b.fill(now)
	b.slice, b.until = slice, until
	b.level = min(b.level, b.depth(b.rate(now)))
}

// take takes tokens, mostly one, or tells after how long there will be one at the rate in force. A paced bucket that was at rest with
// a single token gives it after a part of its time drawn anew: a herd that sets out at one instant would find one token in
// each of its buckets.
func (b *bucket) take(now time.Time, tokens float64) (after time.Duration, ok bool) {
	b.fill(now)
	b.tried += tokens
	rate := b.rate(now)
	if paced(b.limit.On) && !b.waiting && b.level >= 1 && b.depth(rate) == 1 {
		b.level = rand.Float64()
	}
	if b.level >= 1 {
		b.level, b.waiting = b.level-tokens, false
		return 0, true
	}
	b.waiting = true
	return time.Duration((1 - b.level) / rate * float64(time.Second)), false
}

// spare gives back a token that was taken and not used.
func (b *bucket) spare(now time.Time) {
	b.fill(now)
	b.level = min(b.level+1, b.depth(b.rate(now)))
}

// want is the demand to tell the holder, in units a second, over what the safe share bears: the more of this span and the one
// before it, with a quarter on top so that a demand that grows is met. next begins a new span; a bucket without wants asks for
// nothing from the second span on.
func (b *bucket) want(span time.Duration, next bool) float64 {
	now := b.tried / max(span, leastSpan).Seconds()
	w := 1.25*max(now, b.before) - b.safe
	if next {
		b.tried, b.before = 0, now
	}
	return min(max(w, 0), b.limit.Rate)
}

// leastSpan bounds what one want right behind an ask can stand for: ten a second.
const leastSpan = 100 * time.Millisecond

// idle tells that a bucket made anew would be the same: full, no slice, no wants.
func (b *bucket) idle(now time.Time) bool {
	b.fill(now)
	return !now.Before(b.until) && b.tried == 0 && b.before == 0 && b.level >= b.depth(b.safe)
}
