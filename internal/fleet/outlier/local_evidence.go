package outlier

import (
	"math"
	"slices"
	"strings"
	"time"

	"threadsail/internal/policy"
)

const (
	// evidenceWindow is the maximum age of an attempt that counts as evidence. A server that a pooler avoids is tried every 3 s. Each
	// such attempt must count until the next one, but not much longer, so that successful probes end an ejection soon.
	evidenceWindow = 3500 * time.Millisecond
	// maxRecentAttempts is the maximum number of attempts that count, the most recent ones.
	maxRecentAttempts = 6
	// consecutiveFailures is the number of consecutive failed or slow attempts after which a pooler avoids a server on its own evidence. A
	// timeout counts as this many failures.
	consecutiveFailures = 2
	// serverRetention is how long a server is kept after its last good answer when there is no newer evidence.
	serverRetention = 10 * time.Second
	// freshEvidenceWindow is the time within which an observer needs minFreshGood good answers, and no failed or slow attempt, to override
	// the fleet's ejection.
	freshEvidenceWindow = 2 * time.Second
	minFreshGood        = 2
	maxServers          = 512 // number of servers that one observer records
	maxLostPrimaries    = 64  // number of lost primaries that one observer records
	// minTimeoutLatency is the time without an answer from which an attempt has failed when the class has no baseline latency. If a client
	// gives up sooner, that is no evidence against the server.
	minTimeoutLatency = 150 * time.Millisecond
)

// Outcome is the result of one attempt, as evidence about its server.
type Outcome uint8

// The outcomes of attempts.
const (
	Success     Outcome = iota // the server answered
	Failure                    // the connection failed or broke, or the server returned an error that another server did not return
	Timeout                    // the server did not answer in the time allowed
	slowSuccess                // the server answered, but isSlow reported its latency
)

// FromResult converts the result of an attempt, as reported by dispatch.Dispatcher.OnOutcome, to an outcome. ok is false if the result is
// no evidence about the server.
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

// attempt is a finished attempt.
type attempt struct {
	at      time.Time
	outcome Outcome
}

// serverRecord is the local evidence about one server.
type serverRecord struct {
	attempts   [maxRecentAttempts]attempt // ring buffer
	nextIndex  int                        // index of the oldest attempt, which the next one replaces
	lastGoodAt time.Time
	latencies  map[int]*latencyEstimate // by class
}

func (r *serverRecord) add(now time.Time, outcome Outcome) {
	r.attempts[r.nextIndex] = attempt{now, outcome}
	r.nextIndex = (r.nextIndex + 1) % maxRecentAttempts
}

// last returns the i-th most recent attempt, counting from 1.
func (r *serverRecord) last(i int) attempt {
	return r.attempts[(r.nextIndex-i+maxRecentAttempts)%maxRecentAttempts]
}

// observeLatency updates the latency estimate of a class, unless there are already maxClasses estimates of other classes.
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

// localEvidence is the evidence that this pooler has collected itself. It is not safe for concurrent use.
type localEvidence struct {
	servers       map[string]*serverRecord
	lostPrimaries map[string]time.Time // by server: when this pooler lost it as the primary of its group
	baselines     baselineLatencies
}

func newLocalEvidence() localEvidence {
	return localEvidence{servers: map[string]*serverRecord{}, lostPrimaries: map[string]time.Time{}, baselines: baselineLatencies{byClass: map[int]time.Duration{}}}
}

// observe records an attempt. A success counts as slow if its latency is slow for its class.
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
		e.baselines.update(now, e.servers)
		slow := e.baselines.isSlow(class, latency, math.MaxInt64)
		record.observeLatency(class, latency)
		if slow {
			outcome = slowSuccess
		} else {
			record.lastGoodAt = now
		}
	}
	record.add(now, outcome)
}

// observeTimeout records an attempt without an answer as consecutiveFailures failures. It ignores an attempt that was given up too soon.
func (e *localEvidence) observeTimeout(now time.Time, record *serverRecord, class int, latency time.Duration) {
	if !e.baselines.isSlow(class, latency, minTimeoutLatency) {
		return
	}
	for range consecutiveFailures {
		record.add(now, Failure)
	}
}

// record returns the record of a server, a new one if there is none, or nil if there are maxServers others.
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

// recordLostPrimary records that this pooler has lost a server as the primary of its group.
func (e *localEvidence) recordLostPrimary(now time.Time, server string) {
	e.sweep(now)
	if len(e.lostPrimaries) < maxLostPrimaries {
		e.lostPrimaries[server] = now
	}
}

// observation returns the observation of a server from its most recent attempts within span. If the latest consecutiveFailures or more
// attempts failed or were slow, only these count: the pooler avoids the server then and gets little new evidence, so that older good
// answers would outweigh the failures until they leave the window.
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

// overridesFleet reports whether this pooler's own fresh evidence overrides the fleet's ejection of a server: at least minFreshGood good
// answers within freshEvidenceWindow, and no failed or slow attempt.
func (e *localEvidence) overridesFleet(now time.Time, server string) bool {
	o := e.observation(now, server, freshEvidenceWindow)
	return o.Good >= minFreshGood && o.Failed+o.Slow == 0
}

// isResponsive reports whether a server has given this pooler a good answer within evidenceWindow, and this pooler has no complaint.
func (e *localEvidence) isResponsive(now time.Time, server string) bool {
	o := e.observation(now, server, evidenceWindow)
	return o.Good > 0 && !o.complains()
}

// sweep removes the servers without recent evidence, and the lost primaries older than evidenceWindow.
func (e *localEvidence) sweep(now time.Time) {
	for server, record := range e.servers {
		if now.Sub(record.lastGoodAt) >= serverRetention && e.observation(now, server, evidenceWindow).weight() == 0 {
			delete(e.servers, server)
		}
	}
	for server, lostAt := range e.lostPrimaries {
		if now.Sub(lostAt) >= evidenceWindow {
			delete(e.lostPrimaries, server)
		}
	}
}

// observations returns the observations of all servers with evidence within evidenceWindow, reportable ones first. serversSeen is the
// number of these servers and of the recorded servers without recent evidence.
func (e *localEvidence) observations(now time.Time) (observations []Observation, serversSeen int) {
	e.sweep(now)
	idle := 0
	for server := range e.servers {
		o := e.observation(now, server, evidenceWindow)
		_, o.LostPrimary = e.lostPrimaries[server]
		if o.weight() == 0 && !o.LostPrimary {
			idle++
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
	return observations, idle + len(observations)
}

// compareObservations orders reportable observations before others, and observations of the same kind by server.
func compareObservations(a, b Observation) int {
	switch {
	case a.isReportable() == b.isReportable():
		return strings.Compare(a.Server, b.Server)
	case a.isReportable():
		return -1
	}
	return 1
}

// newReport returns a report of all observations of servers. The caller fills in the tenants, StartedAt, Zone and Sequence.
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
