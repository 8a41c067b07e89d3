package policy

import (
	"testing"
	"time"
)

// All fronts together send a primary a bounded number of pings, and the small fleet its 100 ms ping.
func TestFleetPings(t *testing.T) {
	for _, c := range []struct{ fronts, least, most int }{{3, 598, 602}, {5, 598, 602}, {100, 5, 7}, {400, 1, 2}} {
		f := newHostWithPrimary(t, withPoolers(c.fronts))
		for id := uint32(10); f.now < startTime+time.Minute; id++ {
			f.sendRequest(id, classAny) // in use, but no word from the primary
			if len(f.attempts[id]) > 0 {
				f.endAttempt(id, 0, OK, RoleUnknown)
			}
			f.advanceTo(f.now + 500*ms)
		}
		if n := f.probeCount(1); n < c.least || n > c.most {
			t.Errorf("%d fronts: %d pings by one in a minute, want %d to %d", c.fronts, n, c.least, c.most)
		}
	}
}

// A front of a large fleet without traffic does not ping; its first write finds that the primary is dead, and
// reaches the new one.
func TestIdlePoolerFindsDeadPrimary(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(400))
	f.advanceTo(startTime + 20*time.Second)
	f.probedServers = nil
	f.advanceTo(startTime + time.Minute)
	if len(f.probedServers) != 0 {
		t.Fatalf("%d probes by a front without traffic", len(f.probedServers))
	}
	f.sendRequest(2, classNotIdempotent)
	f.wantAction("attempt 2 1")
	f.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	if f.probeCount(2) == 0 || f.probeCount(3) == 0 {
		t.Fatalf("probed %v after the refused connect, want a round", f.probedServers)
	}
	f.probeUnreachable(1)
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

// Scarce connections: a refused connect pauses the store and starts a round; the record stands while the primary
// answers that. When it comes a third time with nothing served between, connections are not kept idle meanwhile;
// sooner it may be one that broke.
func TestConnectFailureKeepsPrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	f.probeAnswered(1, true, f.now)
	if p := f.router.groups[7].primary; p == nil || p.ID != 1 {
		t.Fatal("a refused connect took the primary off the record")
	}
	f.advanceTo(f.now + 200*ms)
	if len(f.attempts[2]) != 2 || f.attempts[2][1] != 1 {
		t.Fatalf("sent to %v, want store 1 again after a pause", f.attempts[2])
	}
	f.endAttempt(2, 1, ConnectFailed, RoleUnknown)
	f.wantNoAction("close 1")
	f.advanceTo(f.now + 200*ms)
	f.endAttempt(2, 2, ConnectFailed, RoleUnknown)
	f.wantAction("close 1")
}

// Probes that fail by themselves: an error says nothing, and silence nothing within a second of an answer.
func TestFailedProbesAgainstAnswers(t *testing.T) {
	for _, c := range []struct {
		res  Result
		wait time.Duration
		lost bool
	}{{ServerError, 100 * ms, false}, {ServerError, 5 * time.Second, false}, {TimedOut, 900 * ms, false},
		{TimedOut, 1100 * ms, true}, {ConnectFailed, 100 * ms, true}} {
		f := newHostWithPrimary(t, nil)
		f.sendRequest(2, classLatest)
		f.endAttempt(2, 0, OK, RolePrimary)
		f.advanceTo(f.now + c.wait)
		f.router.HandleProbeResult(f.now, ProbeResult{Server: 1, Result: c.res})
		if lost := f.router.groups[7].primary == nil; lost != c.lost {
			t.Errorf("probe result %d %v after an answer: record lost %v, want %v", c.res, c.wait, lost, c.lost)
		}
	}
}

func TestPrimaryPingInterval(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 1010*ms + 5*ms)
	pings := 0
	for _, s := range f.probedServers {
		if s == 1 {
			pings++
		}
	}
	if pings != 11 { // at 10 ms, then each 100 ms
		t.Fatalf("%d pings of the primary in 1.01 s, want 11", pings)
	}
}

// A hung primary still answers shallow pings as primary. Guards against writes sent into it.
func TestSilentPrimaryIsDropped(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classLatest)
	f.wantAction("attempt 2 1")
	for f.now < startTime+3*time.Second {
		f.advanceTo(f.now + 50*ms)
		f.probeAnswered(1, true, startTime)
		if len(f.router.groups[7].queue.requests) == 0 && f.router.groups[7].primary == nil {
			break
		}
	}
	if f.router.groups[7].primary != nil {
		t.Fatal("still on record after 3 s of silence")
	}
	f.sendRequest(3, classNotIdempotent)
	f.probeAnswered(1, true, f.now)
	f.wantNoAction("attempt 3 1")
	f.probeAnswered(2, true, f.now)
	f.wantAction("attempt 3 2")
}

// A connection that breaks is no dead primary: the round that follows takes it back, although its report is
// older than its last answer.
func TestConnectionResetAllowsSamePrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.sendRequest(2, classLatest)
	f.advanceTo(startTime + 280*ms)
	f.endAttempt(2, 0, OK, RolePrimary)
	f.sendRequest(3, classNotIdempotent)
	f.advanceTo(startTime + 300*ms)
	f.endAttempt(3, 0, ConnectionReset, RoleUnknown)
	f.wantAction("fail 3")
	f.sendRequest(4, classNotIdempotent)
	f.wantNoAction("attempt 4 1")
	f.advanceTo(startTime + 360*ms)
	f.probeAnswered(1, true, f.now-150*ms)
	f.wantAction("attempt 4 1")
}

func TestMisdirectedWriteStartsRound(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.sendRequest(2, classNotIdempotent)
	f.probedServers = nil
	f.endAttempt(2, 0, Misdirected, RoleReplica)
	if len(f.probedServers) != 3 {
		t.Fatalf("a missed write probed %v, want all members", f.probedServers)
	}
	f.wantNoAction("refuse 2")
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

func TestPrimaryClaimsByAsOfTime(t *testing.T) {
	for _, newerFirst := range []bool{true, false} {
		f := newHost(t, nil)
		f.sendRequest(1, classNotIdempotent)
		claims := []struct {
			s   uint32
			pos time.Duration
		}{{1, startTime - 5*time.Second}, {2, startTime - ms}}
		if newerFirst {
			claims[0], claims[1] = claims[1], claims[0]
		}
		for _, c := range claims {
			f.probeAnswered(c.s, true, c.pos)
		}
		if p := f.router.groups[7].primary; p == nil || p.ID != 2 {
			t.Errorf("newer first %v: record %v, want store 2", newerFirst, p)
		}
	}
}
