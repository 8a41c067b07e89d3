package discoveryleader

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// leaseRequests holds this pooler's lease and the state of its requests for it. At most one request is in flight.
type leaseRequests struct {
	lease           lease.LocalLease
	inFlight        bool
	sentAt          time.Duration // time of the last request
	nextAt          time.Duration // earliest time of the next request
	unanswered      bool          // the voters did not respond to the last request
	unansweredSince time.Duration // time of the first of the consecutive unanswered requests
}

// valid reports whether this pooler may act as the leader at now.
func (r *leaseRequests) valid(now time.Duration) bool {
	_, valid := r.lease.ValidToken(now)
	return valid
}

// handleResponse processes the voters' response to the request in flight. A non-nil err means that there was none.
func (r *leaseRequests) handleResponse(granted lease.Lease, ok bool, err error) {
	r.inFlight = false
	switch {
	case err == nil:
		r.unanswered = false
		r.lease.HandleResponse(r.sentAt, granted, ok)
	case !r.unanswered:
		r.unanswered = true
		r.unansweredSince = r.sentAt
	}
}

// unansweredFor reports whether the voters have not responded for at least the duration d.
func (r *leaseRequests) unansweredFor(now, d time.Duration) bool {
	return r.unanswered && now-r.unansweredSince >= d
}

// scheduleRequest sets the earliest time of the next request, after a response or a failure at now.
func (p *Participant) scheduleRequest(now time.Duration) {
	switch {
	case p.requests.valid(now):
		p.requests.nextAt = now + p.LeaseDuration/12 // leaves time to retry a failed renewal
	case p.requests.unansweredFor(now, p.LeaseDuration):
		// The requests may reach the voters while the responses are lost. Each request then grants this pooler a lease that it
		// does not know of, so other poolers need time to request the lease after that one has expired.
		p.requests.nextAt = now + 2*p.LeaseDuration
	default:
		// Each pooler that receives no announcements requests the lease about twice per lease duration.
		p.requests.nextAt = max(p.requests.nextAt, now+p.jittered(p.LeaseDuration/2))
	}
}

// expireLease drops a lease whose RenewDeadline has passed, and reports whether this pooler may act as the leader at now.
func (p *Participant) expireLease(now time.Duration) (leading bool) {
	if p.requests.valid(now) {
		return true
	}
	if p.requests.lease.RenewDeadline() > 0 {
		p.requests.lease.Drop()
		p.list.leaderSeenAt = now
		if p.requests.unanswered {
			p.requests.nextAt = now + 2*p.LeaseDuration // as in scheduleRequest
		}
	}
	return false
}

// nextRequestDue returns the time at which to send the next request: the time for the renewal if this pooler is the leader, or
// else a jittered lease duration after a leader was last seen. It is never earlier than nextAt.
func (p *Participant) nextRequestDue(leading bool) time.Duration {
	if leading {
		return max(p.requests.lease.RenewAt(), p.requests.nextAt)
	}
	return max(p.list.leaderSeenAt+p.jittered(p.LeaseDuration), p.requests.nextAt)
}
