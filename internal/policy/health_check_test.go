package policy

import (
	"testing"
	"time"
)

// A client that cancels its request, or leaves, says nothing of the server: neither its speed nor its failures move, and no
// retry is spent, however long the attempt was out.
func TestClientCancelSaysNothingOfServer(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classByKey)
	f.wantAction("attempt 2 1")
	s := f.server(1)
	slow, all, fails, retry, mean := s.latency.ratio, f.router.overall.latencyRatio, s.ejection.failureRate, f.router.retryBudget, f.router.estimates.classes[classByKey].meanLatency
	f.advanceTo(f.now + 1200*ms)
	f.probeAnswered(1, true, f.now)
	f.router.HandleDisconnect(f.now, 2)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if s.latency.ratio != slow || f.router.overall.latencyRatio != all || s.ejection.failureRate != fails || f.router.retryBudget != retry || f.router.estimates.classes[classByKey].meanLatency != mean || s.ejection.ejected {
		t.Errorf("slowness %v and %v, failures %v, retries %v, mean %v", s.latency.ratio, f.router.overall.latencyRatio, s.ejection.failureRate, f.router.retryBudget, f.router.estimates.classes[classByKey].meanLatency)
	}
}

// What a gone client left behind is cancelled, and its short life is no good answer time.
func TestDisconnectCancelsAndIsNoLatency(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classLatest)
	p := f.server(1)
	p.latency.ratio, p.latency.measuredAt, f.router.overall.latencyRatio = 3, f.now, 3
	f.advanceTo(f.now + 20*ms)
	f.router.HandleDisconnect(f.now, 2)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if p.latency.ratio < 3 || f.router.overall.latencyRatio < 3 {
		t.Fatalf("slowness %.2f and %.2f after a cancelled attempt, want 3", p.latency.ratio, f.router.overall.latencyRatio)
	}
}

// Attempts that wait at a store which says nothing count against that store, and make no jam of the others.
func TestSilenceIsNoCongestion(t *testing.T) {
	for _, heard := range []time.Duration{200 * ms, 5 * time.Second} {
		f := newHostWithPrimary(t, withPoolers(80))
		f.advanceTo(startTime + 10*time.Second)
		s := f.server(2)
		f.router.advanceClock(f.now)
		s.health.lastAnswerAt = f.now - heard
		for range 20 {
			f.router.observeLatency(s, &attempt{server: s, sentAt: f.now - 500*ms, request: &request{}}, false)
		}
		if jam := f.router.overall.latencyRatio > congestedLatencyRatio; jam != (heard < recentAnswerAge) || s.latency.ratio < 2 {
			t.Errorf("heard %v ago: slowness of all %.1f, of the store %.1f", heard, f.router.overall.latencyRatio, s.latency.ratio)
		}
	}
}

func TestOverloadedServerIsPaused(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(startTime + 10*ms)
	f.endAttempt(2, 0, Overloaded, RolePrimary)
	f.advanceTo(startTime + 10*ms + initialPause - ms)
	if len(f.attempts[2]) != 1 {
		t.Fatalf("sent %d times within the pause", len(f.attempts[2]))
	}
	f.advanceTo(startTime + 10*ms + initialPause + 2*positionRefreshInterval)
	if len(f.attempts[2]) != 2 {
		t.Fatalf("sent %d times after the pause, want 2", len(f.attempts[2]))
	}
}

func TestRequestOfSilentServerIsRetried(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classAny)
	silent := f.attempts[2][0]
	f.advanceTo(startTime + 1500*ms)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if len(f.attempts[2]) != 2 || f.attempts[2][1] == silent {
		t.Fatalf("sent to %v, want another store after %d", f.attempts[2], silent)
	}
}

// One attempt that is never answered, while later ones are, is no silence of the store's.
func TestOvertakenAttemptIsNoSilence(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(f.now + 10*ms)
	f.sendRequest(3, classNotIdempotent)
	f.advanceTo(f.now + 10*ms)
	f.endAttempt(3, 0, OK, RolePrimary)
	f.advanceTo(f.now + 1500*ms)
	if s := f.server(1); s.health.silent || s.ejection.ejected {
		t.Error("the store counts as silent")
	}
}

// A connection that breaks between two answers is no restart: its store must not be held to a cold one's share. One that
// was out of reach for longer may have restarted.
func TestBrokenConnectionIsNoRestart(t *testing.T) {
	for away, cold := range map[time.Duration]bool{minRestartOutage / 2: false, 2 * minRestartOutage: true} {
		f := newHostWithPrimary(t, nil)
		f.advanceTo(f.now + away)
		f.probeUnreachable(2)
		f.probeAnswered(2, false, f.now)
		if s := f.server(2); s.slowStart.since > 0 != cold {
			t.Errorf("out of reach for %v: cold %v, want %v", away, !cold, cold)
		}
	}
}
