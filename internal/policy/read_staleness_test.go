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
	host.wantAction("attempt 2 2") // server 2 has reported its position as of now
	host.advanceTo(startTime + 100*ms)
	read(3)
	if len(host.attempts[3]) != 0 {
		t.Fatalf("read was sent to %v before any replica had reported the write's position", host.attempts[3])
	}
	host.probeAnswered(3, false, host.now-20*ms)
	host.wantAction("attempt 3 3")
}

func TestTrackedSessions(t *testing.T) {
	const writer, other = 9, 8
	host := newHostWithPrimary(t, func(s *Settings) { s.TrackSessions = true })
	send := func(id uint32, class int, session uint64) {
		host.router.HandleRequest(host.now, Request{ID: id, Class: class, Group: testGroup,
			Sessions: []uint64{session}, Timeout: 2 * time.Second})
	}
	send(2, classNotIdempotent, writer)
	host.advanceTo(startTime + 50*ms)
	host.router.HandleOutcome(host.now, Outcome{RequestID: 2, Result: OK, Answered: true, Role: RolePrimary,
		HasPosition: true, Position: host.now})
	send(3, classSession, writer)
	send(4, classSession, other)
	if len(host.attempts[3]) != 0 || len(host.attempts[4]) != 1 {
		t.Fatalf("reads of the writer's and another session were sent to %v and %v, want none and one",
			host.attempts[3], host.attempts[4])
	}
	host.probeAnswered(2, false, host.now+5*ms)
	host.wantAction("attempt 3 2")
}

// Sessions missed writes whose server did not tell their position, and those whose answer went on after its
// server had begun it.
func TestWritesWithoutPosition(t *testing.T) {
	host := newHostWithPrimary(t, func(s *Settings) { s.TrackSessions = true })
	wantPosition := func(want time.Duration, sessions ...uint64) {
		t.Helper()
		if got := host.router.sessionPosition(Request{Sessions: sessions}); got != want {
			t.Errorf("reads of sessions %d require %v, want %v", sessions, got, want)
		}
	}
	host.router.HandleRequest(host.now, Request{ID: 2, Class: classNotIdempotent, Group: testGroup,
		Sessions: []uint64{8, 9}, Timeout: 2 * time.Second})
	host.advance(50 * ms)
	host.endAttempt(2, 0, OK, RolePrimary)
	executed := host.now + maxClockDifference
	wantPosition(executed, 8)
	wantPosition(executed, 7, 9)
	wantPosition(executed) // of a read that may belong to any session
	wantPosition(0, 7)
	host.advance(time.Second)
	host.router.ObserveStreamedWrite(host.now, []uint64{9})
	wantPosition(host.now+maxClockDifference, 9)
	wantPosition(executed, 8)
	host.router.ObserveStreamedWrite(host.now, nil) // a write that may belong to any session
	wantPosition(host.now+maxClockDifference, 7)
	wantPosition(host.now+maxClockDifference, 8)
}

// Without other reads nothing but a probe shows that a replica has caught up with a session.
func TestReplicasAreProbedForSessions(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	read := func(id uint32) {
		host.router.HandleRequest(host.now, Request{ID: id, Class: classSession, Group: testGroup,
			Timeout: 2 * time.Second, SinceLastWrite: -time.Second})
	}
	host.advance(roundInterval)
	for id, want := range map[uint32]int{2: 1, 3: 1} {
		read(id)
		host.wantSentTo(id, 1)
		if got := host.probeCount(2); got != want {
			t.Errorf("server 2 was probed %d times, want %d", got, want)
		}
	}
	host.advance(roundInterval)
	read(4)
	if got := host.probeCount(2); got != 2 {
		t.Errorf("server 2 was probed %d times, want 2", got)
	}
}

// Reads of sessions waited for replicas that report no position, and for which no waiting helps.
func TestNoReadWaitsForAnUnreportedPosition(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advance(roundInterval)
	for _, replica := range []uint32{2, 3} {
		host.router.HandleProbeResult(host.now, ProbeResult{Server: replica, Status: ServerStatus{HasRole: true}})
	}
	host.router.HandleRequest(host.now, Request{ID: 2, Class: classSession, Group: testGroup, Timeout: 2 * time.Second,
		SinceLastWrite: 10 * ms})
	host.wantSentTo(2, 1)
}

// newHostWithoutPositionsInAnswers returns a host whose servers omit positions from answers and
// reject reads that they are too far behind for. ReadAny requests take ten times as long as bounded
// reads.
func newHostWithoutPositionsInAnswers(t *testing.T, poolers int) *fakeHost {
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

// Replicas are probed before their positions are too old for bounded reads, so that no read is
// rejected. A fleet so large that the probes would overload the replicas does not send them.
func TestPositionsAreRefreshedProactively(t *testing.T) {
	for _, c := range []struct {
		poolers int
		probed  bool
	}{{2, true}, {8, true}, {80, false}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithoutPositionsInAnswers(t, c.poolers)
			host.advanceTo(startTime + 1400*ms)
			host.sendRequest(2, classBounded)
			if host.probeCount(2)+host.probeCount(3) > 0 {
				t.Error("replicas were probed although their positions are younger than half of MaxStaleness")
			}
			host.advanceTo(startTime + 1600*ms)
			host.sendRequest(3, classBounded)
			host.sendRequest(4, classBounded)
			if probed := host.probeCount(2) == 1 && host.probeCount(3) == 1; probed != c.probed {
				t.Errorf("replicas were probed %d and %d times, want once each: %v",
					host.probeCount(2), host.probeCount(3), c.probed)
			}
		})
	}
}

// If positions are refreshed proactively, a bounded read goes to the primary rather than to a
// replica that has not reported a position recent enough.
func TestBoundedReadsNeedReportedPosition(t *testing.T) {
	host := newHostWithoutPositionsInAnswers(t, 2)
	host.advanceTo(startTime + 3100*ms)
	host.sendRequest(2, classBounded)
	host.advance(200 * ms)
	host.wantSentTo(2, 1)
	host.probeAnswered(3, false, host.now-time.Second)
	host.sendRequest(3, classBounded)
	host.wantSentTo(3, 3)
}

// Long reads may keep a replica from applying the log. They go to the replica furthest behind,
// whatever the pooler's seed. If that has no capacity, they go to another replica that is too far
// behind for bounded reads or to the primary, so that no fresh replica falls behind.
func TestLongReadsGoToLaggingReplicas(t *testing.T) {
	for seed := uint64(1); seed < 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			host := newHostWithoutPositionsInAnswers(t, 2)
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

// A replica that has just rejected a read is not assumed to have kept the lag of its last report.
// Further reads skip it for roundInterval, or until it reports a newer position.
func TestReplicaIsSkippedAfterRejectingRead(t *testing.T) {
	host := newHostWithoutPositionsInAnswers(t, 80) // too many poolers to refresh positions proactively
	host.advanceTo(startTime + 4*time.Second)
	host.sendRequest(2, classBounded)
	if len(host.attempts[2]) != 1 {
		t.Fatalf("read was sent to %v, want one replica that may have kept its lag", host.attempts[2])
	}
	rejecting := host.attempts[2][0]
	host.endAttempt(2, 0, Misdirected, RoleReplica)
	for id := uint32(3); id < 6; id++ {
		host.sendRequest(id, classBounded)
		if sent := host.attempts[id]; len(sent) > 0 && sent[0] == rejecting {
			t.Errorf("read %d was sent to server %d, which has just rejected another", id, rejecting)
		}
	}
	host.probeAnswered(rejecting, false, host.now)
	read := &request{class: &host.router.settings.Classes[classBounded]}
	if !host.router.freshEnough(read, host.server(rejecting)) {
		t.Error("a replica that has reported a newer position is skipped because of an earlier rejection")
	}
}

func TestBoundedReadAtExactStaleness(t *testing.T) {
	for _, c := range []struct {
		age         time.Duration // age of the replicas' positions
		wantReplica bool          // whether the read may go to a replica
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
			if toReplica := len(sent) == 1 && sent[0] != 1; toReplica != c.wantReplica {
				t.Errorf("read was sent to %v, want a replica: %v", sent, c.wantReplica)
			}
		})
	}
}

// While reads wait for a recent position, a pooler of a large fleet probes one replica at a time,
// and a pooler of a small fleet probes all.
func TestPositionProbesByFleetSize(t *testing.T) {
	for _, c := range []struct{ poolers, probes int }{{2, 2}, {400, 1}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(c.poolers))
			host.advanceTo(startTime + 5*time.Second) // all known positions are too old
			host.probedServers = nil
			host.sendRequest(2, classBounded)
			if probes := host.probeCount(2) + host.probeCount(3); probes != c.probes {
				t.Errorf("%d replicas were probed at once, want %d", probes, c.probes)
			}
		})
	}
}

// A pooler of a large fleet probes the next replica for its position if one does not answer, and a
// replica that was too far behind no more often than probe rounds are repeated.
func TestLargeFleetProbesOnePositionAtATime(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(400))
	host.advanceTo(startTime + 5*time.Second)
	host.probedServers = nil
	host.sendRequestWithin(2, classBounded, time.Second)
	host.advance(2 * positionRefreshInterval)
	if host.probeCount(2) != 1 || host.probeCount(3) != 1 {
		t.Fatalf("probed servers are %v, want each replica once", host.probedServers)
	}
	host.probeAnswered(2, false, host.now-3*time.Second)
	host.probeAnswered(3, false, host.now)
	host.wantAction("attempt 2 3")
	host.endAttempt(2, 0, OK, RoleReplica)
	host.router.withdraw(host.server(3), Draining, host.now)
	for id := uint32(3); id < 6; id++ {
		host.sendRequestWithin(id, classBounded, time.Second)
	}
	host.advance(200 * ms)
	if host.probeCount(2) != 1 {
		t.Fatalf("probed servers are %v, want the lagging replica not to be probed again yet", host.probedServers)
	}
}
