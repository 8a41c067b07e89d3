package policy

import (
	"testing"
	"time"
)

// A large fleet's front asks one replica for its position at a time while reads are held for one, the next where that
// stays silent, and one that was too far behind as seldom as rounds are held.
func TestOnePositionProbeAtATime(t *testing.T) {
	for _, c := range []struct{ fronts, probes int }{{2, 2}, {400, 1}} {
		f := newHostWithPrimary(t, withPoolers(c.fronts))
		f.advanceTo(startTime + 5*time.Second) // all that was known is old
		f.probedServers = nil
		f.sendRequest(2, classBounded)
		if n := f.probeCount(2) + f.probeCount(3); n != c.probes {
			t.Errorf("%d fronts: %d replicas asked at once, want %d", c.fronts, n, c.probes)
		}
	}
	f := newHostWithPrimary(t, withPoolers(400))
	f.advanceTo(startTime + 5*time.Second)
	f.probedServers = nil
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classBounded, Group: 7, Timeout: time.Second})
	f.advanceTo(f.now + 2*positionRefreshInterval)
	if f.probeCount(2) != 1 || f.probeCount(3) != 1 {
		t.Fatalf("asked %v, want each replica once", f.probedServers)
	}
	f.probeAnswered(2, false, f.now-3*time.Second)
	f.probeAnswered(3, false, f.now)
	f.wantAction("attempt 2 3")
	f.endAttempt(2, 0, OK, RoleReplica)
	f.router.withdraw(f.server(3), Draining)
	for id := uint32(3); id < 6; id++ {
		f.router.HandleRequest(f.now, Request{ID: id, Class: classBounded, Group: 7, Timeout: time.Second})
	}
	if f.advanceTo(f.now + 200*ms); f.probeCount(2) != 1 {
		t.Fatalf("asked %v, want the replica that lags left alone at first", f.probedServers)
	}
}

// newLaggingHost is a front whose answers tell no positions, before replicas that turn a read away which they are too far
// behind for. Reads for any member take ten times as long as bounded ones.
func newLaggingHost(t *testing.T, fronts int) *fakeHost {
	f := newHostWithPrimary(t, func(s *Settings) {
		s.Poolers, s.StaleReads, s.StaleReadWait = fronts, StaleReadWaits, 100*ms
		s.Classes[classBounded].MaxStaleness = 3 * time.Second
	})
	f.router.estimates.classes[classAny].baseline.value, f.router.estimates.classes[classBounded].baseline.value = 500*ms, 50*ms
	return f
}

// A replica's position is asked for before it is too old for bounded reads, and none is sent where it would be turned
// away. A fleet so large that this would be too much for a replica leaves it.
func TestPositionsAreProbedAheadOfReads(t *testing.T) {
	for _, c := range []struct {
		fronts int
		asked  bool
	}{{2, true}, {8, true}, {80, false}} {
		f := newLaggingHost(t, c.fronts)
		f.advanceTo(startTime + 1400*ms)
		f.sendRequest(2, classBounded)
		if f.probeCount(2)+f.probeCount(3) > 0 {
			t.Errorf("%d fronts: asked for positions of half the bound", c.fronts)
		}
		f.advanceTo(startTime + 1600*ms)
		f.sendRequest(3, classBounded)
		f.sendRequest(4, classBounded)
		if asked := f.probeCount(2) == 1 && f.probeCount(3) == 1; asked != c.asked {
			t.Errorf("%d fronts: asked %d and %d times, want once each %v", c.fronts, f.probeCount(2), f.probeCount(3), c.asked)
		}
	}
	f := newLaggingHost(t, 2)
	f.advanceTo(startTime + 3100*ms)
	f.sendRequest(2, classBounded)
	f.advanceTo(f.now + 200*ms)
	if s := f.attempts[2]; len(s) != 1 || s[0] != 1 {
		t.Errorf("a bounded read went to %v, want the primary: no replica has proved to be fresh enough", s)
	}
	f.probeAnswered(3, false, f.now-time.Second)
	f.sendRequest(3, classBounded)
	if s := f.attempts[3]; len(s) != 1 || s[0] != 3 {
		t.Errorf("a bounded read went to %v, want the replica that has", s)
	}
}

// Long reads that may keep a replica from applying the log go to the one furthest behind, whatever the front's seed, and
// when that has no room to others that are too far behind as well, or the primary: they make no fresh one fall behind.
func TestLongReadsKeepToReplicasBehind(t *testing.T) {
	for seed := uint64(1); seed < 6; seed++ {
		f := newLaggingHost(t, 2)
		f.router.random.state = seed
		f.advanceTo(startTime + 200*ms)
		f.probeAnswered(3, false, f.now)
		sent := func(id, want uint32) {
			t.Helper()
			f.sendRequest(id, classAny)
			if s := f.attempts[id]; len(s) != 1 || s[0] != want {
				t.Errorf("seed %d: long read %d went to %v, want store %d", seed, id, s, want)
			}
		}
		sent(2, 2)
		f.server(2).window.size = 1
		sent(3, 1)
		f.server(2).replication.position, f.server(3).replication.position = f.now-5*time.Second, f.now-4*time.Second
		sent(4, 3)
	}
}

// A replica that has just turned a read away is no longer taken to keep the lag that it last showed: further reads go
// past it for a while, or until it proves a newer position.
func TestRejectedReadsAreNotFollowed(t *testing.T) {
	f := newLaggingHost(t, 80) // too many to ask for positions ahead
	f.advanceTo(startTime + 4*time.Second)
	f.sendRequest(2, classBounded)
	if len(f.attempts[2]) != 1 {
		t.Fatalf("a read went to %v, want one replica that may have kept its lag", f.attempts[2])
	}
	behind := f.attempts[2][0]
	f.endAttempt(2, 0, Misdirected, RoleReplica)
	for id := uint32(3); id < 6; id++ {
		f.sendRequest(id, classBounded)
		if s := f.attempts[id]; len(s) > 0 && s[0] == behind {
			t.Errorf("read %d followed one that store %d turned away", id, behind)
		}
	}
	f.probeAnswered(behind, false, f.now)
	if s := f.server(behind); !f.router.freshEnough(&request{class: &f.router.settings.Classes[classBounded]}, s) {
		t.Error("a replica that proved a new position is passed over for what it turned away before")
	}
}

func TestBoundedReadAtExactStaleness(t *testing.T) {
	for _, c := range []struct {
		age     time.Duration
		replica bool
	}{{time.Second - positionTolerance, true}, {time.Second - positionTolerance + time.Microsecond, false}, {3 * time.Second, false}} {
		f := newHostWithPrimary(t, nil)
		for s := uint32(2); s <= 3; s++ {
			f.server(s).replication.position = f.now - c.age
			f.server(s).replication.provenAt = f.now
		}
		f.sendRequest(2, classBounded)
		if got := len(f.attempts[2]) == 1 && f.attempts[2][0] != 1; got != c.replica {
			t.Errorf("age %v: sent to %v, want a replica %v", c.age, f.attempts[2], c.replica)
		}
	}
}

func TestSessionReadWaitsForItsWrite(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classSession, Group: 7, Timeout: 2 * time.Second, SinceLastWrite: 40 * ms})
	f.wantAction("attempt 2 2") // proven at the present
	f.advanceTo(startTime + 100*ms)
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classSession, Group: 7, Timeout: 2 * time.Second, SinceLastWrite: 40 * ms})
	if len(f.attempts[3]) != 0 {
		t.Fatalf("sent to %v before any position proved the write", f.attempts[3])
	}
	f.probeAnswered(3, false, f.now-20*ms)
	f.wantAction("attempt 3 3")
}

func TestTrackedSessions(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.TrackSessions = true })
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classNotIdempotent, Group: 7, Session: 9, Timeout: 2 * time.Second})
	f.advanceTo(startTime + 50*ms)
	f.router.HandleOutcome(f.now, Outcome{RequestID: 2, Result: OK, Answered: true, Role: RolePrimary, HasPosition: true, Position: f.now})
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classSession, Group: 7, Session: 9, Timeout: 2 * time.Second})
	f.router.HandleRequest(f.now, Request{ID: 4, Class: classSession, Group: 7, Session: 8, Timeout: 2 * time.Second})
	if len(f.attempts[3]) != 0 || len(f.attempts[4]) != 1 {
		t.Fatalf("own write: %v, other session: %v", f.attempts[3], f.attempts[4])
	}
	f.probeAnswered(2, false, f.now+5*ms)
	f.wantAction("attempt 3 2")
}
