// Package duty decides what one pooler does about a duty that the fleet shares, by the leases of package lease: whether to
// ask for the lease, to act as its holder, to follow another holder, or to act alone. It does no I/O and reads no clock:
// the program tells it what happened and when, and carries out what it returns.
//
// Lists is the list poller: the holder alone calls the list service and hands each list on; the others follow its word
// and call by themselves only when no holder is heard of. What holds:
//   - A list is handed on only while the lease may be acted on, with its token and a number that grows under it (Word).
//   - A word or list older than one heard before is refused (the fence): a holder that was stalled can't turn the fleet back.
//   - A pooler is never without a way to a list for longer than AloneAfter: leases only save calls.
package discoveryleader

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName names the list poller's lease.
const LeaseName lease.Name = "lists"

// Announcement is what a holder tells the fleet: the list that it handed on last. Words are ordered by Token, then Seq.
type Announcement struct {
	Token    uint64 `json:"token"` // of the holder's lease
	Sequence uint64 `json:"seq"`   // counts the lists handed on under it; 0: none yet
	Holder   string `json:"holder"`
	Source   string `json:"source"` // the pooler that has the list: the holder's name among the peers
}

// Before tells whether w is older than o.
func (w Announcement) Before(o Announcement) bool {
	return w.Token < o.Token || w.Token == o.Token && w.Sequence < o.Sequence
}

// Actions is what the program has to carry out, in this order.
type Actions struct {
	CloseWatch   bool         // end the own watch on the list service
	ReleaseLease bool         // give the lease up at the stewards: its acts have ended
	OpenWatch    bool         // open the own watch
	RequestLease bool         // ask the stewards for the lease, or renew it; Answer is owed
	Announce     Announcement // Token above 0: tell the fleet, before the lease's Until
	FetchList    Announcement // Seq above 0: fetch this list from its Source; Took or FetchFailed is owed
}

// Participant is one pooler's side of the list duty. Its times are on that pooler's monotonic clock.
type Participant struct {
	Name           string        // this pooler's among the peers
	LeaseDuration  time.Duration // of the lease
	MaxClockDrift  time.Duration // as in lease.Table
	JitterFraction float64       // from 0 up to 1, by the pooler's own seed: when it asks and acts alone, among all
	PoolerCount    int           // poolers, for the spread of fetches
	// FollowOnly: this pooler never asks for the lease; others stand for the duty.
	FollowOnly bool
	// MaxListLag is how long this pooler may lack a list that the fleet has, while neither a fetch nor an own call brings it up,
	// before it is shut out; 0: for good.
	MaxListLag time.Duration

	lease              lease.LocalLease
	newest             Announcement  // the newest word, of the holder or of this pooler itself
	installed          Announcement  // the newest word that the list in force is not older than
	lastHeardAt        time.Duration // when the last word came that was not refused
	started            bool
	listWanted         bool // the module waits for news of the list
	watchOpen          bool // the own watch is open
	watchDelivered     bool // it has brought a list
	requestInFlight    bool
	requestedAt        time.Duration
	votersSilent       bool          // the stewards have not answered lately,
	votersSilentSince  time.Duration // since the ask of this time
	nextRequestAt      time.Duration // not before
	nextAnnouncementAt time.Duration
	nextFetchAt        time.Duration
	fetchInFlight      bool          // one is under way
	addressUnknown     bool          // the list of the newest word cannot be used here
	listMissingSince   time.Duration // since when the list of the newest word has been missing here
	excluded           bool          // the operators allow this build no more
}

// fetchSpacing spreads the fetches of a fleet after a new list: so much for each pooler, as one that hands a list on
// serves some hundred a second beside its own work.
const fetchSpacing = 5 * time.Millisecond

// MaxFallbackDelay is how long without a holder's word a pooler waits before it acts alone, at the most: two terms, in which a
// lost holder's lease ends and another is elected, and a term for the spread.
func (l *Participant) MaxFallbackDelay() time.Duration { return 3 * l.LeaseDuration }

// HandleListWanted takes in that the module asks for the list: at its start, and after a watch has failed.
func (l *Participant) HandleListWanted(now time.Duration) Actions {
	if !l.started {
		l.started, l.lastHeardAt = true, now
		l.lease.MaxClockDrift = l.MaxClockDrift
	}
	l.listWanted = true
	return l.decide(now)
}

// HandleLeaseResponse takes in what the stewards answered to the last Ask. With err they decided nothing.
func (l *Participant) HandleLeaseResponse(now time.Duration, g lease.Lease, ok bool, err error) Actions {
	l.requestInFlight = false
	if err == nil {
		l.votersSilent = false
		l.lease.HandleResponse(l.requestedAt, g, ok)
	} else if !l.votersSilent {
		l.votersSilent, l.votersSilentSince = true, l.requestedAt
	}
	switch _, acts := l.lease.ValidToken(now); {
	case acts:
		l.nextRequestAt = now + l.LeaseDuration/12 // after a renewal that failed there is time for another
	case l.votersSilent && now-l.votersSilentSince >= l.LeaseDuration:
		// If the stewards hear this pooler and it does not hear them, each ask gives it a lease that it does not know of: others must have time
		// to ask once that has run out.
		l.nextRequestAt = now + 2*l.LeaseDuration
	default:
		l.nextRequestAt = max(l.nextRequestAt, now+l.jittered(l.LeaseDuration/2)) // all that hear nothing ask twice a term or so
	}
	switch {
	case err != nil || !ok:
	case g.Token > l.newest.Token:
		l.newest, l.nextAnnouncementAt = Announcement{Token: g.Token, Holder: g.Holder, Source: l.Name}, 0
	case g.Token < l.newest.Token: // the answer was overtaken by another holder's word
		l.lease.Drop()
	}
	return l.decide(now)
}

// jittered is from half of d up to one and a half of it.
func (l *Participant) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(l.JitterFraction*float64(d))
}

// HandleAnnouncement takes in a word from the fleet. It tells whether the word was refused as older than one before it.
func (l *Participant) HandleAnnouncement(now time.Duration, w Announcement) (do Actions, refused bool) {
	if w.Before(l.newest) || w.Token == 0 {
		return l.decide(now), true
	}
	if w.Token > l.newest.Token {
		l.lease.Drop() // another has the lease: this one's is over, whatever its clock says
	}
	if l.newest.Before(w) {
		if !l.listMissing() {
			l.listMissingSince = now
		}
		l.nextFetchAt = now + time.Duration(l.JitterFraction*float64(fetchSpacing)*float64(l.PoolerCount))
	}
	l.newest, l.lastHeardAt = w, now
	return l.decide(now), false
}

// HandleList takes in a list that was handed on with its word. ok tells whether it may be put in force.
func (l *Participant) HandleList(now time.Duration, w Announcement) (do Actions, ok bool) {
	l.fetchInFlight = false
	if w.Sequence == 0 || w.Before(l.installed) || w.Token < l.newest.Token {
		return l.decide(now), false
	}
	news := l.installed.Before(w)
	if l.newest.Before(w) {
		if w.Token > l.newest.Token {
			l.lease.Drop()
		}
		l.newest = w
	}
	l.installed, l.lastHeardAt = w, now
	return l.decide(now), news
}

// HandleLeaderToken takes in an act of a holder that is not about the list, by its token. It tells whether the act may be believed.
func (l *Participant) HandleLeaderToken(now time.Duration, token uint64) (do Actions, ok bool) {
	return l.decide(now), token > 0 && token >= l.newest.Token
}

// SetExcluded takes in whether the operators bar this pooler's build. A barred one gives its lease up and asks for none.
func (l *Participant) SetExcluded(now time.Duration, barred bool) Actions {
	l.excluded = barred
	_, acts := l.lease.ValidToken(now)
	if barred && acts {
		l.lease.Drop()
		l.lastHeardAt = now
	}
	do := l.decide(now)
	do.ReleaseLease = do.ReleaseLease || barred && acts
	return do
}

// Outdated tells whether this pooler acts on what the fleet has left behind, and may take no writes: its build is barred,
// or it has lacked the fleet's list for longer than Bound.
func (l *Participant) Outdated(now time.Duration) bool {
	return l.excluded || l.MaxListLag > 0 && l.listMissing() && now >= l.listMissingSince+l.MaxListLag
}

// HandleFetchFailed takes in that the last Fetch came to nothing.
func (l *Participant) HandleFetchFailed(now time.Duration) Actions {
	l.fetchInFlight = false
	l.nextFetchAt = now + l.jittered(l.LeaseDuration/3)
	return l.decide(now)
}

// HandleUnknownAddress takes in that the list last fetched names a server whose address here is not known: the list service is asked
// once, by this pooler itself.
func (l *Participant) HandleUnknownAddress(now time.Duration) Actions {
	l.fetchInFlight, l.addressUnknown = false, true
	return l.decide(now)
}

// HandleWatchedList takes in that the own watch has brought a list, or a change.
func (l *Participant) HandleWatchedList(now time.Duration) Actions {
	l.watchDelivered, l.addressUnknown = true, false
	if token, ok := l.lease.ValidToken(now); ok && token == l.newest.Token {
		l.newest.Sequence++
		l.installed, l.nextAnnouncementAt = l.newest, now
	} else {
		l.installed = l.newest // the list service told it after the word's holder had been told: it is as new
	}
	return l.decide(now)
}

// HandleWatchFailed takes in that the own watch has ended, or could not be opened. The module will ask again. A holder that can't
// reach the list service leaves the duty to others.
func (l *Participant) HandleWatchFailed(now time.Duration) Actions {
	l.watchOpen, l.watchDelivered, l.listWanted = false, false, false
	do := Actions{}
	if _, ok := l.lease.ValidToken(now); ok {
		l.lease.Drop()
		l.lastHeardAt, l.nextRequestAt = now, now+2*l.LeaseDuration
		do.ReleaseLease = true
	}
	next := l.decide(now)
	next.ReleaseLease = next.ReleaseLease || do.ReleaseLease
	return next
}

// HandleShutdown takes in that the pooler ends: its acts are over, and the lease is free for others at once.
func (l *Participant) HandleShutdown(now time.Duration) Actions {
	_, ok := l.lease.ValidToken(now)
	l.lease.Drop()
	do := Actions{CloseWatch: l.watchOpen, ReleaseLease: ok}
	l.started, l.watchOpen = false, false
	return do
}

// HandleTimer takes in that Due has come.
func (l *Participant) HandleTimer(now time.Duration) Actions { return l.decide(now) }

// Token is that of the lease held, while it may be acted on.
func (l *Participant) Token(now time.Duration) (uint64, bool) { return l.lease.ValidToken(now) }

// RenewDeadline is when acting on the lease must stop; 0 while none is held.
func (l *Participant) RenewDeadline() time.Duration { return l.lease.RenewDeadline() }

// Installed is the newest word that the list in force is not older than.
func (l *Participant) Installed() Announcement { return l.installed }

// decide finds what is to be done at now.
func (l *Participant) decide(now time.Duration) (do Actions) {
	if !l.started {
		return do
	}
	_, acts := l.lease.ValidToken(now)
	if !acts && l.lease.RenewDeadline() > 0 { // it ran out
		l.lease.Drop()
		if l.lastHeardAt = now; l.votersSilent {
			l.nextRequestAt = now + 2*l.LeaseDuration // as in Answer
		}
	}
	if !l.FollowOnly && !l.requestInFlight && !l.Outdated(now) && now >= l.nextRequestDue(acts) {
		l.requestInFlight, l.requestedAt, do.RequestLease = true, now, true
	}
	switch watch := l.listWanted && (acts || l.addressUnknown || now >= l.fallbackAt()); {
	case watch && !l.watchOpen:
		l.watchOpen, do.OpenWatch = true, true
	case !watch && l.watchOpen:
		l.watchOpen, l.watchDelivered, do.CloseWatch = false, false, true
	}
	if acts && l.watchDelivered && l.newest.Sequence == 0 { // the watch was open before the lease came: its list is handed on now
		l.newest.Sequence, l.nextAnnouncementAt = 1, now
		l.installed = l.newest
	}
	if acts && l.watchDelivered && now >= l.nextAnnouncementAt {
		do.Announce, l.nextAnnouncementAt = l.newest, now+l.LeaseDuration/3
	}
	if l.listMissing() && !acts && !l.fetchInFlight && !l.addressUnknown && now >= l.nextFetchAt {
		do.FetchList, l.fetchInFlight = l.newest, true
	}
	return do
}

func (l *Participant) listMissing() bool { return l.newest.Sequence > 0 && l.installed != l.newest }

// nextRequestDue is when to ask the stewards next: to renew, or once no holder has been heard of for half a term or more.
func (l *Participant) nextRequestDue(acts bool) time.Duration {
	if acts {
		return max(l.lease.RenewAt(), l.nextRequestAt)
	}
	return max(l.lastHeardAt+l.jittered(l.LeaseDuration), l.nextRequestAt)
}

// fallbackAt counts from the last word; one whose list does not come is none.
func (l *Participant) fallbackAt() time.Duration {
	from := l.lastHeardAt
	if l.listMissing() {
		from = min(from, l.listMissingSince)
	}
	return from + 2*l.LeaseDuration + time.Duration(l.JitterFraction*float64(l.LeaseDuration))
}

// NextTimerAt is when Timer is owed next.
func (l *Participant) NextTimerAt(now time.Duration) time.Duration {
	_, acts := l.lease.ValidToken(now)
	due := now + l.LeaseDuration
	next := func(at time.Duration) {
		if at > now {
			due = min(due, at)
		}
	}
	if !l.FollowOnly && !l.requestInFlight {
		next(l.nextRequestDue(acts))
	}
	if acts {
		next(l.lease.RenewDeadline())
		next(l.nextAnnouncementAt)
	} else if l.listWanted && !l.watchOpen {
		next(l.fallbackAt())
	}
	if l.listMissing() {
		next(l.listMissingSince + l.MaxListLag)
		if !l.fetchInFlight && !l.addressUnknown {
			next(l.nextFetchAt)
		}
	}
	return due
}
