package policy

import (
	"fmt"
	"slices"
	"time"
)

// Outlier detection: a server that fails more than all servers do, or is silent, is ejected: it
// takes no reads by turns until a trial request is served there.

const (
	// ejectionFailureRate is the share of recent attempts failing at which a server is ejected.
	ejectionFailureRate = 0.5
	// failureRateGain is the weight of one outcome in a server's failure rate.
	failureRateGain = 0.3
	// overallFailureRateGain is the weight of one outcome in the failure rate of all servers
	// together.
	overallFailureRateGain = 0.1
	// initialTrialInterval is the span from an ejection to the first trial. It doubles with each
	// trial.
	initialTrialInterval = 300 * time.Millisecond
	// maxTrialInterval bounds the span between two trials.
	maxTrialInterval = 3 * time.Second
)

// ejection is a server's failure rate and whether it is ejected for it. All fields but failureRate
// count only while it is.
type ejection struct {
	failureRate   float64 // share of recent attempts that failed, from 0 to 1
	ejected       bool
	byFleet       bool          // by what other poolers found alone
	ejectedAt     time.Duration // attempts sent before do not count against the trial
	nextTrialAt   time.Duration
	trialInterval time.Duration // from the next trial to the one after it
}

// begin ejects the server and schedules its first trial.
func (e *ejection) begin(now time.Duration) {
	e.ejected = true
	e.ejectedAt = now
	e.trialInterval = initialTrialInterval
	e.nextTrialAt = now + initialTrialInterval
}

// end makes the server usable again. Its failure rate stays.
func (e *ejection) end() {
	e.ejected = false
	e.byFleet = false
}

// startTrial records that a request is sent as a trial, and when the next trial may be.
func (e *ejection) startTrial(now time.Duration) {
	e.nextTrialAt = now + e.trialInterval
	e.trialInterval = min(2*e.trialInterval, maxTrialInterval)
}

// observeFailure counts a failure against a server, as far as it fails more than all servers do:
// where all refuse, connections are scarce, and that ejects none.
func (r *Router) observeFailure(s *server) {
	e := &s.ejection
	e.failureRate += failureRateGain * (1 - e.failureRate)
	if (e.failureRate-r.overall.failureRate)/(1-r.overall.failureRate) >= ejectionFailureRate {
		r.eject(s, "fails")
	}
	r.overall.failureRate += overallFailureRateGain * (1 - r.overall.failureRate)
}

// eject ejects a server on this pooler's own evidence. If the fleet had ejected it, the ejection is
// from now on this pooler's too.
func (r *Router) eject(s *server, reason string) {
	s.ejection.byFleet = false
	if s.ejection.ejected {
		return
	}
	s.ejection.begin(r.now)
	r.actions.Log(fmt.Sprintf("group %d: store %d %s and loses its turn", s.Group, s.ID, reason))
}

// endEjectionByAnswer ends the ejection of a server that has served a request and has not failed
// too often of late.
func (r *Router) endEjectionByAnswer(s *server) {
	if !s.ejection.ejected || s.ejection.failureRate >= ejectionFailureRate {
		return
	}
	s.ejection.end()
	r.actions.Log(fmt.Sprintf("group %d: store %d has its turn back", s.Group, s.ID))
}

// ObserveFleetEjection records that the poolers together hold a server for an outlier, or no longer
// do. The server is ejected until a trial is served or the fleet ends the ejection, unless it has
// just answered here, or no other member of its group may be used.
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
	if !s.ejection.ejected && !justAnswered && r.groupHasOther(s) {
		r.eject(s, "is bad by the fleet's word")
		s.ejection.byFleet = true
	}
}

// endFleetEjection ends an ejection that no evidence of this pooler stands behind.
func (r *Router) endFleetEjection(s *server) {
	if !s.ejection.byFleet {
		return
	}
	g := r.groupFor(s.Group)
	s.ejection.end()
	r.dispatchQueued(g)
}

// groupHasOther reports whether a server's group has another member that requests do not go past.
func (r *Router) groupHasOther(s *server) bool {
	return slices.ContainsFunc(r.groupFor(s.Group).members, func(other *server) bool {
		return other != s && !r.Unavailable(other.ID)
	})
}
