package discoveryleader

import "time"

// decide finds what is to be done at now.
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

// decideRequest sends a request for the lease, or for its renewal, when one is due and this pooler is a candidate.
func (p *Participant) decideRequest(now time.Duration, leading bool) bool {
	if p.FollowOnly || p.requests.inFlight || p.Outdated(now) || now < p.nextRequestDue(leading) {
		return false
	}
	p.requests.inFlight = true
	p.requests.sentAt = now
	return true
}

// decideWatch has the own watch open while the list is wanted and this pooler is the leader, can't use the leader's list, or
// has heard of no leader for long enough.
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

// decideAnnouncement repeats the leader's newest announcement three times in a lease duration, and makes the first one under
// a lease that came while the watch was open.
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

// decideFetch fetches the newest announcement's list when it is missing here, one fetch at a time.
func (p *Participant) decideFetch(now time.Duration) Announcement {
	if !p.list.missing() || p.list.fetchInFlight || p.list.addressUnknown || now < p.list.nextFetchAt {
		return Announcement{}
	}
	p.list.fetchInFlight = true
	return p.list.newest
}

// fallbackAt is when this pooler acts alone, counted from the last announcement; one whose list does not come does not count.
func (p *Participant) fallbackAt() time.Duration {
	from := p.list.lastHeardAt
	if p.list.missing() {
		from = min(from, p.list.missingSince)
	}
	return from + 2*p.LeaseDuration + time.Duration(p.JitterFraction*float64(p.LeaseDuration))
}

// NextTimerAt is when HandleTimer is owed next, at the latest.
func (p *Participant) NextTimerAt(now time.Duration) time.Duration {
	leading := p.requests.valid(now)
	next := now + p.LeaseDuration
	consider := func(at time.Duration) {
		if at > now {
			next = min(next, at)
		}
	}
	if !p.FollowOnly && !p.requests.inFlight {
		consider(p.nextRequestDue(leading))
	}
	switch {
	case leading:
		consider(p.requests.lease.RenewDeadline())
		consider(p.nextAnnouncementAt)
	case p.watch.wanted && !p.watch.open:
		consider(p.fallbackAt())
	}
	if p.list.missing() {
		consider(p.list.missingSince + p.MaxListLag)
		if !p.list.fetchInFlight && !p.list.addressUnknown {
			consider(p.list.nextFetchAt)
		}
	}
	return next
}
