package distribution

import (
	"math"
	"time"
)

const (
	// loadSlack is by which share a distributor's streams may exceed the mean of its region before it refuses callers as full: consistent
	// hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). The callers of a lost distributor find room as the mean
	// rises with its loss.
	loadSlack = 0.25
	// minStreamLimit is how many streams are admitted whatever the mean is: so few cost little, and their mean says little.
	minStreamLimit = 64
	// maxStreams bounds the descriptors of streams, whoever calls: the largest fleet fits on one distributor.
	maxStreams = 8192
	// maxPendingCalls bounds the connections that have not sent a hello yet.
	maxPendingCalls = 1024
	// admissionInterval is the time between two new streams, and admissionBurst how many may come at once. A whole fleet of 5,000 comes
	// to 18 distributors, 278 each, within 0.5 s; the poolers of a lost one, 16 for each of the others, at once.
	admissionInterval = 2 * time.Millisecond
	admissionBurst    = 64
	// maxSnapshotWrites bounds the snapshots that are written at once, each at minWriteRate or faster: a distributor keeps most of what
	// its network carries for deltas and announcements. A caller whose turn does not come hears no announcement, and calls another.
	maxSnapshotWrites = 32
)

// admission is a token bucket for new streams. It is not safe for use by several goroutines.
type admission struct {
	emptyAt     time.Time // when the bucket would have been empty
	lastRetryAt time.Time // the latest time that a caller was told to come back at
}

// admit returns after how long a caller is to call again; 0: it is admitted now. Each that is to call again is
// given a time of its own, so that a thousand at once are spread at the pace, and not again and again at random.
func (a *admission) admit(now time.Time) (retryAfter time.Duration) {
	earliest := now.Add(-admissionBurst * admissionInterval)
	if a.emptyAt.Before(earliest) {
		a.emptyAt = earliest
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

// streamLimit returns how many streams a distributor holds at most before it refuses callers as full, where the distributors of its region,
// itself among them, hold so many streams together.
func streamLimit(streams, distributors int) int {
	mean := float64(streams+1) / float64(max(distributors, 1))
	return max(minStreamLimit, int(math.Ceil(mean*(1+loadSlack))))
}
