package dispatch

import "time"

// sendMemory is how long a send is remembered at the least, and twice that at the most: a machine that was too busy a moment
// ago may be so again.
const sendMemory = 5 * time.Second

// drainReserve is how much of a drain's grace has to stay unused: the longest time that a send has lately taken from its choice to
// its last byte, or, for the length of a grace, how late a list was heard. Its times are Unix times on the loop's clock. It
// belongs to the loop.
type drainReserve struct {
	longestNow, longestBefore time.Duration // the longest of this span and of the one before
	spanEnd                   time.Duration // the end of this span
	listDelay                 time.Duration // how late a list was heard
	listDelayUntil            time.Duration // to which that counts
}

// observeSend takes in that the last byte of a request has gone out at now, whose server was chosen at chosen.
func (s *drainReserve) observeSend(now, chosen time.Duration) {
	s.rotate(now)
	s.longestNow = max(s.longestNow, now-chosen)
}

// observeListDelay takes in a list that may have counted as told since told, where a drain has a grace.
func (s *drainReserve) observeListDelay(now, told, grace time.Duration) {
	if now >= s.listDelayUntil || now-told >= s.listDelay {
		s.listDelay, s.listDelayUntil = now-told, now+grace
	}
}

// required is what has to stay unused now.
func (s *drainReserve) required(now time.Duration) time.Duration {
	s.rotate(now)
	d := max(s.longestNow, s.longestBefore)
	if now < s.listDelayUntil {
		d = max(d, s.listDelay)
	}
	return d
}

func (s *drainReserve) rotate(now time.Duration) {
	if now < s.spanEnd {
		return
	}
	s.longestBefore = s.longestNow
	if now >= s.spanEnd+sendMemory {
		s.longestBefore = 0
	}
	s.longestNow, s.spanEnd = 0, now+sendMemory
}
