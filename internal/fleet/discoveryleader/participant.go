// Package discoveryleader implements one pooler's part in the leader election for the discovery service: a single pooler of the
// fleet, the leader, polls the discovery service for all. With a lease of package lease, a pooler requests the lease, acts as the
// leader, follows another leader, or falls back to its own watch.
//
// Only the leader keeps a watch on the discovery service. It announces each server list to the fleet. The other poolers fetch the
// announced lists, and open their own watch only while they know of no leader. Invariants:
//   - A list is announced only while the lease is valid, with the lease's token and a sequence number that increases under the
//     lease (Announcement).
//   - An announcement or list older than one already seen is refused (fencing), so that a leader that was stalled can't revert
//     the fleet to an old list.
//   - A pooler is without a source of lists for at most MaxFallbackDelay: the lease only saves calls of the discovery service.
//
// The package does no I/O, reads no clock and starts no goroutine. A Participant is used by one goroutine, the pooler's event
// loop, which reports events with their times and executes the Actions that each call returns. The package does not decide
// which servers are used, nor who holds the lease.
package discoveryleader

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName is the name of the leader's lease.
const LeaseName lease.Name = "lists"

// Options configures a Participant.
type Options struct {
	Name           string        // this pooler's name in the fleet
	LeaseDuration  time.Duration // duration to request from the voters
	MaxClockDrift  time.Duration // as in lease.Lessor
	JitterFraction float64       // from 0 up to 1, from the pooler's own seed; spreads the requests, fetches and fallbacks of the poolers
	PoolerCount    int           // number of poolers in the fleet, over which fetches are spread
	// FollowOnly excludes this pooler from the candidates: it never requests the lease.
	FollowOnly bool
	// MaxListLag is how long this pooler may lack the newest list of the fleet, from neither a fetch nor its own watch, before
	// it is Outdated; 0 means no limit.
	MaxListLag time.Duration
}

// Actions are the actions that the caller must execute, in the order of the fields.
type Actions struct {
	CloseWatch   bool         // close this pooler's watch on the discovery service
	ReleaseLease bool         // release the lease at the voters; this pooler has stopped acting as the leader
	OpenWatch    bool         // open this pooler's watch on the discovery service
	RequestLease bool         // request or renew the lease, then call HandleLeaseResponse
	Announce     Announcement // if Token is above 0: announce this to the fleet before the RenewDeadline
	FetchList    Announcement // if Sequence is above 0: fetch this list from its Source, then call HandleList, HandleUnknownAddress or HandleFetchFailed
}

// Participant is one pooler's state in the leader election for the discovery service. Its times are on the pooler's monotonic
// clock. It is not safe for concurrent use.
type Participant struct {
	Options

	started            bool // set by the first HandleListWanted
	excluded           bool // the operators no longer allow this pooler's version
	requests           leaseRequests
	watch              watchState
	list               listState
	nextAnnouncementAt time.Duration // time of the next announcement while this pooler is the leader
}

// watchState is the pooler's own watch on the discovery service.
type watchState struct {
	wanted    bool // the policy has requested the list
	open      bool
	delivered bool // the watch has delivered a list since it was opened
}

// HandleListWanted reports that the policy requests the list, which it does at its start and after a watch has failed.
func (p *Participant) HandleListWanted(now time.Duration) Actions {
	if !p.started {
		p.started = true
		p.list.leaderSeenAt = now
		p.requests.lease.MaxClockDrift = p.MaxClockDrift
	}
	p.watch.wanted = true
	return p.decide(now)
}

// HandleLeaseResponse reports the voters' response to the last RequestLease. ok reports whether the lease was granted. A non-nil
// err means that there was no decision.
func (p *Participant) HandleLeaseResponse(now time.Duration, granted lease.Lease, ok bool, err error) Actions {
	p.requests.handleResponse(granted, ok, err)
	p.scheduleRequest(now)
	if err == nil && ok {
		p.adoptLease(granted)
	}
	return p.decide(now)
}

// adoptLease resets the announcements for a lease that this pooler has just been granted. It drops the lease if a newer token of
// another leader has been seen in the meantime.
func (p *Participant) adoptLease(granted lease.Lease) {
	switch {
	case granted.Token > p.list.newest.Token:
		p.list.newest = Announcement{Token: granted.Token, Holder: granted.Holder, Source: p.Name}
		p.nextAnnouncementAt = 0
	case granted.Token < p.list.newest.Token:
		p.requests.lease.Drop()
	}
}

// HandleAnnouncement reports an announcement received from the fleet. refused reports whether it is older than one already seen.
func (p *Participant) HandleAnnouncement(now time.Duration, a Announcement) (actions Actions, refused bool) {
	if a.Before(p.list.newest) || a.Token == 0 {
		return p.decide(now), true
	}
	if a.Token > p.list.newest.Token {
		p.requests.lease.Drop() // another pooler holds the lease, even if this one's has not expired by its own clock
	}
	if p.list.newest.Before(a) {
		if !p.list.missing() {
			p.list.missingSince = now
		}
		p.list.nextFetchAt = now + time.Duration(p.JitterFraction*float64(fetchSpacing)*float64(p.PoolerCount))
	}
	p.list.newest = a
	p.list.leaderSeenAt = now
	return p.decide(now), false
}

// HandleList reports a list received with its announcement. install reports whether the caller must put the list in force.
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
	p.list.leaderSeenAt = now
	return p.decide(now), install
}

// HandleLeaderToken reports the token of a leader's action other than an announcement. valid reports whether to accept the action.
func (p *Participant) HandleLeaderToken(now time.Duration, token uint64) (actions Actions, valid bool) {
	return p.decide(now), token > 0 && token >= p.list.newest.Token
}

// SetExcluded sets whether the operators exclude this pooler's version. An excluded pooler releases its lease and does not request
// it.
func (p *Participant) SetExcluded(now time.Duration, excluded bool) Actions {
	p.excluded = excluded
	release := excluded && p.requests.valid(now)
	if release {
		p.requests.lease.Drop()
		p.list.leaderSeenAt = now
	}
	actions := p.decide(now)
	actions.ReleaseLease = actions.ReleaseLease || release
	return actions
}

// HandleFetchFailed reports that the last FetchList failed.
func (p *Participant) HandleFetchFailed(now time.Duration) Actions {
	p.list.fetchInFlight = false
	p.list.nextFetchAt = now + p.jittered(p.LeaseDuration/3)
	return p.decide(now)
}

// HandleUnknownAddress reports that the last fetched list names a server whose address is not known to this pooler. The pooler
// opens its own watch until that delivers a list.
func (p *Participant) HandleUnknownAddress(now time.Duration) Actions {
	p.list.fetchInFlight = false
	p.list.addressUnknown = true
	return p.decide(now)
}

// HandleWatchUpdate reports that this pooler's own watch has delivered a list or a change of it.
func (p *Participant) HandleWatchUpdate(now time.Duration) Actions {
	p.watch.delivered = true
	p.list.addressUnknown = false
	if token, valid := p.requests.lease.ValidToken(now); valid && token == p.list.newest.Token {
		p.list.newest.Sequence++
		p.nextAnnouncementAt = now
	}
	p.list.installed = p.list.newest // for a follower too: its list arrived after the announcement, so it is as new
	return p.decide(now)
}

// HandleWatchFailed reports that this pooler's own watch has ended or could not be opened. The policy will request the list again.
// A leader that can't reach the discovery service releases the lease, so that another pooler can request it.
func (p *Participant) HandleWatchFailed(now time.Duration) Actions {
	p.watch = watchState{}
	release := p.requests.valid(now)
	if release {
		p.requests.lease.Drop()
		p.list.leaderSeenAt = now
		p.requests.nextAt = now + 2*p.LeaseDuration
	}
	actions := p.decide(now)
	actions.ReleaseLease = actions.ReleaseLease || release
	return actions
}

// HandleShutdown reports that the pooler shuts down and has stopped acting as the leader. Its lease is released, so that another
// pooler can request it immediately.
func (p *Participant) HandleShutdown(now time.Duration) Actions {
	actions := Actions{CloseWatch: p.watch.open, ReleaseLease: p.requests.valid(now)}
	p.requests.lease.Drop()
	p.started = false
	p.watch.open = false
	return actions
}

// HandleTimer reports that the time returned by NextTimerAt has been reached.
func (p *Participant) HandleTimer(now time.Duration) Actions { return p.decide(now) }

// Token returns the lease's fencing token, and whether this pooler may act as the leader at now.
func (p *Participant) Token(now time.Duration) (token uint64, valid bool) {
	return p.requests.lease.ValidToken(now)
}

// RenewDeadline returns the time at which this pooler must stop acting as the leader, or 0 if it has no lease.
func (p *Participant) RenewDeadline() time.Duration { return p.requests.lease.RenewDeadline() }

// Installed returns the newest announcement whose list is no newer than the list in force.
func (p *Participant) Installed() Announcement { return p.list.installed }

// Outdated reports whether this pooler is behind its fleet and must not accept writes: its version is excluded, or it has lacked
// the fleet's newest list for at least MaxListLag.
func (p *Participant) Outdated(now time.Duration) bool {
	return p.excluded || p.MaxListLag > 0 && p.list.missing() && now >= p.list.missingSince+p.MaxListLag
}

// MaxFallbackDelay returns the longest time for which a pooler without a leader waits before it opens its own watch: two lease
// durations, in which a lost leader's lease expires and another leader is elected, and one for the jitter.
func (p *Participant) MaxFallbackDelay() time.Duration { return 3 * p.LeaseDuration }

// jittered returns a duration from 0.5*d up to 1.5*d, depending on the pooler's JitterFraction.
func (p *Participant) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.JitterFraction*float64(d))
}
