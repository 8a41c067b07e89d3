package dispatch

import "time"

// sendWindow is the length of a window over which the longest send is measured. A send counts in its window and the next one, so
// for one to two windows, since a machine that was overloaded a moment ago may be so again.
const sendWindow = 5 * time.Second

// drainReserve computes the part of a drain's grace period that must stay unused: the longest time that a recent send took
// from the choice of the server to its last byte, or the delay of a list received within the last grace period if that is
// longer. Its times are Unix times on the loop's clock. It is used on the loop only.
type drainReserve struct {
	currentLongest, previousLongest time.Duration // the longest send of the current window and of the previous one
	windowEnd                       time.Duration // end of the current window
	listDelay                       time.Duration // from the announcement of a list to its arrival
	listDelayExpiresAt              time.Duration // when listDelay no longer counts
}

// observeSend records that the last byte of a request that was allowed to be sent at allowedAt has been written.
func (r *drainReserve) observeSend(now, allowedAt time.Duration) {
	r.rotate(now)
	r.currentLongest = max(r.currentLongest, now-allowedAt)
}

// observeListDelay records a list that may have been announced as early as notifiedAt. Its delay counts for a grace period, or
// until a list has at least the same delay.
func (r *drainReserve) observeListDelay(now, notifiedAt, gracePeriod time.Duration) {
	if now >= r.listDelayExpiresAt || now-notifiedAt >= r.listDelay {
		r.listDelay = now - notifiedAt
		r.listDelayExpiresAt = now + gracePeriod
	}
}

// required returns the part of a grace period that must stay unused.
func (r *drainReserve) required(now time.Duration) time.Duration {
	r.rotate(now)
	reserve := max(r.currentLongest, r.previousLongest)
	if now < r.listDelayExpiresAt {
		reserve = max(reserve, r.listDelay)
	}
	return reserve
}

// rotate starts a new window if the current one has ended.
func (r *drainReserve) rotate(now time.Duration) {
	if now < r.windowEnd {
		return
	}
	r.previousLongest = r.currentLongest
	if now >= r.windowEnd+sendWindow { // no send was observed for a whole window
		r.previousLongest = 0
	}
	r.currentLongest = 0
	r.windowEnd = now + sendWindow
}
