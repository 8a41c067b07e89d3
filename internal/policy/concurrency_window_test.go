package policy

import (
	"fmt"
	"testing"
	"time"
)

// Fronts with little traffic start without rests: a shared window holds them back only in a jam.
func TestLightPoolerServesAtOnce(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(400))
	for id := uint32(2); id < 8; id++ {
		f.sendRequest(id, classLatest)
		f.wantAction(fmt.Sprintf("attempt %d 1", id))
		f.advanceTo(f.now + 80*ms)
		f.endAttempt(id, 0, OK, RolePrimary)
	}
}

// In a jam a front whose share of a window is less than one attempt rests between reads as long as that share asks for:
// by how long the last one took, so that the sum over all fronts is the window however slow the store. Writes, which
// have nowhere else to go, do not rest, nor does anybody while answers come in good time.
func TestRestsUnderCongestion(t *testing.T) {
	for _, c := range []struct {
		slow        float64
		class       int
		first, next time.Duration // the store has held an attempt so long, and may be sent the next one so much later
	}{{1, classBounded, 200 * ms, 0}, {3, classBounded, 100 * ms, 900 * ms}, {3, classBounded, 300 * ms, 2700 * ms}, {3, classNotIdempotent, 200 * ms, 0}} {
		f := newHostWithPrimary(t, withPoolers(80))
		f.router.overall.latencyRatio = c.slow
		f.sendRequest(2, classAny)
		s := f.server(f.attempts[2][0])
		f.advanceTo(f.now + c.first)
		f.endAttempt(2, 0, OK, RoleReplica)
		s.window.size, s.latency.ratio, f.router.overall.latencyRatio = 0.1, 1, c.slow
		for _, wait := range []time.Duration{c.next - 10*ms, c.next} {
			f.router.advanceClock(s.outstanding.lastEndedAt + wait)
			if got, want := f.router.hasCapacity(s, c.class), wait >= c.next || c.next == 0; got != want {
				t.Errorf("%+v: room after %v is %v", c, wait, got)
			}
		}
	}
}

// Windows of less than one attempt grow only where they were in force; one good answer after another in a calm says
// nothing about a jam.
func TestSharedWindowKeepsWithoutCongestion(t *testing.T) {
	for _, slow := range []float64{1, 2} {
		f := newHostWithPrimary(t, withPoolers(80))
		for id := uint32(2); id < 12; id++ {
			f.sendRequest(id, classLatest)
			f.advanceTo(f.now + 20*ms)
			f.router.overall.latencyRatio = slow
			f.endAttempt(id, 0, OK, RolePrimary)
		}
		if w := f.server(1).window.size; (w > 0.1) != (slow > congestedLatencyRatio) {
			t.Errorf("slowness %v: window %v after ten good answers, from 0.1", slow, w)
		}
	}
}

func TestWindowLimitsAttempts(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 12; id++ {
		f.sendRequest(id, classNotIdempotent)
	}
	if n := len(f.server(1).outstanding.attempts); n != int(initialFleetWindow)/2 {
		t.Fatalf("%d writes out at the primary, want %v", n, initialFleetWindow/2)
	}
	f.advanceTo(startTime + 10*ms)
	f.endAttempt(2, 0, OK, RolePrimary)
	if n := len(f.server(1).outstanding.attempts); n < int(initialFleetWindow)/2 {
		t.Fatalf("%d writes out after an answer, want the window full again", n)
	}
}

// With many fronts one attempt from each is a queue already: a window under one is a rest between attempts.
func TestRestBetweenAttemptsWithManyPoolers(t *testing.T) {
	for _, c := range []struct {
		fronts int
		rest   bool
	}{{3, false}, {24, true}} {
		f := newHostWithPrimary(t, func(s *Settings) { s.Poolers = c.fronts })
		for i := 0; i < 200; i++ { // answers that show a queue
			s := f.server(1)
			f.now += windowCutInterval
			s.latency.ratio, s.latency.measuredAt = 3, f.now
			f.router.advanceClock(f.now)
			f.router.adjustWindow(s)
		}
		f.sendRequest(2, classLatest)
		f.wantAction("attempt 2 1")
		f.advanceTo(f.now + 20*ms)
		f.endAttempt(2, 0, OK, RolePrimary)
		f.sendRequest(3, classLatest)
		if rested := len(f.attempts[3]) == 0; rested != c.rest {
			t.Errorf("%d fronts: rests %v after an attempt, want %v", c.fronts, rested, c.rest)
		}
		f.advanceTo(f.now + 480*ms)
		if len(f.attempts[3]) == 0 {
			t.Errorf("%d fronts: nothing sent after the rest", c.fronts)
		}
	}
}
