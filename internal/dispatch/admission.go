package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// admission decides which requests the policy is to hear of at all, beside the guards.
type admission struct {
	maxOpen        int
	writesRejected bool          // the pooler acts on settings that its fleet has left behind
	deadlineLimit  time.Duration // Unix time by which all later requests must have their answers; 0: none
}

// SetWritesAllowed has writes admitted, or rejected at once with the retry time that the settings allow. Writes that have
// been admitted are carried on.
func (d *Dispatcher) SetWritesAllowed(allowed bool) { d.admission.writesRejected = !allowed }

// SetDeadlineLimit caps the deadline of every later request at the Unix time limit; 0 lifts the cap.
func (d *Dispatcher) SetDeadlineLimit(limit time.Duration) { d.admission.deadlineLimit = limit }

func (a *admission) limitDeadline(deadline time.Duration) time.Duration {
	if a.deadlineLimit > 0 {
		return min(deadline, a.deadlineLimit)
	}
	return deadline
}

// rejects reports whether a request is rejected whatever the guards say.
func (a *admission) rejects(open int, class *policy.Class) bool {
	return open >= a.maxOpen || a.writesRejected && class.Access == policy.Write
}

// admit reports whether the policy is to hear of a request. If not, its answer is under way.
func (d *Dispatcher) admit(o *OpenRequest, now time.Duration) bool {
	if d.admission.rejects(len(d.requests.open), &d.settings.Classes[o.request.Class]) {
		o.answerUnadmitted(FinalAnswer{Rejected: true}, d.retryAfter())
		return false
	}
	for _, guard := range d.guards {
		admission := guard.Admit(now, o.request)
		if admission.Reroute {
			o.request.Group = admission.Group
		}
		switch {
		case admission.Answer != nil:
			o.answerUnadmitted(FinalAnswer{Served: true, Answer: admission.Answer}, 0)
			return false
		case admission.Reject:
			o.answerUnadmitted(FinalAnswer{Rejected: true}, admission.RetryAfter)
			return false
		}
	}
	return true
}
