package policy

import (
	"fmt"
	"testing"
	"time"
)

// A shared window holds poolers with little traffic back only under congestion.
func TestLightPoolerServesAtOnce(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(400))
	for id := uint32(2); id < 8; id++ {
		host.sendRequest(id, classLatest)
		host.wantAction(fmt.Sprintf("attempt %d 1", id))
		host.advance(80 * ms)
		host.endAttempt(id, 0, OK, RolePrimary)
	}
}

// Under congestion a pooler whose share of a window is less than one attempt rests between reads as long as that share asks
// for, by how long the last one took: so the sum over all poolers is the window however slow the server. Writes, which have
// nowhere else to go, do not rest, and without congestion no pooler does.
func TestRestsUnderCongestion(t *testing.T) {
	for name, c := range map[string]struct {
		ratio float64 // of all servers
		class int
		took  time.Duration
		rest  time.Duration
	}{
		"without congestion":   {1, classBounded, 200 * ms, 0},
		"after a short answer": {3, classBounded, 100 * ms, 900 * ms},
		"after a long answer":  {3, classBounded, 300 * ms, 2700 * ms},
		"of a write":           {3, classNotIdempotent, 200 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(80))
			host.router.overall.latencyRatio = c.ratio
			host.sendRequest(2, classAny)
			s := host.server(host.attempts[2][0])
			host.advance(c.took)
			host.endAttempt(2, 0, OK, RoleReplica)
			s.window.size = 0.1
			s.latency.ratio = 1
			host.router.overall.latencyRatio = c.ratio
			for _, wait := range []time.Duration{c.rest - 10*ms, c.rest} {
				host.router.advanceClock(s.outstanding.lastEndedAt + wait)
				want := wait >= c.rest || c.rest == 0
				if got := host.router.hasCapacity(s, c.class); got != want {
					t.Errorf("capacity after %v is %v, want %v", wait, got, want)
				}
			}
		})
	}
}

// Windows of less than one attempt grow only where they were in force: one good answer after another without congestion says
// nothing about congestion.
func TestSharedWindowKeepsWithoutCongestion(t *testing.T) {
	for _, ratio := range []float64{1, 2} {
		t.Run(fmt.Sprint("latency ratio ", ratio), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(80))
			for id := uint32(2); id < 12; id++ {
				host.sendRequest(id, classLatest)
				host.advance(20 * ms)
				host.router.overall.latencyRatio = ratio
				host.endAttempt(id, 0, OK, RolePrimary)
			}
			size := host.server(1).window.size
			if grown := size > 0.1; grown != (ratio > congestedLatencyRatio) {
				t.Errorf("window %v after ten good answers, from 0.1", size)
			}
		})
	}
}

func TestWindowLimitsAttempts(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 12; id++ {
		host.sendRequest(id, classNotIdempotent)
	}
	if n := host.server(1).outstanding.count(); n != int(initialFleetWindow)/2 {
		t.Fatalf("%d writes are in flight at the primary, want %v", n, initialFleetWindow/2)
	}
	host.advanceTo(startTime + 10*ms)
	host.endAttempt(2, 0, OK, RolePrimary)
	if n := host.server(1).outstanding.count(); n < int(initialFleetWindow)/2 {
		t.Fatalf("%d writes are in flight after an answer, want the window full again", n)
	}
}

// With many poolers one attempt from each is a queue already: a window under one is a rest between attempts.
func TestRestBetweenAttemptsWithManyPoolers(t *testing.T) {
	for _, c := range []struct {
		poolers int
		rests   bool
	}{{3, false}, {24, true}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(c.poolers))
			for range 200 { // answers that show a queue
				host.now += windowDecreaseInterval
				host.setLatencyRatio(host.server(1), 3)
				host.router.advanceClock(host.now)
				host.router.adjustWindow(host.server(1))
			}
			host.sendRequest(2, classLatest)
			host.wantAction("attempt 2 1")
			host.advance(20 * ms)
			host.endAttempt(2, 0, OK, RolePrimary)
			host.sendRequest(3, classLatest)
			if rests := len(host.attempts[3]) == 0; rests != c.rests {
				t.Errorf("rests %v after an attempt, want %v", rests, c.rests)
			}
			host.advance(480 * ms)
			if len(host.attempts[3]) == 0 {
				t.Error("nothing was sent after the rest")
			}
		})
	}
}
