package policy

import (
	"testing"
	"time"
)

// Reads are spread by weight, also while some are in flight. A member with weight NoReads gets
// none, and the share of a stale replica goes to the others by their weights.
func TestReadsByWeight(t *testing.T) {
	for name, c := range map[string]struct {
		weights  map[uint32]int
		stale    uint32 // replica that is too far behind; 0 for none
		inFlight int    // number of reads in flight
		want     map[uint32]float64
	}{
		"1:2:5": {
			weights: map[uint32]int{2: 1, 3: 2, 4: 5},
			want:    map[uint32]float64{2: 1. / 8, 3: 2. / 8, 4: 5. / 8},
		},
		"1:2:5, in flight": {
			weights:  map[uint32]int{2: 1, 3: 2, 4: 5},
			inFlight: 3,
			want:     map[uint32]float64{2: 1. / 8, 3: 2. / 8, 4: 5. / 8},
		},
		"no reads for one": {
			weights:  map[uint32]int{2: NoReads, 3: 2, 4: 2},
			inFlight: 2,
			want:     map[uint32]float64{3: 1. / 2, 4: 1. / 2},
		},
		"no reads for all": {
			weights: map[uint32]int{2: NoReads, 3: NoReads, 4: NoReads},
			want:    map[uint32]float64{1: 1},
		},
		"heaviest replica is stale": {
			weights: map[uint32]int{2: 1, 3: 2, 4: 5},
			stale:   4,
			want:    map[uint32]float64{2: 1. / 3, 3: 2. / 3},
		},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			var list []Member
			for id := uint32(1); id <= 4; id++ {
				list = append(list, newMember(id, Ready, c.weights[id]))
			}
			host.router.HandleList(host.now, ListFull, list)
			const reads = 2000
			count := host.countReads(reads, c.stale, c.inFlight)
			for id := uint32(1); id <= 4; id++ {
				if got := float64(count[id]) / reads; got < 0.95*c.want[id] || got > 1.05*c.want[id] {
					t.Errorf("reads per server are %v, want shares %v", count, c.want)
				}
			}
		})
	}
}

// countReads sends bounded reads 10 ms apart to servers 1 to 4, of which one may be stale, and
// keeps up to inFlight of them unanswered. It returns the number of reads sent to each server.
func (host *fakeHost) countReads(reads uint32, staleServer uint32, inFlight int) map[uint32]int {
	host.t.Helper()
	const firstID = 10
	count := map[uint32]int{}
	for id := uint32(firstID); id < firstID+reads; id++ {
		host.advance(10 * ms)
		for server := uint32(1); server <= 4; server++ {
			position := host.now
			if server == staleServer {
				position -= time.Hour
			}
			host.probeAnswered(server, server == 1, position)
		}
		host.sendRequest(id, classBounded)
		if len(host.attempts[id]) != 1 {
			host.t.Fatalf("read %d was sent to %v, want one server", id, host.attempts[id])
		}
		count[host.attempts[id][0]]++
		if served := id - uint32(inFlight); served >= firstID {
			host.endAttempt(served, 0, OK, RoleUnknown)
		}
	}
	return count
}

// In a large fleet, reads that no replica has capacity for go to the primary unless the primary
// itself is congested.
func TestFallbackUnderCongestion(t *testing.T) {
	for name, c := range map[string]struct {
		primary, overall float64 // latency ratios
		sent             bool    // whether the read is sent to the primary
	}{
		"no congestion":      {1, 1, true},
		"congested replicas": {1, 3, true},
		"congested primary":  {3, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(400))
			host.setLatencyRatio(host.server(1), c.primary)
			host.router.overall.latencyRatio = c.overall
			host.router.withdraw(host.server(2), Draining, host.now)
			host.router.withdraw(host.server(3), Draining, host.now)
			host.sendRequest(2, classAny)
			host.advance(200 * ms)
			if sent := len(host.attempts[2]) > 0; sent != c.sent {
				t.Errorf("read sent to the primary: %v, want %v", sent, c.sent)
			}
		})
	}
}

// Each of 80 poolers sends reads, the last one while another is in flight. Each replica must be the
// home of about as many poolers, and the reads that the homes are too busy for must be spread
// evenly too. A lagging replica must not move its poolers elsewhere.
func TestHomesSpreadReadsEvenly(t *testing.T) {
	const poolers = 80
	homes, secondChoices := map[uint32]int{}, map[uint32]int{}
	for pooler := range poolers {
		host := newHost(t, withPooler(pooler, poolers))
		host.router.HandleList(host.now, ListFull, memberList(5, 1))
		host.probeAnswered(1, true, host.now)
		host.probeAnswered(2, false, host.now-time.Second)
		host.sendRequest(10, classAny)
		host.endAttempt(10, 0, OK, RoleReplica)
		host.sendRequest(11, classAny)
		if host.attempts[11][0] != host.attempts[10][0] {
			t.Fatalf("pooler %d sent reads to %d and %d, want the same replica",
				pooler, host.attempts[10][0], host.attempts[11][0])
		}
		host.sendRequest(12, classAny)
		homes[host.attempts[11][0]]++
		secondChoices[host.attempts[12][0]]++
	}
	for id := uint32(2); id <= 5; id++ {
		for place, n := range map[string]int{"home": homes[id], "second choice": secondChoices[id]} {
			if n < 17 || n > 21 { // rendezvous.Slack of the mean
				t.Errorf("replica %d is the %s of %d poolers, want about 20", id, place, n)
			}
		}
	}
}

// When a replica is replaced or promoted, few poolers may change their home other than those whose
// home it was: each one that does has to open new connections.
func TestFewHomesMove(t *testing.T) {
	const poolers = 80
	for name, change := range map[string]func(host *fakeHost){
		"replaced": func(host *fakeHost) {
			list := memberList(5, 1)
			list[4].ID = 6
			host.router.HandleList(host.now, ListFull, list)
		},
		"promoted": func(host *fakeHost) {
			host.now += time.Second
			host.probeAnswered(1, false, host.now)
			host.probeAnswered(5, true, host.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			moved, displaced := 0, 0
			for pooler := range poolers {
				host := newHost(t, withPooler(pooler, poolers))
				host.router.HandleList(host.now, ListFull, memberList(5, 1))
				host.probeAnswered(1, true, host.now)
				host.sendRequest(10, classAny)
				host.endAttempt(10, 0, OK, RoleReplica)
				change(host)
				host.sendRequest(11, classAny)
				home := host.attempts[10][0]
				if home == host.attempts[11][0] {
					continue
				}
				moved++
				if home == 5 {
					displaced++
				}
			}
			// A quarter move to the new replica, and one in twenty is tolerated.
			if displaced == 0 || moved > displaced+poolers/4+poolers/20 {
				t.Errorf("%d of %d poolers have changed their home, of which %d had to", moved, poolers, displaced)
			}
		})
	}
}

func TestReadsAlternateBetweenReplicas(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 8; id++ {
		host.sendRequest(id, classAny)
	}
	count := map[uint32]int{}
	for _, servers := range host.attempts {
		count[servers[0]]++
	}
	if count[1] != 0 || count[2] != 3 || count[3] != 3 {
		t.Fatalf("reads per server are %v, want three for each replica", count)
	}
}

// If all servers are ejected, reads go to a reachable one and not to an unreachable one, even if
// that has the fewest outstanding attempts.
func TestNoFallbackToUnreachable(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.router.groups[testGroup].primary = nil
	for id := uint32(1); id <= 3; id++ {
		host.server(id).ejection.ejected = true
	}
	host.server(2).ejection.nextTrialAt = startTime + time.Hour
	host.server(3).ejection.nextTrialAt = startTime + time.Hour
	host.server(1).health.unreachable = true
	host.server(3).health.unreachable = true
	host.sendRequest(2, classAny)
	host.advanceTo(startTime + 300*ms)
	host.wantSentTo(2, 2)
}
