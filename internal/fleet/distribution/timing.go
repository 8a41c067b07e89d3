package distribution

import "time"

// The time limits of streams, in heartbeat intervals.
const (
	// maxAnswerHeartbeats bounds the answer timeout, which doubles after each round in which no distributor admitted the pooler.
	maxAnswerHeartbeats = 4
	// writeTimeoutHeartbeats is the time limit of a write, in addition to the time allowed for its length by minWriteRate. A slower
	// reader is disconnected.
	writeTimeoutHeartbeats = 4
	// maxLagHeartbeats is how long a distributor may announce a version other than the one that the subscriber holds before the
	// subscriber disconnects. A distributor that has just started catches up within a heartbeat.
	maxLagHeartbeats = 3
	// avoidHeartbeats is how long a distributor is tried after all others once its stream was lost or it did not answer.
	avoidHeartbeats = 10
	// preferredRetryHeartbeats is the mean interval at which a pooler that is connected to another distributor retries its preferred
	// one. Jitter varies the interval from 0.5 to 1.5 times the mean: of 5,000 poolers that failed over, one retries every 6 ms.
	preferredRetryHeartbeats = 30
)

// timing derives the time limits of a stream from the heartbeat interval, which is a third of a lease's term: 1 s for the default term of
// 3 s.
type timing struct{ heartbeat time.Duration }

// readTimeout returns how long a peer may send no data: it tolerates two late heartbeats, or one that TCP has to retransmit.
func (t timing) readTimeout() time.Duration { return t.heartbeat * 5 / 2 }

// writeTimeout returns how long a peer may accept no data.
func (t timing) writeTimeout() time.Duration { return writeTimeoutHeartbeats * t.heartbeat }

// answerTimeout returns how long a distributor may take to answer a hello.
func (t timing) answerTimeout() time.Duration { return t.heartbeat / 2 }

// nextAnswerTimeout returns the answer timeout for the next round after no distributor answered within the previous one. It doubles the
// timeout because abandoned connections would slow overloaded distributors down further.
func (t timing) nextAnswerTimeout(previous time.Duration) time.Duration {
	return min(2*previous, maxAnswerHeartbeats*t.heartbeat)
}

// maxLag returns how long a distributor may announce other versions than the subscriber holds.
func (t timing) maxLag() time.Duration { return maxLagHeartbeats * t.heartbeat }

// avoidDuration returns how long a distributor is avoided, and how long the poolers of a disconnected distributor are still counted.
func (t timing) avoidDuration() time.Duration { return avoidHeartbeats * t.heartbeat }

// preferredRetryInterval returns the mean interval between two attempts to return to the preferred distributor.
func (t timing) preferredRetryInterval() time.Duration { return preferredRetryHeartbeats * t.heartbeat }

// lagDetector detects that a distributor has announced other versions than the subscriber holds for too long.
type lagDetector struct {
	limit        time.Duration
	differsSince time.Time // time of the first differing announcement in a row; zero if the last one did not differ
}

// observe records whether an announcement differs from the versions held, and reports whether the limit is reached.
func (l *lagDetector) observe(differs bool, now time.Time) (exceeded bool) {
	switch {
	case !differs:
		l.differsSince = time.Time{}
		return false
	case l.differsSince.IsZero():
		l.differsSince = now
		return false
	}
	return now.Sub(l.differsSince) >= l.limit
}
