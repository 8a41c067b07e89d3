package dispatch

import "time"

// sendWindow is the length of a window over which the longest send is measured. A send counts in its window and the next one, so
// for one to two windows, since a machine that was overloaded a moment ago may be so again.
const sendWindow = 5 * time.Second

// sendDurations holds the longest time that a recent send took from the check that allowed it to its last byte. Its times are Unix
// times on the loop's clock. It is used on the loop only.
type sendDurations struct {
	currentLongest, previousLongest time.Duration // the longest send of the current window and of the previous one
	windowEnd                       time.Duration // end of the current window
}

// observe records that the last byte of a request that was allowed to be sent at allowedAt has been written.
func (s *sendDurations) observe(now, allowedAt time.Duration) {
	s.rotate(now)
	s.currentLongest = max(s.currentLongest, now-allowedAt)
}

// longest returns the longest recent send.
func (s *sendDurations) longest(now time.Duration) time.Duration {
	s.rotate(now)
	return max(s.currentLongest, s.previousLongest)
}

// rotate starts a new window if the current one has ended.
func (s *sendDurations) rotate(now time.Duration) {
	if now < s.windowEnd {
		return
	}
	s.previousLongest = s.currentLongest
	if now >= s.windowEnd+sendWindow { // no send was observed for a whole window
		s.previousLongest = 0
	}
	s.currentLongest = 0
	s.windowEnd = now + sendWindow
}
