package lease

import "time"

// LocalLease is one pooler's view of its own lease under one name. Its times are durations on the pooler's monotonic clock, since
// any fixed origin. The zero LocalLease is not granted. Invariant: it is valid only while the voters can't grant the lease to
// another pooler.
type LocalLease struct {
	MaxClockDrift time.Duration // as in Lessor

	requestedAt   time.Duration // time at which the last granted request was sent
	lease         Lease         // the lease as last granted
	renewDeadline time.Duration // requestedAt + lease.Duration - MaxClockDrift
	granted       bool          // false after a denial or Drop
}

// HandleResponse processes the voters' response to a request that was sent at requestedAt. The duration counts from the request
// and not from the response, so that a slow response shortens the lease and never extends it. A response that is older than
// one already processed changes nothing.
func (l *LocalLease) HandleResponse(requestedAt time.Duration, lease Lease, granted bool) {
	stale := requestedAt < l.requestedAt || granted && lease.Token < l.lease.Token
	switch {
	case stale:
	case !granted:
		l.granted = false
	default:
		l.requestedAt = requestedAt
		l.lease = lease
		l.granted = true
		l.renewDeadline = requestedAt + lease.Duration - l.MaxClockDrift
	}
}

// ValidToken returns the lease's fencing token, and whether the holder may act on the lease at now.
func (l *LocalLease) ValidToken(now time.Duration) (token uint64, valid bool) {
	if !l.granted || now >= l.renewDeadline {
		return 0, false
	}
	return l.lease.Token, true
}

// RenewDeadline returns the time at which the holder must stop acting unless the lease has been renewed, or 0 if the lease is
// not granted.
func (l *LocalLease) RenewDeadline() time.Duration {
	if !l.granted {
		return 0
	}
	return l.renewDeadline
}

// RenewAt returns the time at which to request the renewal: after a third of the duration, so that two responses may be lost
// before the holder must stop acting.
func (l *LocalLease) RenewAt() time.Duration { return l.requestedAt + l.lease.Duration/3 }

// Drop invalidates the lease immediately, for example because the pooler stalled, was partitioned, or is shutting down.
func (l *LocalLease) Drop() { l.granted = false }

// ShouldActAlone reports whether a pooler acts at now within its share, as it does without leases. It returns true when a lease
// duration and a backoff have passed since holderSeenAt, the time on the pooler's monotonic clock at which it last knew of a
// holder. The pooler's jitter, from 0 up to 1, is the backoff as a fraction of the duration.
func ShouldActAlone(now, holderSeenAt, duration time.Duration, jitter float64) bool {
	return now >= holderSeenAt+duration+time.Duration(jitter*float64(duration))
}
