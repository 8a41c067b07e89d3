package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestSessionReadWaitsForItsWrite(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	read := func(id uint32) {
		host.router.HandleRequest(host.now, Request{ID: id, Class: classSession, Group: testGroup,
			Timeout: 2 * time.Second, SinceLastWrite: 40 * ms})
	}
	read(2)
	host.wantAction("attempt 2 2") // its position is proven as of now
	host.advanceTo(startTime + 100*ms)
	read(3)
	if len(host.attempts[3]) != 0 {
		t.Fatalf("sent to %v before any position proved the write", host.attempts[3])
	}
	host.probeAnswered(3, false, host.now-20*ms)
	host.wantAction("attempt 3 3")
}

func TestTrackedSessions(t *testing.T) {
	const writer, other = 9, 8
	host := newHostWithPrimary(t, func(s *Settings) { s.TrackSessions = true })
	send := func(id uint32, class int, session uint64) {
		host.router.HandleRequest(host.now, Request{ID: id, Class: class, Group: testGroup,
			Session: session, Timeout: 2 * time.Second})
	}
	send(2, classNotIdempotent, writer)
	host.advanceTo(startTime + 50*ms)
	host.router.HandleOutcome(host.now, Outcome{RequestID: 2, Result: OK, Answered: true, Role: RolePrimary,
		HasPosition: true, Position: host.now})
	send(3, classSession, writer)
	send(4, classSession, other)
	if len(host.attempts[3]) != 0 || len(host.attempts[4]) != 1 {
		t.Fatalf("own write: %v, other session: %v", host.attempts[3], host.attempts[4])
	}
	host.probeAnswered(2, false, host.now+5*ms)
	host.wantAction("attempt 3 2")
}

// newLaggingHost returns a host whose answers tell no positions and whose replicas turn away reads that they are too far
// behind for. Reads for any member take ten times as long as bounded ones.
func newLaggingHost(t *testing.T, poolers int) *fakeHost {
	t.Helper()
	host := newHostWithPrimary(t, func(s *Settings) {
		s.Poolers = poolers
		s.StaleReads = StaleReadWaits
		s.StaleReadWait = 100 * ms
		s.Classes[classBounded].MaxStaleness = 3 * time.Second
	})
	host.router.estimates.classes[classAny].baseline.value = 500 * ms
	host.router.estimates.classes[classBounded].baseline.value = 50 * ms
	return host
}

// A replica's position is asked for before it is too old for bounded reads, and none is sent where it would be turned
// away. A fleet so large that this would be too much for a replica leaves it out.
func TestPositionsAreProbedAheadOfReads(t *testing.T) {
	for _, c := range []struct {
		poolers int
		probed  bool
	}{{2, true}, {8, true}, {80, false}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newLaggingHost(t, c.poolers)
			host.advanceTo(startTime + 1400*ms)
			host.sendRequest(2, classBounded)
			if host.probeCount(2)+host.probeCount(3) > 0 {
				t.Error("positions of less than half the bound were asked for")
			}
			host.advanceTo(startTime + 1600*ms)
			host.sendRequest(3, classBounded)
			host.sendRequest(4, classBounded)
			if probed := host.probeCount(2) == 1 && host.probeCount(3) == 1; probed != c.probed {
				t.Errorf("replicas were probed %d and %d times, want once each %v",
					host.probeCount(2), host.probeCount(3), c.probed)
			}
		})
	}
}

// Where no replica has proved to be fresh enough, a bounded read goes to the primary and not to one that may be.
func TestBoundedReadsGoToProvenReplicas(t *testing.T) {
	host := newLaggingHost(t, 2)
	host.advanceTo(startTime + 3100*ms)
	host.sendRequest(2, classBounded)
	host.advance(200 * ms)
	host.wantSentTo(2, 1)
	host.probeAnswered(3, false, host.now-time.Second)
	host.sendRequest(3, classBounded)
	host.wantSentTo(3, 3)
}

// Long reads that may keep a replica from applying the log go to the one furthest behind, whatever the pooler's seed,
// and when that has no capacity to others that are too far behind as well, or the primary: no fresh one falls behind.
func TestLongReadsKeepToReplicasBehind(t *testing.T) {
	for seed := uint64(1); seed < 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			host := newLaggingHost(t, 2)
			host.router.random.state = seed
			host.advanceTo(startTime + 200*ms)
			host.probeAnswered(3, false, host.now)
			host.sendRequest(2, classAny)
			host.wantSentTo(2, 2)
			host.server(2).window.size = 1
			host.sendRequest(3, classAny)
			host.wantSentTo(3, 1)
			host.server(2).replication.position = host.now - 5*time.Second
			host.server(3).replication.position = host.now - 4*time.Second
			host.sendRequest(4, classAny)
			host.wantSentTo(4, 3)
		})
	}
}

// A replica that has just turned a read away is no longer taken to keep the lag that it last showed: further reads go
// past it for a while, or until it proves a newer position.
func TestRejectedReadsAreNotFollowed(t *testing.T) {
	host := newLaggingHost(t, 80) // too many poolers to probe positions ahead
	host.advanceTo(startTime + 4*time.Second)
	host.sendRequest(2, classBounded)
	if len(host.attempts[2]) != 1 {
		t.Fatalf("a read was sent to %v, want one replica that may have kept its lag", host.attempts[2])
	}
	behind := host.attempts[2][0]
	host.endAttempt(2, 0, Misdirected, RoleReplica)
	for id := uint32(3); id < 6; id++ {
		host.sendRequest(id, classBounded)
		if sent := host.attempts[id]; len(sent) > 0 && sent[0] == behind {
			t.Errorf("read %d followed one that server %d turned away", id, behind)
		}
	}
	host.probeAnswered(behind, false, host.now)
	read := &request{class: &host.router.settings.Classes[classBounded]}
	if !host.router.freshEnough(read, host.server(behind)) {
		t.Error("a replica that proved a new position is passed over for what it turned away before")
	}
}

func TestBoundedReadAtExactStaleness(t *testing.T) {
	for _, c := range []struct {
		age     time.Duration
		replica bool
	}{
		{time.Second - positionTolerance, true},
		{time.Second - positionTolerance + time.Microsecond, false},
		{3 * time.Second, false},
	} {
		t.Run(c.age.String(), func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			for id := uint32(2); id <= 3; id++ {
				host.server(id).replication.position = host.now - c.age
				host.server(id).replication.advancedAt = host.now
			}
			host.sendRequest(2, classBounded)
			sent := host.attempts[2]
			if toReplica := len(sent) == 1 && sent[0] != 1; toReplica != c.replica {
				t.Errorf("sent to %v, want a replica %v", sent, c.replica)
			}
		})
	}
}

// While reads wait for a position, a pooler of a large fleet asks one replica at a time, a pooler of a small one all.
func TestPositionProbesByFleetSize(t *testing.T) {
	for _, c := range []struct{ poolers, probes int }{{2, 2}, {400, 1}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(c.poolers))
			host.advanceTo(startTime + 5*time.Second) // all that was known is old
			host.probedServers = nil
			host.sendRequest(2, classBounded)
			if probes := host.probeCount(2) + host.probeCount(3); probes != c.probes {
				t.Errorf("%d replicas were probed at once, want %d", probes, c.probes)
			}
		})
	}
}

// A pooler of a large fleet asks the next replica for its position where one stays silent, and one that was too far
// behind as seldom as rounds are repeated.
func TestOnePositionProbeAtATime(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(400))
	host.advanceTo(startTime + 5*time.Second)
	host.probedServers = nil
	host.sendRequestWithin(2, classBounded, time.Second)
	host.advance(2 * positionRefreshInterval)
	if host.probeCount(2) != 1 || host.probeCount(3) != 1 {
		t.Fatalf("probed %v, want each replica once", host.probedServers)
	}
	host.probeAnswered(2, false, host.now-3*time.Second)
	host.probeAnswered(3, false, host.now)
	host.wantAction("attempt 2 3")
	host.endAttempt(2, 0, OK, RoleReplica)
	host.router.withdraw(host.server(3), Draining)
	for id := uint32(3); id < 6; id++ {
		host.sendRequestWithin(id, classBounded, time.Second)
	}
	host.advance(200 * ms)
	if host.probeCount(2) != 1 {
		t.Fatalf("probed %v, want the replica that lags left alone at first", host.probedServers)
	}
}
