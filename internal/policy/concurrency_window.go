package policy

import "time"

// Concurrency windows: the number of attempts of this pooler in flight at a server is limited, and the
// limit is adapted to the server's latencies. Requests beyond it wait in the pooler's queue instead of
// the server's, whatever the cause of the latency: overload, a noisy neighbor, slow start, a long read.

const (
	// initialFleetWindow is the initial limit of attempts at a server, summed over all poolers.
	initialFleetWindow = 8.0
	// minFleetWindow is the minimum limit of attempts at a server, summed over all poolers. If a
	// pooler's share is below 1, it delays its reads while servers are congested.
	minFleetWindow = 6.0
	// congestedLatencyRatio is the latency ratio above which queueing at a server costs more than it
	// gains.
	congestedLatencyRatio = 1.3
	// windowDecreaseFactor is the factor by which a window is reduced after a congested answer.
	windowDecreaseFactor = 0.85
	// windowDecreaseInterval is the minimum interval between two such reductions.
	windowDecreaseInterval = 100 * time.Millisecond
)

// concurrencyWindow limits the number of attempts of this pooler in flight at a server. A size below 1
// is the fraction of time during which one attempt may be in flight.
type concurrencyWindow struct {
	size           float64 // at least fleetParameters.minWindow
	lastDecreaseAt time.Duration
}

// limit returns the maximum number of attempts in flight.
func (w *concurrencyWindow) limit() float64 { return max(w.size, 1) }

// adjustWindow adjusts a server's window after a latency measurement: it decreases the window if the
// server is congested, and increases it if the window was in full use and the server is not congested.
func (r *Router) adjustWindow(s *server) {
	w := &s.window
	switch {
	case s.latency.ratio > congestedLatencyRatio:
		if r.now >= w.lastDecreaseAt+windowDecreaseInterval {
			w.size = max(w.size*windowDecreaseFactor, r.fleet.minWindow)
			w.lastDecreaseAt = r.now
		}
	case w.size < 1 && r.overall.latencyRatio > congestedLatencyRatio: // else reads are not delayed
		w.size = min(w.size/windowDecreaseFactor, 1)
	case w.size >= 1 && float64(s.outstanding.count()+1) >= w.size:
		w.size += min(1/w.size, w.size)
	}
}

// hasCapacity reports whether a server may receive one more attempt of this pooler. The slow start is
// checked last, and only if all other checks pass, because the check may open a slot.
func (r *Router) hasCapacity(s *server, classIndex int) bool {
	if float64(r.countedAttempts(s)) >= s.window.limit() || r.now < s.backoff.until {
		return false
	}
	if r.now < s.outstanding.lastEndedAt+r.readPacingDelay(s, classIndex) {
		return false
	}
	return !r.inSlowStart(s) || r.slowStartAllows(s, classIndex)
}

// countedAttempts returns the number of attempts that count against a server's window. For an ejected
// server, attempts sent before the ejection are not counted, since they may hang and block the trial.
func (r *Router) countedAttempts(s *server) int {
	if s.ejection.ejected {
		return s.outstanding.sentSince(s.ejection.ejectedAt)
	}
	return s.outstanding.count()
}

// readPacingDelay returns the minimum delay after an attempt before the next read is sent to a server.
// It is nonzero if the window is smaller than 1 and servers are congested, and such that all poolers
// together stay within the fleet's window. Writes are not delayed, as no other server can take them.
func (r *Router) readPacingDelay(s *server, classIndex int) time.Duration {
	if s.window.size >= 1 || r.settings.Classes[classIndex].Access == Write {
		return 0
	}
	if max(s.latency.decayedRatio(r.now), r.overall.latencyRatio) <= congestedLatencyRatio {
		return 0
	}
	return time.Duration((1/s.window.size - 1) * float64(s.latency.lastAttemptDuration))
}
