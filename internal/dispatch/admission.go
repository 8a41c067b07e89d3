package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// admission rejects requests before the guards and the policy see them, and caps the deadlines of the others.
type admission struct {
	maxOpen        int           // open requests above which further ones are rejected
	writesRejected bool          // the pooler's settings are older than its fleet allows
	deadlineLimit  time.Duration // Unix time, the latest deadline of requests submitted from now on; 0: no limit
}

// SetWritesAllowed sets whether writes are admitted. If not, they are rejected immediately, with the retry delay of the
// settings. Writes that have already been admitted continue.
func (d *Dispatcher) SetWritesAllowed(allowed bool) { d.admission.writesRejected = !allowed }

// SetDeadlineLimit caps the deadlines of requests submitted from now on at the Unix time limit; 0 removes the cap.
func (d *Dispatcher) SetDeadlineLimit(limit time.Duration) { d.admission.deadlineLimit = limit }

func (a *admission) limitDeadline(deadline time.Duration) time.Duration {
	if a.deadlineLimit > 0 {
		return min(deadline, a.deadlineLimit)
	}
	return deadline
}

// rejects reports whether a request is rejected without consulting the guards.
func (a *admission) rejects(open int, class *policy.Class) bool {
	return open >= a.maxOpen || a.writesRejected && class.Access == policy.Write
}

// admit reports whether a request is passed to the policy. If not, admit has queued the request's final answer.
func (d *Dispatcher) admit(o *OpenRequest, now time.Duration) bool {
	if d.admission.rejects(len(d.requests.open), &d.settings.Classes[o.request.Class]) {
		o.answerUnadmitted(FinalAnswer{Rejected: true}, d.retryAfter())
		return false
	}
	for _, guard := range d.guards {
		decision := guard.Admit(now, o.request)
		if decision.Reroute {
			o.request.Group = decision.Group
		}
		switch {
		case decision.Answer != nil:
			o.answerUnadmitted(FinalAnswer{Served: true, Answer: decision.Answer}, 0)
			return false
		case decision.Reject:
			o.answerUnadmitted(FinalAnswer{Rejected: true}, decision.RetryAfter)
			return false
		}
	}
	return true
}
