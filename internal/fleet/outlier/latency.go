package outlier

import (
	"slices"
	"time"
)

const (
	// slowFactor is from how many times the usual latency an answer is slow: a queue of two or three requests is none.
	slowFactor     = 4.0
	minSlowLatency = 20 * time.Millisecond
	// latencyStep is by which factor an estimate moves with each answer.
	latencyStep = 1.05
	// minLatencySamples is after how many answers an estimate counts.
	minLatencySamples     = 5
	latencyUpdateInterval = time.Second
	maxClasses            = 64 // of which a server's latency is estimated
)

// latencyEstimate follows the median latency of a server for a class: a step up or down with each answer, so that no single answer moves
// it far.
type latencyEstimate struct {
	median  time.Duration
	samples int
}

func (e *latencyEstimate) observe(latency time.Duration) {
	e.samples++
	switch {
	case e.samples == 1:
		e.median = max(latency, time.Microsecond)
	case latency > e.median:
		e.median = time.Duration(float64(e.median)*latencyStep) + 1
	default:
		e.median = time.Duration(float64(e.median) / latencyStep)
	}
}

// usualLatencies are the usual latencies by class. Each is the lower median of the servers' medians, where each server counts once
// whatever it is sent, so that a slow server does not become the measure of itself.
type usualLatencies struct {
	byClass   map[int]time.Duration
	updatedAt time.Time
}

// update computes the usual latencies anew, if that is due. A server alone has nothing to be compared with.
func (u *usualLatencies) update(now time.Time, servers map[string]*serverRecord) {
	if now.Sub(u.updatedAt) < latencyUpdateInterval {
		return
	}
	u.updatedAt = now
	medians := map[int][]time.Duration{}
	for _, server := range servers {
		for class, estimate := range server.latencies {
			if estimate.samples >= minLatencySamples {
				medians[class] = append(medians[class], estimate.median)
			}
		}
	}
	clear(u.byClass)
	for class, all := range medians {
		if len(all) > 1 {
			slices.Sort(all)
			u.byClass[class] = all[(len(all)-1)/2]
		}
	}
}

// isSlow reports whether a latency is slow for a class. Where the class has no usual latency, it is slow from a limit on.
func (u *usualLatencies) isSlow(class int, latency, limit time.Duration) bool {
	if usual := u.byClass[class]; usual > 0 {
		return latency >= minSlowLatency && float64(latency) >= slowFactor*float64(usual)
	}
	return latency >= limit
}
