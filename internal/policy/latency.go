package policy

import (
	"math"
	"time"
)

const (
	// timeoutToleranceDivisor: timeouts that differ by less than this part of a class's
	// TotalTimeout count as equal.
	timeoutToleranceDivisor = 50
	// maxTimeoutVotes is how many tries with other timeouts it takes until the usual timeout is
	// given up.
	maxTimeoutVotes = 50

	// baselineSamples is the number of answers whose mean is one measure of a class's baseline.
	baselineSamples = 30
	// baselineGrowthPerSecond is the share by which a baseline grows a second, so that no lucky
	// measure lasts.
	baselineGrowthPerSecond = 0.005
	// minMeanLatency is the least baseline and mean latency: the poolers' clocks tell no shorter
	// span.
	minMeanLatency = time.Millisecond
	// baselineObjectiveDivisor: until there is a measure, this part of a class's latency objective
	// is its baseline.
	baselineObjectiveDivisor = 4
	// baselineWithoutObjective is the first baseline of a class without a latency objective.
	baselineWithoutObjective = 100 * time.Millisecond

	// meanLatencyGain is the weight of one answer in a class's mean latency.
	meanLatencyGain = 0.03
	// maxMeanLatencyStep is the multiple of the mean latency that one answer counts as at most.
	maxMeanLatencyStep = 8
	// maxLatencyRatio is the ratio that one answer counts as at most.
	maxLatencyRatio = 20
	// latencyRatioGain is the weight of one answer in a server's latency ratio.
	latencyRatioGain = 0.15
	// overallLatencyRatioGain is the weight of one answer in the latency ratio of all servers
	// together.
	overallLatencyRatioGain = 0.1
	// latencyRatioHalfLife is the span in which what a server's latency ratio has over 1 halves, so
	// that a slow server is used again.
	latencyRatioHalfLife = 8 * time.Second

	// loadAveragingTime is the span over which the work sent to servers out of slow start is
	// averaged.
	loadAveragingTime = 10 * time.Second
)

// latencyBaseline is the latency of a class without queues: the least mean of baselineSamples
// answers in a row, which grows slowly in between.
type latencyBaseline struct {
	value      time.Duration
	measuredAt time.Duration
	sum        time.Duration // of the measure under way
	count      int           // answers in sum, less than baselineSamples
}

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

// measured reports whether an answer of the class has been observed.
func (b *latencyBaseline) measured() bool { return b.measuredAt > 0 || b.count > 0 }

// majorityTimeout finds the timeout that most tries of a class have, by the majority vote algorithm
// of Boyer and Moore.
type majorityTimeout struct {
	timeout time.Duration
	votes   int // from 0 to maxTimeoutVotes
}

// vote counts the timeout of one try and reports whether it is the usual one.
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

// classEstimate holds what a Router has measured of one class.
type classEstimate struct {
	meanLatency  time.Duration
	baseline     latencyBaseline
	usualTimeout majorityTimeout

	// warmLoad is the decayed count of requests that each server out of slow start has served, as
	// of latencyEstimates.warmLoadAt.
	warmLoad float64
}

// observeMean takes one answer into the mean latency.
func (e *classEstimate) observeMean(latency time.Duration) {
	difference := float64(min(latency, maxMeanLatencyStep*e.meanLatency) - e.meanLatency)
	e.meanLatency = max(e.meanLatency+time.Duration(meanLatencyGain*difference), minMeanLatency)
}

// latencyEstimates holds the estimates of all classes, by their index.
type latencyEstimates struct {
	classes    []classEstimate
	warmLoadAt time.Duration
}

func (e *latencyEstimates) forRequest(req *request) *classEstimate { return &e.classes[req.classIndex] }

// decayLoad moves the load of all classes to the present.
func (e *latencyEstimates) decayLoad(now time.Duration) {
	decay := loadDecay(now - e.warmLoadAt)
	for i := range e.classes {
		e.classes[i].warmLoad *= decay
	}
	e.warmLoadAt = now
}

// loadDecay is the share of a load that is left after a span.
func loadDecay(span time.Duration) float64 {
	return math.Exp(-float64(span) / float64(loadAveragingTime))
}

// serverLatency is how a server's latencies compare with the baselines of their classes.
type serverLatency struct {
	ratio           float64 // at least 1 as of measuredAt, up to maxLatencyRatio
	measuredAt      time.Duration
	lastAttemptTook time.Duration
}

// decayedRatio returns the ratio as it has decayed until now. It is at least 1.
func (l *serverLatency) decayedRatio(now time.Duration) float64 {
	if l.ratio <= 1 {
		return 1
	}
	return 1 + (l.ratio-1)*math.Exp2(-float64(now-l.measuredAt)/float64(latencyRatioHalfLife))
}

// observe records how long an attempt took. An attempt that was not answered took that long at the
// least, and counts where that is more than the ratio so far.
func (l *serverLatency) observe(now, latency time.Duration, ratio float64, answered bool) {
	decayed := l.decayedRatio(now)
	if answered || ratio > decayed {
		l.ratio = decayed*(1-latencyRatioGain) + latencyRatioGain*ratio
	}
	l.measuredAt = now
	l.lastAttemptTook = latency
}

// overallHealth is how all servers together answer. A server's own figures are judged against it.
type overallHealth struct {
	latencyRatio float64
	failureRate  float64 // share of recent attempts that failed, from 0 to 1
}

func (h *overallHealth) observeRatio(ratio float64) {
	h.latencyRatio += overallLatencyRatioGain * (ratio - h.latencyRatio)
}

// observeLatency records how long an attempt took, or at the least took if it was not answered, and
// returns it.
func (r *Router) observeLatency(s *server, a *attempt, answered bool) time.Duration {
	latency := r.now - a.sentAt
	estimate := r.estimates.forRequest(a.request)
	ratio := min(float64(latency)/float64(estimate.baseline.value), maxLatencyRatio)
	s.latency.observe(r.now, latency, ratio, answered)
	// Attempts that wait at a silent server say nothing of the other servers.
	if answered || ratio > r.overall.latencyRatio && s.health.answeredRecently(r.now) {
		r.overall.observeRatio(ratio)
	}
	r.adjustWindow(s)
	estimate.observeMean(latency)
	return latency
}

// recordWarmRequest counts a request that a server out of slow start has served. A request without an
// answer does not count: so the sum over all poolers is no more than the servers bear, however much
// is sent.
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
