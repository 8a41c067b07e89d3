package distribution

import (
	"math"
	"time"
)

const (
	// loadSlack is the fraction by which a distributor's number of streams may exceed the mean of its region before it refuses poolers
	// as full, as in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018). When a distributor is lost, the
	// mean of the others rises, which makes room for its poolers.
	loadSlack = 0.25
	// minStreamLimit is the number of streams that are admitted regardless of the mean: so few streams cost little, and their mean is
	// not meaningful.
	minStreamLimit = 64
	// maxStreams is the maximum number of streams from poolers, to bound the descriptors in use. The largest fleet fits on one
	// distributor.
	maxStreams = 8192
	// maxPendingHandshakes is the maximum number of connections that have not sent a hello yet.
	maxPendingHandshakes = 1024
	// admissionInterval is the minimum mean interval between two new streams, and admissionBurst the number of streams that may be
	// admitted at once. A fleet of 5,000 poolers connects to 18 distributors, 278 poolers each, within 0.5 s; the poolers of a lost
	// distributor, 16 for each of the others, connect at once.
	admissionInterval = 2 * time.Millisecond
	admissionBurst    = 64
	// maxSnapshotWrites is the maximum number of snapshots that are written concurrently, each at minWriteRate or faster. It reserves
	// most of a distributor's network bandwidth for deltas and announcements. A pooler that waits too long for its snapshot receives
	// no announcements, times out and connects to another distributor.
	maxSnapshotWrites = 32
)

// admission is a token bucket for new streams. It is not safe for concurrent use.
type admission struct {
	emptyAt     time.Time // time at which the bucket was, or would have been, empty
	lastRetryAt time.Time // latest retry time that was assigned to a refused pooler
}

// admit returns the delay after which a pooler should retry, or 0 if it is admitted now. Each refused pooler is assigned a distinct retry
// time, so that a thousand simultaneous attempts are spread at the admission rate instead of colliding repeatedly.
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

// streamLimit returns the number of streams at which a distributor refuses poolers as full. streams is the total number of streams of all
// distributors of its region, and distributors their number, both including its own.
func streamLimit(streams, distributors int) int {
	mean := float64(streams+1) / float64(max(distributors, 1))
	return max(minStreamLimit, int(math.Ceil(mean*(1+loadSlack))))
}
