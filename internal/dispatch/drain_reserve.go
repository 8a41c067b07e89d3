package dispatch

import "time"

// sendMemory is how long a send is remembered at the least, and twice that at the most: a machine that was too busy a moment
// ago may be so again.
const sendMemory = 5 * time.Second

// drainReserve computes how much of a drain's grace period has to stay unused: the longest time that a send has lately taken
// from its choice to its last byte, or, for the length of a grace period, the delay of a list. Its times are Unix times on
// the loop's clock. It belongs to the loop.
type drainReserve struct {
	longestNow, longestBefore time.Duration // the longest send of this span, and of the span before
	spanEnd                   time.Duration
	listDelay                 time.Duration // from a list's announcement until it came here
	listDelayUntil            time.Duration // to which that counts
}

// observeSend takes in that the last byte of a request has gone out now, which was allowed to go at allowedAt.
func (r *drainReserve) observeSend(now, allowedAt time.Duration) {
	r.rotate(now)
	r.longestNow = max(r.longestNow, now-allowedAt)
}

// observeListDelay takes in a list that may have counted as announced since notifiedAt, where a drain has a grace period.
func (r *drainReserve) observeListDelay(now, notifiedAt, grace time.Duration) {
	if now >= r.listDelayUntil || now-notifiedAt >= r.listDelay {
		r.listDelay = now - notifiedAt
		r.listDelayUntil = now + grace
	}
}

// required returns what has to stay unused now.
func (r *drainReserve) required(now time.Duration) time.Duration {
	r.rotate(now)
	reserve := max(r.longestNow, r.longestBefore)
	if now < r.listDelayUntil {
		reserve = max(reserve, r.listDelay)
	}
	return reserve
}

// rotate begins a new span once the present one is over.
func (r *drainReserve) rotate(now time.Duration) {
	if now < r.spanEnd {
		return
	}
	r.longestBefore = r.longestNow
	if now >= r.spanEnd+sendMemory { // nothing was sent for all of a span
		r.longestBefore = 0
	}
	r.longestNow = 0
	r.spanEnd = now + sendMemory
}
