package outlier

import (
	"math"
	"slices"
	"strings"
	"time"
)

// How much of its own evidence an observer keeps.
const (
	// evidenceSpan is how old an attempt may be to count: a server without its turn is tried each 3 s (rules.trialMost), and each trial
	// must stand until the next, yet no longer, so that good trials end a verdict soon.
	evidenceSpan = 3500 * time.Millisecond
	// maxRecentAttempts is how many attempts count, the last ones.
	maxRecentAttempts   = 6
	consecutiveFailures = 2                // bad ones in a row at which a pooler leaves a server; one where it was silent
	serverMemory        = 10 * time.Second // a server that has answered since is one that the observer sees
	freshEvidenceSpan   = 2 * time.Second  // good answers so young outrank the fleet's word
	minFreshGood        = 2                // if there are so many, and no bad one
	maxServers          = 512              // that one observer counts
	maxLostPrimaries    = 64               // primaries whose loss it remembers
	slowFactor          = 4.0              // usual times from which an answer is slow: a queue of two or three is none
	minSlowLatency      = 20 * time.Millisecond
	// minSilentLatency without an answer is a failure where the usual time is not known, as rules.leastSilence; a client that gives
	// up sooner says nothing of the server.
	minSilentLatency      = 150 * time.Millisecond
	latencyStep           = 1.05 // of a server's typical time with each answer
	minLatencySamples     = 5    // answers before a server's typical time counts
	latencyUpdateInterval = time.Second
	maxClasses            = 64
)

// Outcome is what one attempt tells of its server.
type Outcome uint8

// The kinds.
const (
	Success     Outcome = iota // answered
	Failure                    // no connection, a broken one, an error that another server did not give
	Timeout                    // no answer in the time that it was given
	slowSuccess                // answered, in slowTimes the usual time
)

// attempt is one attempt.
type attempt struct {
	at      time.Time
	outcome Outcome
}

// serverRecord is what this observer has seen of one server.
type serverRecord struct {
	attempts   [maxRecentAttempts]attempt
	nextIndex  int
	lastGoodAt time.Time                // the last good answer
	latencies  map[int]*latencyEstimate // by class
}

// latencyEstimate follows a server's typical time for a class: a step up or down with each answer, so that it settles at the median and
// no single answer moves it far.
type latencyEstimate struct {
	median  time.Duration
	samples int
}

func (p *latencyEstimate) observe(took time.Duration) {
	switch p.samples++; {
	case p.samples == 1:
		p.median = max(took, time.Microsecond)
	case took > p.median:
		p.median = time.Duration(float64(p.median)*latencyStep) + 1
	default:
		p.median = time.Duration(float64(p.median) / latencyStep)
	}
}

// localEvidence is the evidence of this observer itself. The caller holds its mutex.
type localEvidence struct {
	servers        map[string]*serverRecord
	lostPrimaries  map[string]time.Time  // servers that were their group's primary here and lost that place, and when
	usualLatency   map[int]time.Duration // by class
	usualLatencyAt time.Time
}

func newLocalEvidence() localEvidence {
	return localEvidence{servers: map[string]*serverRecord{}, lostPrimaries: map[string]time.Time{}, usualLatency: map[int]time.Duration{}}
}

// isSlow tells whether a time is long for a class, and least where that has no usual time.
func (o *localEvidence) isSlow(class int, took, least time.Duration) bool {
	if usual := o.usualLatency[class]; usual > 0 {
		return took >= minSlowLatency && float64(took) >= slowFactor*float64(usual)
	}
	return took >= least
}

// observe counts an attempt.
func (o *localEvidence) observe(now time.Time, server string, class int, kind Outcome, took time.Duration) {
	r := o.servers[server]
	if r == nil {
		if len(o.servers) >= maxServers {
			o.sweep(now)
		}
		if len(o.servers) >= maxServers {
			return
		}
		r = &serverRecord{latencies: map[int]*latencyEstimate{}}
		o.servers[server] = r
	}
	switch kind {
	case Timeout:
		if kind = Failure; !o.isSlow(class, took, minSilentLatency) {
			return
		}
		for range consecutiveFailures - 1 {
			r.add(now, kind)
		}
	case Success:
		if now.Sub(o.usualLatencyAt) >= latencyUpdateInterval {
			o.usualLatencyAt = now
			o.updateUsualLatency()
		}
		if o.isSlow(class, took, math.MaxInt64) {
			kind = slowSuccess
		}
		p := r.latencies[class]
		if p == nil && len(r.latencies) < maxClasses {
			p = &latencyEstimate{}
			r.latencies[class] = p
		}
		if p != nil {
			p.observe(took)
		}
	}
	if kind == Success {
		r.lastGoodAt = now
	}
	r.add(now, kind)
}

func (r *serverRecord) add(now time.Time, kind Outcome) {
	r.attempts[r.nextIndex] = attempt{now, kind}
	r.nextIndex = (r.nextIndex + 1) % maxRecentAttempts
}

// updateUsualLatency finds each class's usual time: the lower median of the servers' typical ones, each server counted once whatever it is
// sent, so that a slow server does not become the measure of itself. One server alone has nothing to be compared with.
func (o *localEvidence) updateUsualLatency() {
	times := map[int][]time.Duration{}
	for _, r := range o.servers {
		for class, p := range r.latencies {
			if p.samples >= minLatencySamples {
				times[class] = append(times[class], p.median)
			}
		}
	}
	clear(o.usualLatency)
	for class, all := range times {
		if len(all) > 1 {
			slices.Sort(all)
			o.usualLatency[class] = all[(len(all)-1)/2]
		}
	}
}

// observation is what was seen of a server within a time: its last attempts, back to recent of them; or the last alone if two or more
// in a row were bad, as this pooler has then left the server (rules.failed), and gets little further evidence. What it saw before
// is over, and would outvote that for as long as it counts.
func (o *localEvidence) observation(now time.Time, server string, within time.Duration) Observation {
	l := Observation{Server: server}
	r := o.servers[server]
	if r == nil {
		return l
	}
	for i := 1; i <= maxRecentAttempts; i++ {
		s := r.attempts[(r.nextIndex-i+maxRecentAttempts)%maxRecentAttempts]
		switch {
		case s.at.IsZero() || now.Sub(s.at) >= within:
			return l
		case s.outcome == Success && l.Good == 0 && l.Failed+l.Slow >= consecutiveFailures:
			return l
		case s.outcome == Success:
			l.Good++
		case s.outcome == Failure:
			l.Failed++
		case s.outcome == slowSuccess:
			l.Slow++
		}
	}
	return l
}

// overridesFleet tells whether this observer's own fresh evidence goes before the fleet's word that a server is bad: it has just had
// good answers of it, and no other.
func (o *localEvidence) overridesFleet(now time.Time, server string) bool {
	l := o.observation(now, server, freshEvidenceSpan)
	return l.Good >= minFreshGood && l.Failed+l.Slow == 0
}

// sweep forgets servers of which nothing was seen in a while.
func (o *localEvidence) sweep(now time.Time) {
	for server := range o.servers {
		if now.Sub(o.servers[server].lastGoodAt) >= serverMemory && o.observation(now, server, evidenceSpan).weight() == 0 {
			delete(o.servers, server)
		}
	}
	for server, at := range o.lostPrimaries {
		if now.Sub(at) >= evidenceSpan {
			delete(o.lostPrimaries, server)
		}
	}
}

// recordLostPrimary notes that a group's primary has lost its place here.
func (o *localEvidence) recordLostPrimary(now time.Time, server string) {
	o.sweep(now)
	if len(o.lostPrimaries) < maxLostPrimaries {
		o.lostPrimaries[server] = now
	}
}

// observations is what the observer has to say: a line for each server of which it saw anything within the span, its complaints
// first; and how many servers it sees at all.
func (o *localEvidence) observations(now time.Time) (lines []Observation, sees int) {
	o.sweep(now)
	for server := range o.servers {
		l := o.observation(now, server, evidenceSpan)
		if _, l.LostPrimary = o.lostPrimaries[server]; l.weight() > 0 || l.LostPrimary {
			lines = append(lines, l)
		} else {
			sees++
		}
	}
	for server := range o.lostPrimaries {
		if o.servers[server] == nil {
			lines = append(lines, Observation{Server: server, LostPrimary: true})
		}
	}
	slices.SortFunc(lines, func(a, b Observation) int {
		if a.isReportable() != b.isReportable() {
			if a.isReportable() {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Server, b.Server)
	})
	return lines, sees + len(lines)
}

// countComplaints counts the lines that complain.
func countComplaints(lines []Observation) (n int) {
	for _, l := range lines {
		if l.complains() {
			n++
		}
	}
	return n
}
