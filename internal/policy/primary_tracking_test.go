package policy

import (
	"fmt"
	"testing"
	"time"
)

// Each pooler of a small fleet pings the primary every 100 ms. In a large fleet the ping rate of all poolers
// together is bounded.
func TestPingRateOfFleet(t *testing.T) {
	for _, c := range []struct{ poolers, minPings, maxPings int }{
		{3, 598, 602},
		{5, 598, 602},
		{100, 5, 7},
		{400, 1, 2},
	} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(c.poolers))
			for id := uint32(10); host.now < startTime+time.Minute; id++ {
				host.sendRequest(id, classAny) // keeps the group in use without answers of the primary
				if len(host.attempts[id]) > 0 {
					host.endAttempt(id, 0, OK, RoleUnknown)
				}
				host.advance(500 * ms)
			}
			if pings := host.probeCount(1); pings < c.minPings || pings > c.maxPings {
				t.Errorf("%d pings by one pooler in a minute, want %d to %d", pings, c.minPings, c.maxPings)
			}
		})
	}
}

// A pooler of a large fleet does not ping without traffic. Its first write detects that the primary is dead
// and is then sent to the new one.
func TestIdlePoolerFindsDeadPrimary(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(400))
	host.advanceTo(startTime + 20*time.Second)
	host.probedServers = nil
	host.advanceTo(startTime + time.Minute)
	if len(host.probedServers) != 0 {
		t.Fatalf("%d probes by a pooler without traffic", len(host.probedServers))
	}
	host.sendRequest(2, classNotIdempotent)
	host.wantAction("attempt 2 1")
	host.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	if host.probeCount(2) == 0 || host.probeCount(3) == 0 {
		t.Fatalf("probed %v after the failed connect, want a round", host.probedServers)
	}
	host.probeFailed(1, ConnectFailed)
	host.probeAnswered(3, true, host.now)
	host.wantAction("attempt 2 3")
}

// A failed connect starts a backoff and a probe round; the recorded primary is kept if it answers the probe.
// Idle connections are closed only after three consecutive failures, since a single connection may just have
// broken.
func TestConnectFailureKeepsPrimary(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.sendRequest(2, classNotIdempotent)
	host.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	host.probeAnswered(1, true, host.now)
	if host.primary() != 1 {
		t.Fatal("the primary was dropped after a failed connect, although it answered the probe")
	}
	host.advance(200 * ms)
	if sent := host.attempts[2]; len(sent) != 2 || sent[1] != 1 {
		t.Fatalf("sent to %v, want server 1 again after a backoff", sent)
	}
	host.endAttempt(2, 1, ConnectFailed, RoleUnknown)
	host.wantNoAction("close 1")
	host.advance(200 * ms)
	host.endAttempt(2, 2, ConnectFailed, RoleUnknown)
	host.wantAction("close 1")
}

// Probes can fail on their own: an error does not drop the primary, nor does a timeout within a second of an
// answer.
func TestFailedProbeAfterAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		result  Result
		after   time.Duration // since the primary's last answer
		dropped bool
	}{
		"early error":       {ServerError, 100 * ms, false},
		"late error":        {ServerError, 5 * time.Second, false},
		"early timeout":     {TimedOut, 900 * ms, false},
		"late timeout":      {TimedOut, 1100 * ms, true},
		"connection failed": {ConnectFailed, 100 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.sendRequest(2, classLatest)
			host.endAttempt(2, 0, OK, RolePrimary)
			host.advance(c.after)
			host.probeFailed(1, c.result)
			if dropped := host.primary() == 0; dropped != c.dropped {
				t.Errorf("primary dropped: %v, want %v", dropped, c.dropped)
			}
		})
	}
}

func TestPrimaryPingInterval(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advanceTo(startTime + 1010*ms + 5*ms)
	if pings := host.probeCount(1); pings != 11 { // after 10 ms, then every 100 ms
		t.Fatalf("%d pings of the primary in 1.01 s, want 11", pings)
	}
}

// A hung primary may still answer shallow probes as primary. No more writes must be sent to it.
func TestSilentPrimaryIsDropped(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.sendRequest(2, classLatest)
	host.wantAction("attempt 2 1")
	for host.now < startTime+3*time.Second {
		host.advance(50 * ms)
		host.probeAnswered(1, true, startTime)
		if len(host.router.groups[testGroup].queue.requests) == 0 && host.primary() == 0 {
			break
		}
	}
	if host.primary() != 0 {
		t.Fatal("the primary is still recorded after 3 s of silence")
	}
	host.sendRequest(3, classNotIdempotent)
	host.probeAnswered(1, true, host.now)
	host.wantNoAction("attempt 3 1")
	host.probeAnswered(2, true, host.now)
	host.wantAction("attempt 3 2")
}

// A broken connection does not prove that the primary is dead: the following probe round records it again,
// although its status is older than its last answer.
func TestConnectionResetAllowsSamePrimary(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advanceTo(startTime + 200*ms)
	host.sendRequest(2, classLatest)
	host.advanceTo(startTime + 280*ms)
	host.endAttempt(2, 0, OK, RolePrimary)
	host.sendRequest(3, classNotIdempotent)
	host.advanceTo(startTime + 300*ms)
	host.endAttempt(3, 0, ConnectionReset, RoleUnknown)
	host.wantAction("fail 3")
	host.sendRequest(4, classNotIdempotent)
	host.wantNoAction("attempt 4 1")
	host.advanceTo(startTime + 360*ms)
	host.probeAnswered(1, true, host.now-150*ms)
	host.wantAction("attempt 4 1")
}

func TestMisdirectedWriteStartsRound(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advanceTo(startTime + 200*ms)
	host.sendRequest(2, classNotIdempotent)
	host.probedServers = nil
	host.endAttempt(2, 0, Misdirected, RoleReplica)
	if len(host.probedServers) != 3 {
		t.Fatalf("a misdirected write probed %v, want all members", host.probedServers)
	}
	host.wantNoAction("reject 2")
	host.probeAnswered(3, true, host.now)
	host.wantAction("attempt 2 3")
}

func TestPrimaryClaimsByAsOfTime(t *testing.T) {
	older := func(host *fakeHost) { host.probeAnswered(1, true, startTime-5*time.Second) }
	newer := func(host *fakeHost) { host.probeAnswered(2, true, startTime-ms) }
	for name, claims := range map[string][]func(*fakeHost){
		"older first": {older, newer},
		"newer first": {newer, older},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, nil)
			host.sendRequest(1, classNotIdempotent)
			for _, claim := range claims {
				claim(host)
			}
			if p := host.primary(); p != 2 {
				t.Errorf("recorded primary %d, want server 2", p)
			}
		})
	}
}
