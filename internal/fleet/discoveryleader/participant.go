// Package discoveryleader decides what one pooler does so that a single pooler of the fleet, the leader, polls the discovery
// service for all. By the lease of package lease it decides whether to request the lease, to act as the leader, to follow
// another leader, or to act alone.
//
// The leader alone keeps a watch on the discovery service and announces each server list to the fleet. The others fetch the
// announced lists, and open a watch of their own only while no leader is heard of. What holds:
//   - A list is announced only while the lease is valid, with the lease's token and a number that grows under it
//     (Announcement).
//   - An announcement or list older than one seen before is refused (fencing): a leader that was stalled can't turn the fleet
//     back.
//   - A pooler is never without a way to a list for longer than MaxFallbackDelay: the lease only saves calls.
//
// The package does no I/O, reads no clock and starts no goroutine. A Participant belongs to one goroutine, the pooler's event
// loop, which reports what happened and when, and carries out the Actions that each report returns. The package does not
// decide which servers are used, nor who holds the lease.
package discoveryleader

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName is the name of the leader's lease.
const LeaseName lease.Name = "lists"

// Options are one pooler's settings as a participant.
type Options struct {
	Name           string        // this pooler's name in the fleet
	LeaseDuration  time.Duration // requested of the voters
	MaxClockDrift  time.Duration // as in lease.Lessor
	JitterFraction float64       // from 0 up to 1, by the pooler's own seed: when it requests, fetches and falls back, among all poolers
	PoolerCount    int           // of the fleet, over which fetches are spread
	// FollowOnly has this pooler never request the lease; other poolers are the candidates.
	FollowOnly bool
	// MaxListLag is how long this pooler may lack a list that the fleet has, while neither a fetch nor its own watch brings the
	// list, before it is Outdated; 0: no bound.
	MaxListLag time.Duration
}

// Actions are what the caller has to carry out, in this order.
type Actions struct {
	CloseWatch   bool         // close the own watch on the discovery service
	ReleaseLease bool         // release the lease at the voters: the leader has stopped acting
	OpenWatch    bool         // open the own watch
	RequestLease bool         // request or renew the lease; HandleLeaseResponse is owed
	Announce     Announcement // Token above 0: announce this to the fleet, before the RenewDeadline
	FetchList    Announcement // Sequence above 0: fetch this list from its Source; HandleList or HandleFetchFailed is owed
}

// Participant is one pooler's part in the polling of the discovery service. Its times are on the pooler's monotonic clock. It
// is not safe for use by several goroutines.
type Participant struct {
	Options

	started            bool // the list has been wanted once
	excluded           bool // the operators no longer allow this pooler's version
	requests           leaseRequests
	watch              watchState
	list               listState
	nextAnnouncementAt time.Duration
}

// watchState is the pooler's own watch on the discovery service.
type watchState struct {
	wanted    bool // the policy waits for the list
	open      bool
	delivered bool // the watch has brought a list since it was opened
}

// HandleListWanted reports that the policy asks for the list: at its start, and after a watch has failed.
func (p *Participant) HandleListWanted(now time.Duration) Actions {
	if !p.started {
		p.started = true
		p.list.lastHeardAt = now
		p.requests.lease.MaxClockDrift = p.MaxClockDrift
	}
	p.watch.wanted = true
	return p.decide(now)
}

// HandleLeaseResponse reports the voters' response to the last RequestLease. With err the voters decided nothing.
func (p *Participant) HandleLeaseResponse(now time.Duration, granted lease.Lease, ok bool, err error) Actions {
	p.requests.handleResponse(granted, ok, err)
	p.scheduleRequest(now)
	if err == nil && ok {
		p.adoptLease(granted)
	}
	return p.decide(now)
}

// adoptLease begins the announcements under a lease that this pooler has just been granted, unless another leader's newer
// token has been seen meanwhile.
func (p *Participant) adoptLease(granted lease.Lease) {
	switch {
	case granted.Token > p.list.newest.Token:
		p.list.newest = Announcement{Token: granted.Token, Holder: granted.Holder, Source: p.Name}
		p.nextAnnouncementAt = 0
	case granted.Token < p.list.newest.Token:
		p.requests.lease.Drop()
	}
}

// HandleAnnouncement reports an announcement of the fleet. refused says that it was older than one seen before.
func (p *Participant) HandleAnnouncement(now time.Duration, a Announcement) (actions Actions, refused bool) {
	if a.Before(p.list.newest) || a.Token == 0 {
		return p.decide(now), true
	}
	if a.Token > p.list.newest.Token {
		p.requests.lease.Drop() // another pooler has the lease: this pooler's is over, whatever its clock says
	}
	if p.list.newest.Before(a) {
		if !p.list.missing() {
			p.list.missingSince = now
		}
		p.list.nextFetchAt = now + time.Duration(p.JitterFraction*float64(fetchSpacing)*float64(p.PoolerCount))
	}
	p.list.newest = a
	p.list.lastHeardAt = now
	return p.decide(now), false
}

// HandleList reports a list that came with its announcement. install says whether the list may be put in force.
func (p *Participant) HandleList(now time.Duration, a Announcement) (actions Actions, install bool) {
	p.list.fetchInFlight = false
	if a.Sequence == 0 || a.Before(p.list.installed) || a.Token < p.list.newest.Token {
		return p.decide(now), false
	}
	install = p.list.installed.Before(a)
	if p.list.newest.Before(a) {
		if a.Token > p.list.newest.Token {
			p.requests.lease.Drop()
		}
		p.list.newest = a
	}
	p.list.installed = a
	p.list.lastHeardAt = now
	return p.decide(now), install
}

// HandleLeaderToken reports an action of a leader that is not about the list, by its token. valid says whether to believe it.
func (p *Participant) HandleLeaderToken(now time.Duration, token uint64) (actions Actions, valid bool) {
	return p.decide(now), token > 0 && token >= p.list.newest.Token
}

// SetExcluded reports whether the operators exclude this pooler's version. An excluded pooler releases its lease and requests
// none.
func (p *Participant) SetExcluded(now time.Duration, excluded bool) Actions {
	p.excluded = excluded
	release := excluded && p.requests.valid(now)
	if release {
		p.requests.lease.Drop()
		p.list.lastHeardAt = now
	}
	actions := p.decide(now)
	actions.ReleaseLease = actions.ReleaseLease || release
	return actions
}

// HandleFetchFailed reports that the last FetchList has failed.
func (p *Participant) HandleFetchFailed(now time.Duration) Actions {
	p.list.fetchInFlight = false
	p.list.nextFetchAt = now + p.jittered(p.LeaseDuration/3)
	return p.decide(now)
}

// HandleUnknownAddress reports that the list last fetched names a server whose address from here is not known: this pooler
// calls the discovery service itself, once.
func (p *Participant) HandleUnknownAddress(now time.Duration) Actions {
	p.list.fetchInFlight = false
	p.list.addressUnknown = true
	return p.decide(now)
}

// HandleWatchUpdate reports that the own watch has brought a list, or a change of it.
func (p *Participant) HandleWatchUpdate(now time.Duration) Actions {
	p.watch.delivered = true
	p.list.addressUnknown = false
	if token, valid := p.requests.lease.ValidToken(now); valid && token == p.list.newest.Token {
		p.list.newest.Sequence++
		p.nextAnnouncementAt = now
	}
	p.list.installed = p.list.newest // a follower's own list came after the leader's announcement: it is as new
	return p.decide(now)
}

// HandleWatchFailed reports that the own watch has ended, or could not be opened. The policy will ask for the list again. A
// leader that can't reach the discovery service leaves the lease to other poolers.
func (p *Participant) HandleWatchFailed(now time.Duration) Actions {
	p.watch = watchState{}
	release := p.requests.valid(now)
	if release {
		p.requests.lease.Drop()
		p.list.lastHeardAt = now
		p.requests.nextAt = now + 2*p.LeaseDuration
	}
	actions := p.decide(now)
	actions.ReleaseLease = actions.ReleaseLease || release
	return actions
}

// HandleShutdown reports that the pooler shuts down: it has stopped acting, and the lease is free for others at once.
func (p *Participant) HandleShutdown(now time.Duration) Actions {
	actions := Actions{CloseWatch: p.watch.open, ReleaseLease: p.requests.valid(now)}
	p.requests.lease.Drop()
	p.started = false
	p.watch.open = false
	return actions
}

// HandleTimer reports that NextTimerAt has come.
func (p *Participant) HandleTimer(now time.Duration) Actions { return p.decide(now) }

// Token is the lease's fencing token, while this pooler is the leader and may act.
func (p *Participant) Token(now time.Duration) (token uint64, valid bool) {
	return p.requests.lease.ValidToken(now)
}

// RenewDeadline is when this pooler must stop acting as the leader; 0 while it has no lease.
func (p *Participant) RenewDeadline() time.Duration { return p.requests.lease.RenewDeadline() }

// Installed is the newest announcement that the list in force is not older than.
func (p *Participant) Installed() Announcement { return p.list.installed }

// Outdated reports whether this pooler acts on what the fleet has left behind, and may take no writes: its version is
// excluded, or it has lacked the fleet's list for longer than MaxListLag.
func (p *Participant) Outdated(now time.Duration) bool {
	return p.excluded || p.MaxListLag > 0 && p.list.missing() && now >= p.list.missingSince+p.MaxListLag
}

// MaxFallbackDelay is the longest that a pooler waits without hearing of a leader before it acts alone: two lease durations,
// in which a lost leader's lease ends and another is elected, and one for the jitter.
func (p *Participant) MaxFallbackDelay() time.Duration { return 3 * p.LeaseDuration }

// jittered is from half of d up to one and a half of it, by the pooler's JitterFraction.
func (p *Participant) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.JitterFraction*float64(d))
}
