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

// own is an announcement of the participant itself, under the lease that granted gives it.
func own(sequence uint64) Announcement {
	return Announcement{Token: 7, Sequence: sequence, Holder: "n1", Source: "n1"}
}

// foreign is another leader's announcement.
func foreign(token, sequence uint64) Announcement {
	return Announcement{Token: token, Sequence: sequence, Holder: "n2", Source: "n2"}
}

// event reports something to a participant, checks the report's own result, and returns the actions.
type event func(t *testing.T, p *Participant, at time.Duration) Actions

// The events without a result of their own.
var (
	wanted         = on((*Participant).HandleListWanted)
	timer          = on((*Participant).HandleTimer)
	watched        = on((*Participant).HandleWatchUpdate)
	watchFailed    = on((*Participant).HandleWatchFailed)
	fetchFailed    = on((*Participant).HandleFetchFailed)
	unknownAddress = on((*Participant).HandleUnknownAddress)
	granted        = responded(lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}, true, nil)
	denied         = responded(lease.Lease{Name: LeaseName, Holder: "n2", Token: 9, Duration: leaseDuration}, false, nil)
	noResponse     = responded(lease.Lease{}, false, errors.New("silent"))
)

func on(handle func(*Participant, time.Duration) Actions) event {
	return func(_ *testing.T, p *Participant, at time.Duration) Actions { return handle(p, at) }
}

func responded(current lease.Lease, ok bool, err error) event {
	return func(_ *testing.T, p *Participant, at time.Duration) Actions {
		return p.HandleLeaseResponse(at, current, ok, err)
	}
}

// lateGranted grants a request that was in flight when another leader was heard of.
func lateGranted(t *testing.T, p *Participant, at time.Duration) Actions {
	p.requests.inFlight = true
	return granted(t, p, at)
}

func announced(a Announcement, refused bool) event {
	return func(t *testing.T, p *Participant, at time.Duration) Actions {
		actions, got := p.HandleAnnouncement(at, a)
		if got != refused {
			t.Errorf("%v: refused %v, want %v", a, got, refused)
		}
		return actions
	}
}

func listReceived(a Announcement, install bool) event {
	return func(t *testing.T, p *Participant, at time.Duration) Actions {
		actions, got := p.HandleList(at, a)
		if got != install {
			t.Errorf("list %v: installed %v, want %v", a, got, install)
		}
		return actions
	}
}

type step struct {
	what  string
	at    time.Duration
	event event
	want  Actions
}

// histories are those of single participants.
var histories = map[string][]step{
	"the voters hear it, and it does not hear them": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"a third of the duration", 4 * time.Second, timer, Actions{RequestLease: true}},
		{"no response", 4750 * time.Millisecond, noResponse, Actions{}},
		{"again", 5 * time.Second, timer, Actions{RequestLease: true}},
		{"the lease has expired", 5900 * time.Millisecond, timer, Actions{CloseWatch: true}},
		{"no response again", 6 * time.Second, noResponse, Actions{}},
		{"others have two durations", 11800 * time.Millisecond, timer, Actions{}},
		{"it requests the lease again", 11900 * time.Millisecond, timer, Actions{RequestLease: true}},
		{"silence still", 12500 * time.Millisecond, noResponse, Actions{}},
		{"two durations again", 18400 * time.Millisecond, timer, Actions{OpenWatch: true}},
		{"it requests the lease", 18500 * time.Millisecond, timer, Actions{RequestLease: true}},
		{"a response", 18500 * time.Millisecond, denied, Actions{}},
		{"half a duration", 20 * time.Second, timer, Actions{RequestLease: true}},
	},
	"no other holder": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"the first list", leaseDuration + time.Second/2, watched, Actions{Announce: own(1)}},
		{"a third of the duration", 4 * time.Second, timer, Actions{RequestLease: true}},
		{"the renewal", 4 * time.Second, granted, Actions{}},
		{"a change", 4100 * time.Millisecond, watched, Actions{Announce: own(2)}},
		{"the discovery service fails", 5 * time.Second, watchFailed, Actions{ReleaseLease: true}},
		{"it requests the lease no sooner than others", 6 * time.Second, wanted, Actions{}},
		{"another has it", 7 * time.Second, announced(foreign(8, 1), false), Actions{}},
		{"its list is fetched within the jitter", 8 * time.Second, timer, Actions{FetchList: foreign(8, 1)}},
		{"the list", 8 * time.Second, listReceived(foreign(8, 1), true), Actions{}},
	},
	"no voters": {
		{"the start", 0, wanted, Actions{}},
		{"the jitter is over", leaseDuration, timer, Actions{RequestLease: true}},
		{"no response", 4 * time.Second, noResponse, Actions{}},
		{"alone", 7500 * time.Millisecond, timer, Actions{OpenWatch: true, RequestLease: true}},
		{"an own list", 7600 * time.Millisecond, watched, Actions{}},
		{"a leader is heard of", 8 * time.Second, announced(foreign(3, 4), false), Actions{CloseWatch: true}},
		{"its list is fetched", 9 * time.Second, timer, Actions{FetchList: foreign(3, 4)}},
		{"the list", 9 * time.Second, listReceived(foreign(3, 4), true), Actions{}},
		{"the same again", 9 * time.Second, listReceived(foreign(3, 4), false), Actions{}},
		{"an old list", 9 * time.Second, listReceived(foreign(3, 3), false), Actions{}},
	},
	"a stalled leader": {
		{"the start", 0, wanted, Actions{}},
		{"requests the lease", leaseDuration, timer, Actions{RequestLease: true}},
		{"the lease", leaseDuration, granted, Actions{OpenWatch: true}},
		{"the first list", leaseDuration, watched, Actions{Announce: own(1)}},
		{"a list after its lease: it is no longer announced", 9 * time.Second, watched, Actions{CloseWatch: true}},
		{"the next leader", 9 * time.Second, announced(foreign(9, 1), false), Actions{}},
		{"an old leader's announcement", 9 * time.Second, announced(foreign(8, 5), true), Actions{}},
		{"an old leader's list", 9 * time.Second, listReceived(foreign(8, 5), false), Actions{}},
		{"a renewal that was overtaken", 9 * time.Second, lateGranted, Actions{}},
	},
	"a list with a server that was never seen from here": {
		{"the start", 0, wanted, Actions{}},
		{"an announcement", time.Second, announced(foreign(3, 1), false), Actions{}},
		{"the fetch", 2 * time.Second, timer, Actions{FetchList: foreign(3, 1)}},
		{"an address is missing", 2 * time.Second, unknownAddress, Actions{OpenWatch: true}},
		{"the own watch's list", 2 * time.Second, watched, Actions{CloseWatch: true}},
		{"the next announcement", 3 * time.Second, announced(foreign(3, 2), false), Actions{}},
		{"its fetch", 4 * time.Second, timer, Actions{FetchList: foreign(3, 2)}},
	},
	"an announcement whose list does not come": {
		{"the start", 0, wanted, Actions{}},
		{"an announcement", time.Second, announced(foreign(3, 1), false), Actions{}},
		{"the fetch", 2 * time.Second, timer, Actions{FetchList: foreign(3, 1)}},
		{"announcements go on", 5 * time.Second, announced(foreign(3, 1), false), Actions{}},
		{"the fetch fails", 9 * time.Second, fetchFailed, Actions{OpenWatch: true, RequestLease: true}},
	},
}

// The actions of one pooler at each event of a history.
func TestParticipant(t *testing.T) {
	for name, steps := range histories {
		t.Run(name, func(t *testing.T) {
			p := newParticipant()
			for _, s := range steps {
				if d := cmp.Diff(s.want, s.event(t, p, s.at)); d != "" {
					t.Fatalf("%s, at %v: %s", s.what, s.at, d)
				}
			}
		})
	}
}

// A pooler that the fleet's list does not reach for longer than the bound is outdated and requests no lease, until a list
// comes; one whose build is excluded releases its lease at once.
func TestOutdated(t *testing.T) {
	s := time.Second
	p := newParticipant()
	p.MaxListLag = 10 * s
	p.HandleListWanted(0)
	a := Announcement{Token: 3, Sequence: 1, Holder: "n2", Source: "n2"}
	for at := s; at <= 10*s; at += s {
		p.HandleAnnouncement(at, a)
	}
	if p.Outdated(10 * s) {
		t.Error("outdated within the bound")
	}
	if actions := p.HandleTimer(20 * s); !p.Outdated(20*s) || actions.RequestLease {
		t.Errorf("after the bound: outdated %v, %+v", p.Outdated(20*s), actions)
	}
	if _, ok := p.HandleList(21*s, a); !ok || p.Outdated(21*s) {
		t.Error("still outdated after the list")
	}
	q := newParticipant()
	q.HandleListWanted(0)
	q.HandleTimer(leaseDuration)
	q.HandleLeaseResponse(leaseDuration, lease.Lease{Name: LeaseName, Holder: "n1", Token: 7, Duration: leaseDuration}, true, nil)
	if actions := q.SetExcluded(leaseDuration, true); !actions.ReleaseLease || !actions.CloseWatch || !q.Outdated(leaseDuration) {
		t.Errorf("excluded: %+v", actions)
	}
	if actions := q.HandleTimer(4 * leaseDuration); actions.RequestLease || !actions.OpenWatch {
		t.Errorf("excluded, no leader heard of: %+v, want its own watch and no request", actions)
	}
	if q.SetExcluded(5*leaseDuration, false); q.Outdated(5 * leaseDuration) {
		t.Error("still outdated")
	}
}
