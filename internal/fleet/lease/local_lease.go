package lease

import "time"

// LocalLease is one pooler's view of its own lease under one name. Its times are durations on the pooler's monotonic clock,
// since any origin that the pooler keeps. The zero LocalLease is not granted. Invariant: it is valid only while the voters
// can grant the lease to nobody else.
type LocalLease struct {
	MaxClockDrift time.Duration // as in Lessor

	requestedAt   time.Duration // when the last granted request was sent
	lease         Lease         // as last granted
	renewDeadline time.Duration // requestedAt + lease.Duration - MaxClockDrift
	granted       bool
}

// HandleResponse takes the voters' response to a request that was sent at requestedAt. The duration counts from the request
// and not from the response, so that a slow response shortens the lease instead of stretching it. A response that was
// overtaken by a newer one changes nothing.
func (l *LocalLease) HandleResponse(requestedAt time.Duration, lease Lease, granted bool) {
	overtaken := requestedAt < l.requestedAt || granted && lease.Token < l.lease.Token
	switch {
	case overtaken:
	case !granted:
		l.granted = false
	default:
		l.requestedAt = requestedAt
		l.lease = lease
		l.granted = true
		l.renewDeadline = requestedAt + lease.Duration - l.MaxClockDrift
	}
}

// ValidToken returns the fencing token if the holder may act on the lease at now.
func (l *LocalLease) ValidToken(now time.Duration) (token uint64, valid bool) {
	if !l.granted || now >= l.renewDeadline {
		return 0, false
	}
	return l.lease.Token, true
}

// RenewDeadline is when the holder must stop acting unless the lease is renewed before; 0 while it is not granted.
func (l *LocalLease) RenewDeadline() time.Duration {
	if !l.granted {
		return 0
	}
	return l.renewDeadline
}

// RenewAt is when to request the renewal: after a third of the duration, so that two responses may be lost before the holder
// must stop acting.
func (l *LocalLease) RenewAt() time.Duration { return l.requestedAt + l.lease.Duration/3 }

// Drop makes the lease invalid at once: the pooler stalled, was cut off, or is shutting down.
func (l *LocalLease) Drop() { l.granted = false }

// ShouldActAlone reports whether a pooler acts at now as without leases, within its share: it has heard of no holder since
// lastHeardAt (a time on its monotonic clock) for a lease's duration and a backoff, which jitter, from 0 up to 1 and the
// pooler's own, spreads over another duration.
func ShouldActAlone(now, lastHeardAt, duration time.Duration, jitter float64) bool {
	return now >= lastHeardAt+duration+time.Duration(jitter*float64(duration))
}
