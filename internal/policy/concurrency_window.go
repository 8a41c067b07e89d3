package policy

import "time"

// Concurrency windows: a server holds as many attempts of this pooler as its answers bear. Work
// beyond the window waits here and not in the server's queue, whatever made the server slow:
// overload, a neighbour, slow start, a long read.

const (
	// initialFleetWindow is how many attempts of all poolers together a server may hold until its
	// answers tell more.
	initialFleetWindow = 8.0
	// minFleetWindow is how many it may hold at the least. A pooler's share under 1 is a rest
	// between its reads while servers are congested.
	minFleetWindow = 6.0
	// congestedLatencyRatio is the latency, in baselines, from which on a queue costs more than it
	// hides.
	congestedLatencyRatio = 1.3
	// windowCutFactor is the part of a window that is left after an answer that shows a queue.
	windowCutFactor = 0.85
	// windowCutInterval is the least span between two such cuts.
	windowCutInterval = 100 * time.Millisecond
)

// concurrencyWindow bounds the attempts of this pooler at a server. A size under 1 is the share of
// the time in which the server may hold one attempt.
type concurrencyWindow struct {
	size      float64 // at least fleet.minWindow
	lastCutAt time.Duration
}

// limit returns the number of attempts that the server may hold at once.
func (w *concurrencyWindow) limit() float64 { return max(w.size, 1) }

// adjustWindow moves a server's window after an answer: up when it was used up and answers come in
// good time, down when they show a queue.
func (r *Router) adjustWindow(s *server) {
	w := &s.window
	switch {
	case s.latency.ratio > congestedLatencyRatio:
		if r.now >= w.lastCutAt+windowCutInterval {
			w.size = max(w.size*windowCutFactor, r.fleet.minWindow)
			w.lastCutAt = r.now
		}
	case w.size < 1 && r.overall.latencyRatio > congestedLatencyRatio: // only then has the rest been in force
		w.size = min(w.size/windowCutFactor, 1)
	case w.size >= 1 && float64(s.outstanding.count()+1) >= w.size:
		w.size += min(1/w.size, w.size)
	}
}

// hasCapacity reports whether a server may take one more attempt of this pooler. The slow start is
// asked last, and only if all else allows the attempt: its answer may open a slot.
func (r *Router) hasCapacity(s *server, classIndex int) bool {
	if float64(r.countedAttempts(s)) >= s.window.limit() || r.now < s.pause.until {
		return false
	}
	if r.now < s.outstanding.lastEndedAt+r.restBetweenReads(s, classIndex) {
		return false
	}
	return !r.inSlowStart(s) || r.slowStartAllows(s, classIndex)
}

// countedAttempts returns the attempts that count against a server's window. What hangs at an
// ejected server since before its ejection must not keep it from its trial.
func (r *Router) countedAttempts(s *server) int {
	if s.ejection.ejected {
		return s.outstanding.sentSince(s.ejection.ejectedAt)
	}
	return s.outstanding.count()
}

// restBetweenReads returns how long a server rests after an attempt: where this pooler's share of
// the window is under 1 and servers are congested, so long that all poolers together stay within
// the window. Writes, which have nowhere else to go, do not wait for it.
func (r *Router) restBetweenReads(s *server, classIndex int) time.Duration {
	if s.window.size >= 1 || r.settings.Classes[classIndex].Access == Write {
		return 0
	}
	if max(s.latency.decayedRatio(r.now), r.overall.latencyRatio) <= congestedLatencyRatio {
		return 0
	}
	return time.Duration((1/s.window.size - 1) * float64(s.latency.lastAttemptTook))
}
