package distribution

import (
	"math"
	"time"
)

const (
	// loadSlack is how far a distributor's streams may be over the mean of its region before it sends callers on to others: consistent hashing with
	// bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). Callers of a lost distributor find room as the mean rises with its loss.
	loadSlack = 0.25
	// minStreamLimit streams are taken whatever the mean is: they cost nothing to speak of, and a mean of so few says little.
	minStreamLimit = 64
	// maxStreams is the bound of descriptors, which no caller is taken over: the whole fleet that is coming fits on one distributor.
	maxStreams = 8192
	// maxPendingCalls is how many connections may be open that have not said yet who calls.
	maxPendingCalls = 1024
	// admissionInterval is the pace of new streams, and admitBurst how many may come at once. A whole fleet of 5,000 comes to 18 distributors,
	// 278 each, within 0.5 s; the poolers of one that was lost, 16 for each of the others, at once.
	admissionInterval = 2 * time.Millisecond
	admissionBurst    = 64
	// maxSnapshotWrites is how many whole copies are written at once, each at leastPace or faster: of what its network can carry a distributor
	// keeps most for deltas and words. A caller whose turn does not come hears no word, and turns to another distributor.
	maxSnapshotWrites = 32
)

// admission is a token bucket for new streams. It is not safe for use by several goroutines.
type admission struct {
	emptyAt     time.Time // when the bucket would have been empty
	lastRetryAt time.Time // the latest moment that a caller was told to come again at
}

// admit tells whether a caller is taken now, or after how long it is to come again. Those told to come later are given one moment each,
// so that a thousand at once are spread at the pace, and not again and again at random.
func (a *admission) admit(now time.Time) (later time.Duration) {
	if least := now.Add(-admissionBurst * admissionInterval); a.emptyAt.Before(least) {
		a.emptyAt = least
	}
	if next := a.emptyAt.Add(admissionInterval); !next.After(now) {
		a.emptyAt = next
		return 0
	}
	if a.lastRetryAt.Before(now) {
		a.lastRetryAt = now
	}
	a.lastRetryAt = a.lastRetryAt.Add(admissionInterval)
	return a.lastRetryAt.Sub(now)
}

// streamLimit is the most streams that a distributor of a region takes before it sends callers on, where so many distributors of the region, itself among
// them, hold so many streams together.
func streamLimit(streams, distributors int) int {
	mean := float64(streams+1) / float64(max(distributors, 1))
	return max(minStreamLimit, int(math.Ceil(mean*(1+loadSlack))))
}
