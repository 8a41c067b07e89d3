package policy

import (
	"slices"
	"time"
)

// server is the state that a Router keeps for one server. The type of each field is declared next to
// the decisions that use it, or below.
type server struct {
	endpoint
	role             roleEvidence
	replication      replicationPosition
	outstanding      outstandingAttempts
	health           serverHealth
	ejection         ejection
	latency          serverLatency
	window           concurrencyWindow
	backoff          overloadBackoff
	slowStart        slowStart
	utilization      reportedUtilization
	roundRobinCredit float64 // accumulated weight for weighted round robin
}

// endpoint is a server's entry in the endpoint list.
type endpoint struct {
	Member
	listed      bool          // whether it is a member of its group
	sendUntil   time.Duration // latest time of a send while it is draining or removed; 0 for no limit
	wasDraining bool          // whether it has been listed as draining
}

// outstandingAttempts holds the attempts that a server has not answered.
type outstandingAttempts struct {
	attempts             []*attempt    // in the order in which they were sent
	lastEndedAt          time.Duration // time at which an attempt last ended
	latestAnsweredSendAt time.Duration // latest send time of the attempts that were answered
}

func (o *outstandingAttempts) add(a *attempt) { o.attempts = append(o.attempts, a) }

// finish records the end of an attempt.
func (o *outstandingAttempts) finish(a *attempt, result Result, now time.Duration) {
	if i := slices.Index(o.attempts, a); i >= 0 {
		o.attempts = slices.Delete(o.attempts, i, i+1)
	}
	o.lastEndedAt = now
	if result == OK || result == Misdirected || result == ServerError {
		o.latestAnsweredSendAt = max(o.latestAnsweredSendAt, a.sentAt)
	}
}

func (o *outstandingAttempts) count() int { return len(o.attempts) }

// sentSince returns the number of outstanding attempts that were sent at or after the given time.
func (o *outstandingAttempts) sentSince(at time.Duration) int {
	for i, a := range o.attempts {
		if a.sentAt >= at {
			return len(o.attempts) - i
		}
	}
	return 0
}

// replicationPosition is how far a server is known to have applied its group's log.
type replicationPosition struct {
	position      time.Duration // lower bound of the applied commit time; never decreases
	advancedAt    time.Duration // time at which the position last increased
	probedAt      time.Duration // time of the last probe for the position
	lagRejectedAt time.Duration // time at which the server last rejected a read because of its lag
	notReported   bool          // whether the last probe showed a replica that reports no position
}

// advance raises the position if the given one is higher.
func (p *replicationPosition) advance(position, now time.Duration) {
	if position > p.position {
		p.position = position
		p.advancedAt = now
		p.notReported = false
	}
}

// reportedUtilization is the CPU utilization that a server last reported.
type reportedUtilization struct {
	share      float64 // fraction of its cores in use, from 0 to 1
	reportedAt time.Duration
}

// serverTable holds all servers that have been listed and whose state has not been deleted.
type serverTable struct {
	byID    map[uint32]*server
	ordered []*server // in the order in which they were first listed
	scratch []*server // buffer that rankedReplicas reuses
}

func (t *serverTable) add(s *server) {
	t.byID[s.ID] = s
	t.ordered = append(t.ordered, s)
}

func (t *serverTable) remove(s *server) {
	delete(t.byID, s.ID)
	t.ordered = slices.DeleteFunc(t.ordered, func(other *server) bool { return other == s })
}

// Unavailable reports whether the server with the given ID is excluded from selection because it is
// unknown, not listed as ready, unreachable or ejected.
func (r *Router) Unavailable(id uint32) bool {
	s := r.servers.byID[id]
	return s == nil || s.State != Ready || s.ejection.ejected || s.health.unreachable
}
