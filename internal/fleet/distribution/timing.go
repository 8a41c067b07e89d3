package distribution

import "time"

// The time limits of streams, counted in heartbeat intervals.
const (
	// maxAnswerHeartbeats is the most that the answer to a call may take, however often its time has been doubled.
	maxAnswerHeartbeats = 4
	// writeTimeoutHeartbeats is how long a write may take, beside the time that its length is given: a slower reader is disconnected.
	writeTimeoutHeartbeats = 4
	// maxLagHeartbeats is how long a distributor may announce another version than the subscriber holds before it is left. One that
	// has just started catches up within a heartbeat.
	maxLagHeartbeats = 3
	// avoidHeartbeats is how long a distributor that was lost, or did not answer, is called after all others.
	avoidHeartbeats = 10
	// preferredRetryHeartbeats is how long a pooler stays with another than its preferred distributor before it calls that one again,
	// from half of it to one and a half by its jitter: of 5,000 poolers that all have been moved, one calls every 6 ms.
	preferredRetryHeartbeats = 30
)

// timing derives the time limits of a stream from the heartbeat interval, a third of a lease's term: 1 s at the default term of 3 s.
type timing struct{ heartbeat time.Duration }

// readTimeout returns how long a peer may send no byte: two heartbeats may come late, or one be lost with the connection's retransmission.
func (t timing) readTimeout() time.Duration { return t.heartbeat * 5 / 2 }

// writeTimeout returns how long a peer may take no byte.
func (t timing) writeTimeout() time.Duration { return writeTimeoutHeartbeats * t.heartbeat }

// answerTimeout returns how long a distributor may take to answer a call.
func (t timing) answerTimeout() time.Duration { return t.heartbeat / 2 }

// nextAnswerTimeout returns what follows on a timeout within which no distributor has answered: where all are slow, calls that are given up make them
// slower still.
func (t timing) nextAnswerTimeout(last time.Duration) time.Duration {
	return min(2*last, maxAnswerHeartbeats*t.heartbeat)
}

// maxLag returns how long a distributor may lag.
func (t timing) maxLag() time.Duration { return maxLagHeartbeats * t.heartbeat }

// avoidFor returns how long a distributor is avoided, and how long the poolers of one that was lost are still counted.
func (t timing) avoidFor() time.Duration { return avoidHeartbeats * t.heartbeat }

// preferredRetry returns the mean time between two calls to the preferred distributor.
func (t timing) preferredRetry() time.Duration { return preferredRetryHeartbeats * t.heartbeat }

// lagDetector decides when a distributor has announced other versions than the subscriber holds for too long.
type lagDetector struct {
	limit time.Duration
	since time.Time // of the first such announcement in a row; the zero time: the last one announced what the subscriber holds
}

// observe records an announcement, and reports whether the limit is reached.
func (l *lagDetector) observe(differs bool, now time.Time) (exceeded bool) {
	switch {
	case !differs:
		l.since = time.Time{}
		return false
	case l.since.IsZero():
		l.since = now
		return false
	}
	return now.Sub(l.since) >= l.limit
}
