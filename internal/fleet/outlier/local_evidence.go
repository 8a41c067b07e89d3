package outlier

import (
	"math"
	"slices"
	"strings"
	"time"

	"threadsail/internal/policy"
)

const (
	// evidenceSpan is how old an attempt may be to count. A server without its turn is tried each 3 s, and each attempt must stand until
	// the next, yet no longer, so that good probes end an ejection soon.
	evidenceSpan = 3500 * time.Millisecond
	// maxRecentAttempts is how many attempts count, the last ones.
	maxRecentAttempts = 6
	// consecutiveFailures is after how many bad attempts in a row a pooler leaves a server by itself; one that was silent counts as many.
	consecutiveFailures = 2
	// serverMemory is how long after its last good answer a server still is one that the observer sees.
	serverMemory = 10 * time.Second
	// freshEvidenceSpan is how young minFreshGood good answers, and no bad one, must be to outrank the fleet's ejection.
	freshEvidenceSpan = 2 * time.Second
	minFreshGood      = 2
	maxServers        = 512 // that one observer counts
	maxLostPrimaries  = 64  // primaries whose loss it remembers
	// minSilentLatency is from when no answer is a failure where the usual latency is not known; a client that gives up sooner says
	// nothing of the server.
	minSilentLatency = 150 * time.Millisecond
)

// Outcome is what one attempt tells of its server.
type Outcome uint8

// The outcomes.
const (
	Success     Outcome = iota // an answer
	Failure                    // no connection, a broken one, or an error that another server did not give
	Timeout                    // no answer in the time that it was given
	slowSuccess                // an answer, after slowFactor times the usual latency
)

// FromResult returns what an attempt's result, as dispatch.Dispatcher.OnOutcome has it, tells of its server; ok: anything.
func FromResult(result policy.Result) (outcome Outcome, ok bool) {
	switch result {
	case policy.OK:
		return Success, true
	case policy.ConnectFailed, policy.ConnectionReset, policy.ServerError:
		return Failure, true
	case policy.TimedOut, policy.Cancelled:
		return Timeout, true
	}
	return 0, false // refused or redirected: the server may be busy, or not the primary
}

// attempt is an attempt that has ended.
type attempt struct {
	at      time.Time
	outcome Outcome
}

// serverRecord is what this observer has seen of one server.
type serverRecord struct {
	attempts   [maxRecentAttempts]attempt // a ring
	nextIndex  int                        // of the oldest attempt
	lastGoodAt time.Time
	latencies  map[int]*latencyEstimate // by class
}

func (r *serverRecord) add(now time.Time, outcome Outcome) {
	r.attempts[r.nextIndex] = attempt{now, outcome}
	r.nextIndex = (r.nextIndex + 1) % maxRecentAttempts
}

// last returns the i-th attempt from the end; 1 is the last one.
func (r *serverRecord) last(i int) attempt {
	return r.attempts[(r.nextIndex-i+maxRecentAttempts)%maxRecentAttempts]
}

// observeLatency takes an answer's latency into the estimate of its class.
func (r *serverRecord) observeLatency(class int, latency time.Duration) {
	estimate := r.latencies[class]
	if estimate == nil {
		if len(r.latencies) >= maxClasses {
			return
		}
		estimate = &latencyEstimate{}
		r.latencies[class] = estimate
	}
	estimate.observe(latency)
}

// localEvidence is the evidence of this observer itself. It is not safe for use by several goroutines.
type localEvidence struct {
	servers       map[string]*serverRecord
	lostPrimaries map[string]time.Time // when a server lost the place of its group's primary here
	usual         usualLatencies
}

func newLocalEvidence() localEvidence {
	return localEvidence{servers: map[string]*serverRecord{}, lostPrimaries: map[string]time.Time{}, usual: usualLatencies{byClass: map[int]time.Duration{}}}
}

// observe counts an attempt.
func (e *localEvidence) observe(now time.Time, server string, class int, outcome Outcome, latency time.Duration) {
	record := e.record(now, server)
	if record == nil {
		return
	}
	switch outcome {
	case Timeout:
		e.observeTimeout(now, record, class, latency)
		return
	case Success:
		e.usual.update(now, e.servers)
		slow := e.usual.isSlow(class, latency, math.MaxInt64)
		record.observeLatency(class, latency)
		if slow {
			outcome = slowSuccess
		} else {
			record.lastGoodAt = now
		}
	}
	record.add(now, outcome)
}

// observeTimeout counts an attempt without an answer, if it was given the time for one.
func (e *localEvidence) observeTimeout(now time.Time, record *serverRecord, class int, latency time.Duration) {
	if !e.usual.isSlow(class, latency, minSilentLatency) {
		return
	}
	for range consecutiveFailures {
		record.add(now, Failure)
	}
}

// record returns a server's record; nil: there are too many servers.
func (e *localEvidence) record(now time.Time, server string) *serverRecord {
	if record := e.servers[server]; record != nil {
		return record
	}
	if len(e.servers) >= maxServers {
		e.sweep(now)
	}
	if len(e.servers) >= maxServers {
		return nil
	}
	record := &serverRecord{latencies: map[int]*latencyEstimate{}}
	e.servers[server] = record
	return record
}

// recordLostPrimary records that a server has lost the place of its group's primary here.
func (e *localEvidence) recordLostPrimary(now time.Time, server string) {
	e.sweep(now)
	if len(e.lostPrimaries) < maxLostPrimaries {
		e.lostPrimaries[server] = now
	}
}

// observation returns what was seen of a server within a span: its last attempts; or the last bad ones alone if consecutiveFailures or
// more were bad in a row. This pooler has left the server then, and gets little further evidence: what it saw before is over, and would
// outvote the failures for as long as it counts.
func (e *localEvidence) observation(now time.Time, server string, span time.Duration) Observation {
	o := Observation{Server: server}
	record := e.servers[server]
	if record == nil {
		return o
	}
	for i := 1; i <= maxRecentAttempts; i++ {
		last := record.last(i)
		if last.at.IsZero() || now.Sub(last.at) >= span {
			return o
		}
		switch last.outcome {
		case Success:
			if o.Good == 0 && o.Failed+o.Slow >= consecutiveFailures {
				return o
			}
			o.Good++
		case Failure:
			o.Failed++
		case slowSuccess:
			o.Slow++
		}
	}
	return o
}

// overridesFleet reports whether this observer's own fresh evidence outranks the fleet's ejection of a server: good answers, and no other.
func (e *localEvidence) overridesFleet(now time.Time, server string) bool {
	o := e.observation(now, server, freshEvidenceSpan)
	return o.Good >= minFreshGood && o.Failed+o.Slow == 0
}

// answers reports whether a server has answered here within evidenceSpan, and not mostly failed.
func (e *localEvidence) answers(now time.Time, server string) bool {
	o := e.observation(now, server, evidenceSpan)
	return o.Good > 0 && !o.complains()
}

// sweep forgets the servers and primaries of which nothing was seen for a while.
func (e *localEvidence) sweep(now time.Time) {
	for server, record := range e.servers {
		if now.Sub(record.lastGoodAt) >= serverMemory && e.observation(now, server, evidenceSpan).weight() == 0 {
			delete(e.servers, server)
		}
	}
	for server, lostAt := range e.lostPrimaries {
		if now.Sub(lostAt) >= evidenceSpan {
			delete(e.lostPrimaries, server)
		}
	}
}

// observations returns an observation of each server of which anything was seen within evidenceSpan, reportable ones first; and how many
// servers the observer sees at all.
func (e *localEvidence) observations(now time.Time) (observations []Observation, serversSeen int) {
	e.sweep(now)
	silent := 0
	for server := range e.servers {
		o := e.observation(now, server, evidenceSpan)
		_, o.LostPrimary = e.lostPrimaries[server]
		if o.weight() == 0 && !o.LostPrimary {
			silent++
			continue
		}
		observations = append(observations, o)
	}
	for server := range e.lostPrimaries {
		if e.servers[server] == nil {
			observations = append(observations, Observation{Server: server, LostPrimary: true})
		}
	}
	slices.SortFunc(observations, compareObservations)
	return observations, silent + len(observations)
}

// compareObservations orders reportable observations before others, and then by server.
func compareObservations(a, b Observation) int {
	switch {
	case a.isReportable() == b.isReportable():
		return strings.Compare(a.Server, b.Server)
	case a.isReportable():
		return -1
	}
	return 1
}

// newReport returns a report of all observations of servers, without the tenants and the sender's own fields.
func (e *localEvidence) newReport(now time.Time) Report {
	r := Report{SentAt: now.UnixNano()}
	r.Servers, r.ServersSeen = e.observations(now)
	r.Complaints = countComplaints(r.Servers)
	for _, o := range r.Servers {
		r.FailedAttempts += int(o.Failed + o.Slow)
		r.Attempts += int(o.Good + o.Failed + o.Slow)
	}
	return r
}
