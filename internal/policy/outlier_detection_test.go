package policy

import (
	"testing"
	"time"
)

// The fleet's word costs a store its turn only where this front has no answer of its own, and never a group's last one.
func TestVerdict(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.server(2).health.lastAnswerAt = f.now
	f.router.ObserveFleetEjection(f.now, 2, true)
	if f.server(2).ejection.ejected {
		t.Error("a store that has just answered here lost its turn by the fleet's word")
	}
	f.advanceTo(startTime + recentAnswerAge)
	f.router.ObserveFleetEjection(f.now, 2, true)
	if !f.server(2).ejection.ejected || f.server(2).ejection.nextTrialAt != f.now+initialTrialInterval {
		t.Error("a store that the fleet calls bad keeps its turn, or has no trial")
	}
	f.router.ObserveFleetEjection(f.now, 2, false)
	if f.server(2).ejection.ejected {
		t.Error("the word was taken back, and the store has no turn")
	}
	f.router.eject(f.server(2), "is silent")
	f.router.ObserveFleetEjection(f.now, 2, false)
	if !f.server(2).ejection.ejected {
		t.Error("the fleet's word gave back a turn that was lost by own evidence")
	}
	f.router.eject(f.server(3), "is silent")
	f.router.ObserveFleetEjection(f.now, 1, true)
	if f.server(1).ejection.ejected {
		t.Error("the last member with a turn lost it by the fleet's word")
	}
	f.router.ObserveFleetEjection(f.now, 99, true)
}

// A send that takes longer than the margin must be chosen so much earlier in a drain's grace.
func TestSendTakes(t *testing.T) {
	for _, c := range []struct{ takes, before time.Duration }{{0, sendMargin}, {20 * ms, sendMargin}, {180 * ms, 180 * ms}} {
		f := newHostWithPrimary(t, nil)
		f.router.SetSendDuration(c.takes)
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 1, Group: 7, State: Draining}})
		edge := startTime + 500*ms - c.before - 5*ms
		f.advanceTo(edge - ms)
		f.sendRequest(10, classNotIdempotent)
		f.wantAction("attempt 10 1")
		f.advanceTo(edge)
		f.sendRequest(11, classNotIdempotent)
		f.wantNoAction("attempt 11 1")
		if f.router.MayStillSend(f.now, 10, 0) {
			t.Errorf("sends take %v: one still fits %v before the grace ends", c.takes, c.before)
		}
	}
}
