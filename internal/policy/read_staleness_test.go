package policy

import (
	"testing"
	"time"
)

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
func TestProofIsKeptAheadOfReads(t *testing.T) {
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
func TestTurnedAwayReadsAreNotFollowed(t *testing.T) {
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
