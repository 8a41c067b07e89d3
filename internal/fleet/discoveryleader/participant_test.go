package discoveryleader

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/fleet/lease"
)

const leaseDuration = 3 * time.Second

func newParticipant() *Participant {
	return &Participant{Options: Options{
		Name:           "n1",
		LeaseDuration:  leaseDuration,
		MaxClockDrift:  100 * time.Millisecond,
		JitterFraction: 0.5,
		PoolerCount:    10,
	}}
}

// ownAnnouncement returns an announcement of the participant itself, under the lease that the event granted gives it.
func ownAnnouncement(sequence uint64) Announcement {
	return Announcement{Token: 7, Sequence: sequence, Holder: "n1", Source: "n1"}
}

// otherAnnouncement returns another leader's announcement.
func otherAnnouncement(token, sequence uint64) Announcement {
	return Announcement{Token: token, Sequence: sequence, Holder: "n2", Source: "n2"}
}

// event calls one of a participant's methods, checks results other than the actions, and returns the actions.
type event func(t *testing.T, p *Participant, at time.Duration) Actions

// Events whose only result is the actions.
var (
	wanted         = eventOf((*Participant).HandleListWanted)
	timer          = eventOf((*Participant).HandleTimer)
	watched        = eventOf((*Participant).HandleWatchUpdate)
	watchFailed    = eventOf((*Participant).HandleWatchFailed)
	fetchFailed    = eventOf((*Participant).HandleFetchFailed)
	unknownAddress = eventOf((*Participant).HandleUnknownAddress)
	granted        = responded(lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}, true, nil)
	denied         = responded(lease.Lease{Name: LeaseName, Holder: "n2", Token: 9, Duration: leaseDuration}, false, nil)
	noResponse     = responded(lease.Lease{}, false, errors.New("no response"))
)

// eventOf returns the event that calls a method.
func eventOf(handle func(*Participant, time.Duration) Actions) event {
	return func(_ *testing.T, p *Participant, at time.Duration) Actions { return handle(p, at) }
}

// responded returns the event of a response to a lease request.
func responded(current lease.Lease, ok bool, err error) event {
	return func(_ *testing.T, p *Participant, at time.Duration) Actions {
		return p.HandleLeaseResponse(at, current, ok, err)
	}
}

// lateGranted is the grant of a request that was in flight when another leader's announcement arrived.
func lateGranted(t *testing.T, p *Participant, at time.Duration) Actions {
	p.requests.inFlight = true
	return granted(t, p, at)
}

// announced returns the event of an announcement, which must be refused or accepted.
func announced(announcement Announcement, refused bool) event {
	return func(t *testing.T, p *Participant, at time.Duration) Actions {
		actions, gotRefused := p.HandleAnnouncement(at, announcement)
		if gotRefused != refused {
			t.Errorf("announcement %v: refused %v, want %v", announcement, gotRefused, refused)
		}
		return actions
	}
}

// listReceived returns the event of a received list, which must be installed or not.
func listReceived(announcement Announcement, install bool) event {
	return func(t *testing.T, p *Participant, at time.Duration) Actions {
		actions, gotInstall := p.HandleList(at, announcement)
		if gotInstall != install {
			t.Errorf("list %v: install %v, want %v", announcement, gotInstall, install)
		}
		return actions
	}
}

// step is an event of a scenario and the actions that it must return.
type step struct {
	description string
	at          time.Duration
	event       event
	want        Actions
}

// scenarios are sequences of events at one participant, by name.
var scenarios = map[string][]step{
	"lease requests arrive and responses are lost": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"a third of the duration", 4 * time.Second, timer, Actions{RequestLease: true}},
		{"no response to the renewal", 4750 * time.Millisecond, noResponse, Actions{}},
		{"renewal repeated", 5 * time.Second, timer, Actions{RequestLease: true}},
		{"lease expired", 5900 * time.Millisecond, timer, Actions{CloseWatch: true}},
		{"no response again", 6 * time.Second, noResponse, Actions{}},
		{"two lease durations left to other poolers", 11800 * time.Millisecond, timer, Actions{}},
		{"next request", 11900 * time.Millisecond, timer, Actions{RequestLease: true}},
		{"still no response", 12500 * time.Millisecond, noResponse, Actions{}},
		{"two more lease durations", 18400 * time.Millisecond, timer, Actions{OpenWatch: true}},
		{"next request", 18500 * time.Millisecond, timer, Actions{RequestLease: true}},
		{"denial", 18500 * time.Millisecond, denied, Actions{}},
		{"half a lease duration later", 20 * time.Second, timer, Actions{RequestLease: true}},
	},
	"no other holder": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"the first list", leaseDuration + time.Second/2, watched, Actions{Announce: ownAnnouncement(1)}},
		{"a third of the duration", 4 * time.Second, timer, Actions{RequestLease: true}},
		{"the renewal", 4 * time.Second, granted, Actions{}},
		{"a change", 4100 * time.Millisecond, watched, Actions{Announce: ownAnnouncement(2)}},
		{"the discovery service fails", 5 * time.Second, watchFailed, Actions{ReleaseLease: true}},
		{"the released lease is left to other poolers", 6 * time.Second, wanted, Actions{}},
		{"another pooler has the lease", 7 * time.Second, announced(otherAnnouncement(8, 1), false), Actions{}},
		{"its list is fetched after the jitter", 8 * time.Second, timer, Actions{FetchList: otherAnnouncement(8, 1)}},
		{"the list", 8 * time.Second, listReceived(otherAnnouncement(8, 1), true), Actions{}},
	},
	"no voters": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"no response", 4 * time.Second, noResponse, Actions{}},
		{"fallback to its own watch", 7500 * time.Millisecond, timer, Actions{OpenWatch: true, RequestLease: true}},
		{"list of its own watch", 7600 * time.Millisecond, watched, Actions{}},
		{"a leader's announcement", 8 * time.Second, announced(otherAnnouncement(3, 4), false), Actions{CloseWatch: true}},
		{"its list is fetched", 9 * time.Second, timer, Actions{FetchList: otherAnnouncement(3, 4)}},
		{"the list", 9 * time.Second, listReceived(otherAnnouncement(3, 4), true), Actions{}},
		{"the same list again", 9 * time.Second, listReceived(otherAnnouncement(3, 4), false), Actions{}},
		{"an old list", 9 * time.Second, listReceived(otherAnnouncement(3, 3), false), Actions{}},
	},
	"a stalled leader": {
		{"the start", 0, wanted, Actions{}},
		{"requests the lease", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"the first list", leaseDuration, watched, Actions{Announce: ownAnnouncement(1)}},
		{"a list after its lease expired is not announced", 9 * time.Second, watched, Actions{CloseWatch: true}},
		{"the next leader", 9 * time.Second, announced(otherAnnouncement(9, 1), false), Actions{}},
		{"an old leader's announcement", 9 * time.Second, announced(otherAnnouncement(8, 5), true), Actions{}},
		{"an old leader's list", 9 * time.Second, listReceived(otherAnnouncement(8, 5), false), Actions{}},
		{"a stale renewal", 9 * time.Second, lateGranted, Actions{}},
	},
	"a list with a server whose address is unknown": {
		{"the start", 0, wanted, Actions{}},
		{"an announcement", time.Second, announced(otherAnnouncement(3, 1), false), Actions{}},
		{"the fetch", 2 * time.Second, timer, Actions{FetchList: otherAnnouncement(3, 1)}},
		{"an address is unknown", 2 * time.Second, unknownAddress, Actions{OpenWatch: true}},
		{"list of its own watch", 2 * time.Second, watched, Actions{CloseWatch: true}},
		{"the next announcement", 3 * time.Second, announced(otherAnnouncement(3, 2), false), Actions{}},
		{"its fetch", 4 * time.Second, timer, Actions{FetchList: otherAnnouncement(3, 2)}},
	},
	"an announcement whose list can't be fetched": {
		{"the start", 0, wanted, Actions{}},
		{"an announcement", time.Second, announced(otherAnnouncement(3, 1), false), Actions{}},
		{"the fetch", 2 * time.Second, timer, Actions{FetchList: otherAnnouncement(3, 1)}},
		{"the announcement is repeated", 5 * time.Second, announced(otherAnnouncement(3, 1), false), Actions{}},
		{"the fetch fails", 9 * time.Second, fetchFailed, Actions{OpenWatch: true, RequestLease: true}},
	},
}

// Each event of a scenario must return the expected actions.
func TestParticipant(t *testing.T) {
	for name, steps := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := newParticipant()
			for _, s := range steps {
				if diff := cmp.Diff(s.want, s.event(t, p, s.at)); diff != "" {
					t.Fatalf("%s, at %v: %s", s.description, s.at, diff)
				}
			}
		})
	}
}

// A pooler that has lacked the fleet's newest list for MaxListLag must be outdated and not request the lease until it receives a
// list. A pooler whose build is excluded must release its lease immediately.
func TestOutdated(t *testing.T) {
	second := time.Second
	participant := newParticipant()
	participant.MaxListLag = 10 * second
	participant.HandleListWanted(0)
	announcement := Announcement{Token: 3, Sequence: 1, Holder: "n2", Source: "n2"}
	for at := second; at <= 10*second; at += second {
		participant.HandleAnnouncement(at, announcement)
	}
	if participant.Outdated(10 * second) {
		t.Error("outdated before MaxListLag has passed")
	}
	if actions := participant.HandleTimer(20 * second); !participant.Outdated(20*second) || actions.RequestLease {
		t.Errorf("after MaxListLag: outdated %v, %+v, want true and no request", participant.Outdated(20*second), actions)
	}
	if _, ok := participant.HandleList(21*second, announcement); !ok || participant.Outdated(21*second) {
		t.Error("the list is not installed, or the pooler is still outdated")
	}
	excluded := newParticipant()
	excluded.HandleListWanted(0)
	excluded.HandleTimer(leaseDuration)
	excluded.HandleLeaseResponse(leaseDuration, lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}, true, nil)
	if actions := excluded.SetExcluded(leaseDuration, true); !actions.ReleaseLease || !actions.CloseWatch || !excluded.Outdated(leaseDuration) {
		t.Errorf("excluded: got %+v, want ReleaseLease, CloseWatch and Outdated", actions)
	}
	if actions := excluded.HandleTimer(4 * leaseDuration); actions.RequestLease || !actions.OpenWatch {
		t.Errorf("excluded without a leader: got %+v, want OpenWatch and no RequestLease", actions)
	}
	if excluded.SetExcluded(5*leaseDuration, false); excluded.Outdated(5 * leaseDuration) {
		t.Error("still outdated when no longer excluded")
	}
}
