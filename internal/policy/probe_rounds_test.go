package policy

import (
	"slices"
	"testing"
	"time"
)

// When a large fleet starts at once and the list names a primary, the poolers send no probes: their first
// writes go to that server, and only the poolers whose writes are misdirected start a round.
func TestInitialRoundByFleetSize(t *testing.T) {
	for name, c := range map[string]struct {
		poolers, probes int
		listed          uint32 // the primary according to the list; 0 for none
	}{
		"small fleet":                    {2, 3, 1},
		"large fleet":                    {100, 0, 1},
		"large fleet, no primary listed": {100, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, withPoolers(c.poolers))
			host.router.HandleList(host.now, ListFull, memberList(3, c.listed))
			host.sendRequest(2, classByKey)
			if len(host.probedServers) != c.probes {
				t.Errorf("probed %v, want %d members", host.probedServers, c.probes)
			}
			if c.probes > 0 {
				return
			}
			host.wantAction("attempt 2 1")
			host.endAttempt(2, 0, Misdirected, RoleReplica)
			if len(host.probedServers) != 3 {
				t.Fatalf("probed %v after a misdirected write, want a round", host.probedServers)
			}
			host.probeAnswered(3, true, host.now)
			host.wantAction("attempt 2 3")
		})
	}
}

// While the round leader repeats a group's rounds, a pooler with queued requests starts none, and resumes its
// own rounds when the leader's reports stop. A report of the leader takes effect only if no more recent
// evidence contradicts it.
func TestRoundsDelegatedToLeader(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(80))
	host.probeAnswered(1, false, host.now)
	host.sendRequest(2, classLatest)
	if n := host.probesWithin(time.Second); n == 0 {
		t.Fatal("the pooler starts no round after the primary was dropped")
	}
	host.sendRequest(3, classLatest)
	host.router.ObservePrimary(host.now, testGroup, 0, false, 0)
	if n := host.probesWithin(roundLeaderTimeout - 100*ms); n != 0 {
		t.Errorf("%d probes while the leader repeats the rounds, want 0", n)
	}
	before := len(host.probedServers)
	host.router.ReportPrimaryDown(host.now, testGroup)
	if len(host.probedServers) != before {
		t.Error("a pooler that is not the leader starts a round when another one reports the primary down")
	}
	host.sendRequest(4, classLatest)
	if n := host.probesWithin(time.Second); n == 0 {
		t.Error("the pooler starts no round after the leader's reports have stopped")
	}
	host.router.ObservePrimary(host.now, testGroup, 2, true, host.now-time.Minute)
	if host.primary() != 0 {
		t.Error("an old report of a primary takes precedence over newer evidence that it is a replica")
	}
	host.router.ObservePrimary(host.now, testGroup, 2, true, host.now+ms)
	if p := host.primary(); p != 2 {
		t.Errorf("recorded primary %d, want the reported one", p)
	}
	host.router.ObservePrimary(host.now, testGroup, 0, false, 0)
	host.probeAnswered(3, true, host.now+2*ms)
	if host.router.groupFor(testGroup).round.leaderActiveUntil != 0 {
		t.Error("the rounds of the next outage are still delegated to the leader after a primary was found")
	}
}

func TestFirstRequestStartsRound(t *testing.T) {
	host := newHost(t, nil)
	if len(host.probedServers) != 0 {
		t.Fatalf("probed %v before the group was used", host.probedServers)
	}
	host.sendRequest(1, classNotIdempotent)
	if !slices.Equal(host.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("probed %v, want all members", host.probedServers)
	}
	host.wantNoAction("attempt 1 1")
	host.probeAnswered(2, true, host.now)
	host.wantAction("attempt 1 2")
}

func TestRoundInterval(t *testing.T) {
	for name, c := range map[string]struct {
		answer   func(host *fakeHost, server uint32)
		interval time.Duration
	}{
		"some answered": {
			answer:   func(host *fakeHost, server uint32) { host.probeAnswered(server, false, host.now-ms) },
			interval: 500 * ms,
		},
		"none answered": {
			answer:   func(host *fakeHost, server uint32) { host.probeFailed(server, ConnectFailed) },
			interval: time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHost(t, nil)
			host.sendRequest(1, classNotIdempotent)
			for server := uint32(1); server <= 3; server++ {
				c.answer(host, server)
			}
			host.probedServers = nil
			host.advanceTo(startTime + c.interval - ms)
			if len(host.probedServers) != 0 {
				t.Fatalf("another round before %v", c.interval)
			}
			host.advanceTo(startTime + c.interval + ms)
			if len(host.probedServers) != 3 {
				t.Fatalf("%d probes after %v, want 3", len(host.probedServers), c.interval)
			}
		})
	}
}

// probesWithin returns the number of probes sent within the given time, during which every member reports
// that it is a replica.
func (host *fakeHost) probesWithin(span time.Duration) int {
	before := len(host.probedServers)
	for end := host.now + span; host.now < end; {
		host.advanceTo(min(host.now+100*ms, end))
		for _, s := range host.router.servers.ordered {
			if s.health.roundProbePending {
				host.probeAnswered(s.ID, false, host.now)
			}
		}
	}
	return len(host.probedServers) - before
}

// The round leader starts a single round for several reports that a primary is down, and repeats rounds even
// without requests of its own.
func TestRoundLeader(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(80))
	host.router.ObservePrimary(host.now, testGroup, 2, true, host.now+3*ms)
	host.router.SetRoundLeader(true)
	host.advance(roundInterval)
	before := len(host.probedServers)
	host.router.ReportPrimaryDown(host.now, testGroup)
	host.router.ReportPrimaryDown(host.now, testGroup)
	if n := len(host.probedServers) - before; n != 3 {
		t.Errorf("%d probes by the leader after two reports, want 3", n)
	}
	host.probeAnswered(2, false, host.now)
	if n := host.probesWithin(2 * time.Second); n < 6 {
		t.Errorf("%d probes by the leader without requests of its own, want at least 6", n)
	}
}
