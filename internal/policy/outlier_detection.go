package policy

import (
	"fmt"
	"slices"
	"time"
)

// Outlier detection: a server is ejected if it fails more often than the servers do on average, or if
// it is silent. An ejected server is excluded from the selection of replicas until it serves a trial
// request.

const (
	// ejectionFailureRate is the fraction of failing recent attempts from which a server is ejected.
	ejectionFailureRate = 0.5
	// failureRateGain is the weight of one outcome in a server's failure rate.
	failureRateGain = 0.3
	// overallFailureRateGain is the weight of one outcome in the combined failure rate of all servers.
	overallFailureRateGain = 0.1
	// initialTrialInterval is the interval from an ejection to the first trial. It doubles with each
	// trial.
	initialTrialInterval = 300 * time.Millisecond
	// maxTrialInterval is the maximum interval between two trials.
	maxTrialInterval = 3 * time.Second
)

// ejection is a server's failure rate and the state of its ejection. All fields except failureRate are
// meaningful only while the server is ejected.
type ejection struct {
	failureRate   float64 // fraction of recent attempts that failed, from 0 to 1
	ejected       bool
	byFleet       bool          // whether the only evidence is from other poolers
	ejectedAt     time.Duration // attempts sent earlier do not use capacity that a trial needs
	nextTrialAt   time.Duration
	trialInterval time.Duration // interval from the next trial to the one after it
}

// begin ejects the server and sets the time of its first trial.
func (e *ejection) begin(now time.Duration) {
	e.ejected = true
	e.ejectedAt = now
	e.trialInterval = initialTrialInterval
	e.nextTrialAt = now + initialTrialInterval
}

// end ends the ejection. The failure rate is kept.
func (e *ejection) end() {
	e.ejected = false
	e.byFleet = false
}

// startTrial records that a trial request is sent, and sets the time of the next trial.
func (e *ejection) startTrial(now time.Duration) {
	e.nextTrialAt = now + e.trialInterval
	e.trialInterval = min(2*e.trialInterval, maxTrialInterval)
}

// observeFailure records a failure of a server and ejects it if its failure rate exceeds the combined
// rate of all servers by far enough. If all servers refuse connections, connections are scarce and no
// server is ejected.
func (r *Router) observeFailure(s *server) {
	e := &s.ejection
	e.failureRate += failureRateGain * (1 - e.failureRate)
	if (e.failureRate-r.overall.failureRate)/(1-r.overall.failureRate) >= ejectionFailureRate {
		r.eject(s, "fails too often")
	}
	r.overall.failureRate += overallFailureRateGain * (1 - r.overall.failureRate)
}

// eject ejects a server on this pooler's own evidence. If the server is already ejected because of
// reports by the fleet, the ejection no longer depends on them.
func (r *Router) eject(s *server, reason string) {
	s.ejection.byFleet = false
	if s.ejection.ejected {
		return
	}
	s.ejection.begin(r.now)
	r.actions.Log(fmt.Sprintf("group %d: server %d %s; ejected", s.Group, s.ID, reason))
}

// endEjectionByAnswer ends the ejection of a server that has served a request, if its failure rate is
// below ejectionFailureRate.
func (r *Router) endEjectionByAnswer(s *server) {
	if !s.ejection.ejected || s.ejection.failureRate >= ejectionFailureRate {
		return
	}
	s.ejection.end()
	r.actions.Log(fmt.Sprintf("group %d: server %d served a request; ejection ended", s.Group, s.ID))
}

// ObserveFleetEjection records that the fleet has ejected a server as an outlier, or has ended the
// ejection. The server is ejected until it serves a trial or the fleet ends the ejection, unless it has
// recently answered a request of this pooler or no other member of its group is available.
func (r *Router) ObserveFleetEjection(now time.Duration, id uint32, ejected bool) {
	r.advanceClock(now)
	s := r.servers.byID[id]
	if s == nil {
		return
	}
	if !ejected {
		r.endFleetEjection(s)
		return
	}
	justAnswered := s.health.lastAnswerAt > 0 && s.health.answeredRecently(r.now)
	if !s.ejection.ejected && !justAnswered && r.groupHasOtherAvailable(s) {
		r.eject(s, "is an outlier according to the fleet")
		s.ejection.byFleet = true
	}
}

// endFleetEjection ends the ejection of a server for which this pooler has no evidence of its own.
func (r *Router) endFleetEjection(s *server) {
	if !s.ejection.byFleet {
		return
	}
	g := r.groupFor(s.Group)
	s.ejection.end()
	r.dispatchQueued(g)
}

// groupHasOtherAvailable reports whether another member of a server's group is available.
func (r *Router) groupHasOtherAvailable(s *server) bool {
	return slices.ContainsFunc(r.groupFor(s.Group).members, func(other *server) bool {
		return other != s && !r.Unavailable(other.ID)
	})
}
