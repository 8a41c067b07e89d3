package discoveryleader

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// leaseRequests is this pooler's lease and its requests for it, of which one at a time is in flight.
type leaseRequests struct {
	lease             lease.LocalLease
	inFlight          bool
	sentAt            time.Duration // of the last request
	nextAt            time.Duration // the next request is sent no earlier
	votersSilent      bool          // the voters did not answer the last request
	votersSilentSince time.Duration // when the first of the unanswered requests was sent
}

// valid reports whether this pooler may act as the leader at now.
func (r *leaseRequests) valid(now time.Duration) bool {
	_, valid := r.lease.ValidToken(now)
	return valid
}

// handleResponse takes the voters' response to the request in flight.
func (r *leaseRequests) handleResponse(granted lease.Lease, ok bool, err error) {
	r.inFlight = false
	switch {
	case err == nil:
		r.votersSilent = false
		r.lease.HandleResponse(r.sentAt, granted, ok)
	case !r.votersSilent:
		r.votersSilent = true
		r.votersSilentSince = r.sentAt
	}
}

// silentFor reports whether the voters have not answered for a duration.
func (r *leaseRequests) silentFor(now, d time.Duration) bool {
	return r.votersSilent && now-r.votersSilentSince >= d
}

// scheduleRequest bounds when the next request is sent, after a response or a failure at now.
func (p *Participant) scheduleRequest(now time.Duration) {
	switch {
	case p.requests.valid(now):
		p.requests.nextAt = now + p.LeaseDuration/12 // after a renewal that failed there is time for another
	case p.requests.silentFor(now, p.LeaseDuration):
		// If the voters hear this pooler and it does not hear them, each request gives it a lease that it does not know of:
		// others must have time to request the lease once that has expired.
		p.requests.nextAt = now + 2*p.LeaseDuration
	default:
		// All poolers that hear nothing request the lease some twice in its duration.
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
		p.list.lastHeardAt = now
		if p.requests.votersSilent {
			p.requests.nextAt = now + 2*p.LeaseDuration // as in scheduleRequest
		}
	}
	return false
}

// nextRequestDue is when to send the next request: to renew, or once no leader has been heard of for half a lease duration or
// more.
func (p *Participant) nextRequestDue(leading bool) time.Duration {
	if leading {
		return max(p.requests.lease.RenewAt(), p.requests.nextAt)
	}
	return max(p.list.lastHeardAt+p.jittered(p.LeaseDuration), p.requests.nextAt)
}
