package policy

import (
	"slices"
	"time"
)

// server is what a Router knows of one server. Each part stands in a type of its own, with its
// decisions in the file that the part belongs to.
type server struct {
	endpoint
	role             roleEvidence
	replication      replicationPosition
	outstanding      outstandingAttempts
	health           serverHealth
	ejection         ejection
	latency          serverLatency
	window           concurrencyWindow
	pause            overloadPause
	slowStart        slowStart
	utilization      reportedUtilization
	roundRobinCredit float64 // turns that a group with weights owes the server
}

// endpoint is a server as the endpoint list has it.
type endpoint struct {
	Member
	listed      bool          // it is among the members of its group
	sendUntil   time.Duration // no attempt from here on: it drains or was removed; 0 for no limit
	wasDraining bool          // it has been listed as draining
}

// outstandingAttempts are the attempts that a server has not answered.
type outstandingAttempts struct {
	attempts             []*attempt    // in the order of their sends
	lastEndedAt          time.Duration // when an attempt last ended
	latestAnsweredSendAt time.Duration // when the latest attempt that was answered had been sent
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

// sentSince returns the number of outstanding attempts that were sent at a time or later.
func (o *outstandingAttempts) sentSince(at time.Duration) int {
	for i, a := range o.attempts {
		if a.sentAt >= at {
			return len(o.attempts) - i
		}
	}
	return 0
}

// replicationPosition is how much of its group's log a server is known to have applied.
type replicationPosition struct {
	position      time.Duration // clock time up to which all is applied: a lower bound, never lowered
	advancedAt    time.Duration // when the position was last found to be higher
	probedAt      time.Duration // when the server was last asked for its position
	lagRejectedAt time.Duration // when it last turned a read away as too far behind
}

func (p *replicationPosition) advance(position, now time.Duration) {
	if position > p.position {
		p.position = position
		p.advancedAt = now
	}
}

// reportedUtilization is the load that a server last reported.
type reportedUtilization struct {
	share      float64 // of its cores in use, from 0 to 1
	reportedAt time.Duration
}

// serverTable holds the servers that the list has named and that are not yet forgotten.
type serverTable struct {
	byID    map[uint32]*server
	ordered []*server // in the order of their first listing
	scratch []*server // reused by rankedReplicas
}

func (t *serverTable) add(s *server) {
	t.byID[s.ID] = s
	t.ordered = append(t.ordered, s)
}

func (t *serverTable) remove(s *server) {
	delete(t.byID, s.ID)
	t.ordered = slices.DeleteFunc(t.ordered, func(other *server) bool { return other == s })
}

// Unavailable reports whether requests now go past a server: it is unknown, not listed as ready,
// unreachable or ejected.
func (r *Router) Unavailable(id uint32) bool {
	s := r.servers.byID[id]
	return s == nil || s.State != Ready || s.ejection.ejected || s.health.unreachable
}
