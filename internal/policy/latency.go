package policy

import (
	"math"
	"time"
)

const (
	// timeoutToleranceDivisor divides a class's TotalTimeout into the tolerance within which two
	// timeouts count as equal.
	timeoutToleranceDivisor = 50
	// maxTimeoutVotes is the maximum number of requests with other timeouts after which the usual
	// timeout is replaced.
	maxTimeoutVotes = 50

	// baselineSamples is the number of answers whose mean is one measurement of a class's baseline.
	baselineSamples = 30
	// baselineGrowthPerSecond is the relative growth of a baseline per second, so that an exceptionally
	// low measurement does not persist.
	baselineGrowthPerSecond = 0.005
	// minMeanLatency is the minimum of baselines and mean latencies. It is the resolution of the
	// poolers' clocks.
	minMeanLatency = time.Millisecond
	// baselineObjectiveDivisor divides a class's latency objective into its initial baseline, which is
	// used until there is a measurement.
	baselineObjectiveDivisor = 4
	// baselineWithoutObjective is the initial baseline of a class without a latency objective.
	baselineWithoutObjective = 100 * time.Millisecond

	// meanLatencyGain is the weight of one answer in a class's mean latency.
	meanLatencyGain = 0.03
	// maxMeanLatencyStep limits the latency of one answer to this multiple of the mean latency.
	maxMeanLatencyStep = 8
	// maxLatencyRatio is the maximum latency ratio of one answer.
	maxLatencyRatio = 20
	// latencyRatioGain is the weight of one answer in a server's latency ratio.
	latencyRatioGain = 0.15
	// overallLatencyRatioGain is the weight of one answer in the combined latency ratio of all servers.
	overallLatencyRatioGain = 0.1
	// latencyRatioHalfLife is the half-life of the excess of a server's latency ratio over 1. The decay
	// lets a slow server be used again.
	latencyRatioHalfLife = 8 * time.Second

	// loadAveragingTime is the time constant of the average load on servers that are not in slow start.
	loadAveragingTime = 10 * time.Second
)

// latencyBaseline estimates the latency of a class without queueing: the minimum over the means of
// baselineSamples consecutive answers. The minimum grows slowly between measurements.
type latencyBaseline struct {
	value      time.Duration
	measuredAt time.Duration
	sum        time.Duration // sum of the latencies of the measurement in progress
	count      int           // number of answers in sum, less than baselineSamples
}

// observe adds the latency of an answer, and updates the baseline after each baselineSamples answers.
func (b *latencyBaseline) observe(now, latency time.Duration) {
	b.sum += latency
	b.count++
	if b.count < baselineSamples {
		return
	}
	growth := 1 + baselineGrowthPerSecond*(now-b.measuredAt).Seconds()
	grown := time.Duration(growth * float64(b.value))
	b.value = min(max(b.sum/baselineSamples, minMeanLatency), grown)
	b.measuredAt = now
	b.sum = 0
	b.count = 0
}

// measured reports whether at least one answer has been observed.
func (b *latencyBaseline) measured() bool { return b.measuredAt > 0 || b.count > 0 }

// majorityTimeout finds the timeout that most requests of a class have, with the majority vote
// algorithm of Boyer and Moore.
type majorityTimeout struct {
	timeout time.Duration
	votes   int // from 0 to maxTimeoutVotes
}

// vote counts the timeout of one request and reports whether it is the usual one.
func (m *majorityTimeout) vote(timeout, tolerance time.Duration) bool {
	switch {
	case (timeout - m.timeout).Abs() <= tolerance:
		m.votes = min(m.votes+1, maxTimeoutVotes)
	case m.votes == 0:
		m.timeout = timeout
		m.votes = 1
	default:
		m.votes--
		return false
	}
	return true
}

// classEstimate holds the measurements of one class.
type classEstimate struct {
	meanLatency  time.Duration
	baseline     latencyBaseline
	usualTimeout majorityTimeout

	// warmLoad is the exponentially decayed number of requests served per server that is not in slow
	// start, as of latencyEstimates.warmLoadAt.
	warmLoad float64
}

// observeMean updates the mean latency with the latency of one attempt.
func (e *classEstimate) observeMean(latency time.Duration) {
	difference := float64(min(latency, maxMeanLatencyStep*e.meanLatency) - e.meanLatency)
	e.meanLatency = max(e.meanLatency+time.Duration(meanLatencyGain*difference), minMeanLatency)
}

// latencyEstimates holds the estimates of all classes, by class index.
type latencyEstimates struct {
	classes    []classEstimate
	warmLoadAt time.Duration
}

func (e *latencyEstimates) forRequest(req *request) *classEstimate { return &e.classes[req.classIndex] }

// decayLoad decays the load of all classes up to the current time.
func (e *latencyEstimates) decayLoad(now time.Duration) {
	decay := loadDecay(now - e.warmLoadAt)
	for i := range e.classes {
		e.classes[i].warmLoad *= decay
	}
	e.warmLoadAt = now
}

// loadDecay returns the fraction of a load that remains after the given time.
func loadDecay(span time.Duration) float64 {
	return math.Exp(-float64(span) / float64(loadAveragingTime))
}

// serverLatency compares the latencies of a server with the baselines of their classes.
type serverLatency struct {
	ratio               float64 // at least 1 as of measuredAt, up to maxLatencyRatio
	measuredAt          time.Duration
	lastAttemptDuration time.Duration
}

// decayedRatio returns the ratio after its decay up to now. It is at least 1.
func (l *serverLatency) decayedRatio(now time.Duration) float64 {
	if l.ratio <= 1 {
		return 1
	}
	return 1 + (l.ratio-1)*math.Exp2(-float64(now-l.measuredAt)/float64(latencyRatioHalfLife))
}

// observe records the duration of an attempt. The duration of an unanswered attempt is a lower bound,
// which affects the ratio only if it exceeds the present one.
func (l *serverLatency) observe(now, latency time.Duration, ratio float64, answered bool) {
	decayed := l.decayedRatio(now)
	if answered || ratio > decayed {
		l.ratio = decayed*(1-latencyRatioGain) + latencyRatioGain*ratio
	}
	l.measuredAt = now
	l.lastAttemptDuration = latency
}

// overallHealth holds the combined figures of all servers, with which those of one server are compared.
type overallHealth struct {
	latencyRatio float64
	failureRate  float64 // fraction of recent attempts that failed, from 0 to 1
}

// observeRatio updates the combined latency ratio with the ratio of one attempt.
func (h *overallHealth) observeRatio(ratio float64) {
	h.latencyRatio += overallLatencyRatioGain * (ratio - h.latencyRatio)
}

// observeLatency records the duration of an attempt and returns it. The duration of an unanswered
// attempt is a lower bound of its latency.
func (r *Router) observeLatency(s *server, a *attempt, answered bool) time.Duration {
	latency := r.now - a.sentAt
	estimate := r.estimates.forRequest(a.request)
	ratio := min(float64(latency)/float64(estimate.baseline.value), maxLatencyRatio)
	s.latency.observe(r.now, latency, ratio, answered)
	// Attempts that wait at a silent server give no information about the other servers.
	if answered || ratio > r.overall.latencyRatio && s.health.answeredRecently(r.now) {
		r.overall.observeRatio(ratio)
	}
	r.adjustWindow(s)
	estimate.observeMean(latency)
	return latency
}

// recordWarmRequest counts a request served by a server that is not in slow start. Unanswered requests
// are not counted, so that the sum over all poolers does not exceed the capacity of the servers,
// however many requests are sent.
func (r *Router) recordWarmRequest(classIndex int) {
	warm := 0
	for _, s := range r.servers.ordered {
		if s.State != Removed && !r.inSlowStart(s) {
			warm++
		}
	}
	r.estimates.decayLoad(r.now)
	r.estimates.classes[classIndex].warmLoad += 1 / float64(max(warm, 1))
}
