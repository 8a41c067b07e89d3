package outlier

import (
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of the baseline latency from which an answer is slow. It is above the delay that a queue of two or three
	// requests causes.
	slowFactor     = 4.0
	minSlowLatency = 20 * time.Millisecond
	// latencyStep is the factor by which each answer moves an estimate.
	latencyStep = 1.05
	// minLatencySamples is the number of answers from which an estimate contributes to the baseline.
	minLatencySamples     = 5
	latencyUpdateInterval = time.Second
	maxClasses            = 64 // number of classes for which a server's latency is estimated
)

// latencyEstimate estimates the median latency of a server for one class. Each answer moves the estimate up or down by the factor
// latencyStep, so that a single answer has little effect.
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

// baselineLatencies holds the baseline latency of each class: the lower median of the servers' median latencies. Each server counts once,
// regardless of how many requests it receives, so that a slow server does not raise the baseline that it is compared with.
type baselineLatencies struct {
	byClass   map[int]time.Duration
	updatedAt time.Time
}

// update recomputes the baselines if latencyUpdateInterval has passed. A class that only one server has answered has no baseline.
func (u *baselineLatencies) update(now time.Time, servers map[string]*serverRecord) {
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

// isSlow reports whether a latency is slow for a class. Without a baseline for the class, it reports whether the latency is at least limit.
func (u *baselineLatencies) isSlow(class int, latency, limit time.Duration) bool {
	if baseline := u.byClass[class]; baseline > 0 {
		return latency >= minSlowLatency && float64(latency) >= slowFactor*float64(baseline)
	}
	return latency >= limit
}
