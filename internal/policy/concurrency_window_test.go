package policy

import (
	"fmt"
	"testing"
	"time"
)

// A pooler whose share of a window is below one attempt sends without delay if servers are not congested.
func TestNoPacingWithoutCongestion(t *testing.T) {
	host := newHostWithPrimary(t, withPoolers(400))
	for id := uint32(2); id < 8; id++ {
		host.sendRequest(id, classLatest)
		host.wantAction(fmt.Sprintf("attempt %d 1", id))
		host.advance(80 * ms)
		host.endAttempt(id, 0, OK, RolePrimary)
	}
}

// Under congestion a pooler whose share of a window is below one attempt delays its reads by a multiple of
// the duration of the last attempt, such that all poolers together stay within the window however slow the
// server is. Writes are not delayed, as no other server can take them. Without congestion no request is
// delayed.
func TestReadPacingUnderCongestion(t *testing.T) {
	for name, c := range map[string]struct {
		overallRatio float64 // latency ratio of all servers
		class        int
		lastDuration time.Duration // duration of the last attempt
		delay        time.Duration
	}{
		"no congestion":        {1, classBounded, 200 * ms, 0},
		"after a short answer": {3, classBounded, 100 * ms, 900 * ms},
		"after a long answer":  {3, classBounded, 300 * ms, 2700 * ms},
		"write":                {3, classNotIdempotent, 200 * ms, 0},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(80))
			host.router.overall.latencyRatio = c.overallRatio
			host.sendRequest(2, classAny)
			s := host.server(host.attempts[2][0])
			host.advance(c.lastDuration)
			host.endAttempt(2, 0, OK, RoleReplica)
			s.window.size = 0.1
			s.latency.ratio = 1
			host.router.overall.latencyRatio = c.overallRatio
			for _, wait := range []time.Duration{c.delay - 10*ms, c.delay} {
				host.router.advanceClock(s.outstanding.lastEndedAt + wait)
				want := wait >= c.delay || c.delay == 0
				if got := host.router.hasCapacity(s, c.class); got != want {
					t.Errorf("has capacity after %v: %v, want %v", wait, got, want)
				}
			}
		})
	}
}

// A window below one attempt grows only while it delays reads, which requires congestion: good answers
// without congestion do not show that a larger window would cause none.
func TestFractionalWindowWithoutCongestion(t *testing.T) {
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
				t.Errorf("window %v after ten good answers, 0.1 before", size)
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
		t.Fatalf("%d writes in flight at the primary, want %v", n, initialFleetWindow/2)
	}
	host.advanceTo(startTime + 10*ms)
	host.endAttempt(2, 0, OK, RolePrimary)
	if n := host.server(1).outstanding.count(); n < int(initialFleetWindow)/2 {
		t.Fatalf("%d writes in flight after an answer, want a full window again", n)
	}
}

// In a large fleet one attempt of each pooler already forms a queue at the server. A window below one attempt
// therefore delays the next read.
func TestReadPacingByFleetSize(t *testing.T) {
	for _, c := range []struct {
		poolers int
		delayed bool
	}{{3, false}, {24, true}} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			host := newHostWithPrimary(t, withPoolers(c.poolers))
			for range 200 { // congested answers, which reduce the window
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
			if delayed := len(host.attempts[3]) == 0; delayed != c.delayed {
				t.Errorf("delayed after an attempt: %v, want %v", delayed, c.delayed)
			}
			host.advance(480 * ms)
			if len(host.attempts[3]) == 0 {
				t.Error("nothing was sent after the delay")
			}
		})
	}
}
