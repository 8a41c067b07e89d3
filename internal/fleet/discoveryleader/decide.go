package discoveryleader

import "time"

// decide returns the actions that are due at now, and updates the state as if they had been executed.
func (p *Participant) decide(now time.Duration) (actions Actions) {
	if !p.started {
		return actions
	}
	leading := p.expireLease(now)
	actions.RequestLease = p.decideRequest(now, leading)
	actions.OpenWatch, actions.CloseWatch = p.decideWatch(now, leading)
	if leading {
		actions.Announce = p.decideAnnouncement(now)
	} else {
		actions.FetchList = p.decideFetch(now)
	}
	return actions
}

// decideRequest reports whether to request or renew the lease: a request is due, none is in flight, and this pooler is a
// candidate. If so, it records the request as in flight.
func (p *Participant) decideRequest(now time.Duration, leading bool) bool {
	if p.FollowOnly || p.requests.inFlight || p.Outdated(now) || now < p.nextRequestDue(leading) {
		return false
	}
	p.requests.inFlight = true
	p.requests.sentAt = now
	return true
}

// decideWatch reports whether to open or to close this pooler's own watch. The watch is open while the policy wants the list and
// this pooler is the leader, can't use the leader's list, or has reached fallbackAt.
func (p *Participant) decideWatch(now time.Duration, leading bool) (openWatch, closeWatch bool) {
	needed := p.watch.wanted && (leading || p.list.addressUnknown || now >= p.fallbackAt())
	switch {
	case needed && !p.watch.open:
		p.watch.open = true
		return true, false
	case !needed && p.watch.open:
		p.watch.open = false
		p.watch.delivered = false
		return false, true
	}
	return false, false
}

// decideAnnouncement returns the leader's newest announcement if it is due, three times per lease duration. If the lease was
// granted after the watch had delivered a list, it first numbers that list as the first one under the lease.
func (p *Participant) decideAnnouncement(now time.Duration) Announcement {
	if !p.watch.delivered {
		return Announcement{}
	}
	if p.list.newest.Sequence == 0 {
		p.list.newest.Sequence = 1
		p.list.installed = p.list.newest
		p.nextAnnouncementAt = now
	}
	if now < p.nextAnnouncementAt {
		return Announcement{}
	}
	p.nextAnnouncementAt = now + p.LeaseDuration/3
	return p.list.newest
}

// decideFetch returns the newest announcement if this pooler lacks its list, a fetch is due and none is in flight. If so, it
// records the fetch as in flight.
func (p *Participant) decideFetch(now time.Duration) Announcement {
	if !p.list.missing() || p.list.fetchInFlight || p.list.addressUnknown || now < p.list.nextFetchAt {
		return Announcement{}
	}
	p.list.fetchInFlight = true
	return p.list.newest
}

// fallbackAt returns the time at which this pooler opens its own watch without being the leader. It counts from leaderSeenAt, or
// from missingSince if that is earlier: announcements whose list can't be fetched do not postpone the fallback.
func (p *Participant) fallbackAt() time.Duration {
	since := p.list.leaderSeenAt
	if p.list.missing() {
		since = min(since, p.list.missingSince)
	}
	return since + 2*p.LeaseDuration + time.Duration(p.JitterFraction*float64(p.LeaseDuration))
}

// NextTimerAt returns the latest time at which the caller must call HandleTimer next.
func (p *Participant) NextTimerAt(now time.Duration) time.Duration {
	leading := p.requests.valid(now)
	next := now + p.LeaseDuration
	wakeAt := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	if !p.FollowOnly && !p.requests.inFlight {
		wakeAt(p.nextRequestDue(leading))
	}
	switch {
	case leading:
		wakeAt(p.requests.lease.RenewDeadline())
		wakeAt(p.nextAnnouncementAt)
	case p.watch.wanted && !p.watch.open:
		wakeAt(p.fallbackAt())
	}
	if p.list.missing() {
		wakeAt(p.list.missingSince + p.MaxListLag)
		if !p.list.fetchInFlight && !p.list.addressUnknown {
			wakeAt(p.list.nextFetchAt)
		}
	}
	return next
}
