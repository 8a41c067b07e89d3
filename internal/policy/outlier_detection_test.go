package policy

import (
	"testing"
)

// Worthless requests get a quick error at every store and cost none its turn.
func TestErrorsEverywhereEjectNone(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 80; id++ {
		f.advanceTo(f.now + 10*ms)
		f.sendRequest(id, classAny)
		res := OK
		if id%2 == 0 {
			res = ServerError
		}
		for n := 0; n < len(f.attempts[id]); n++ {
			f.endAttempt(id, n, res, RoleReplica)
		}
	}
	for s := uint32(2); s <= 3; s++ {
		if f.server(s).ejection.ejected {
			t.Errorf("store %d lost its turn to errors that all stores give", s)
		}
	}
}

// The fleet's word costs a store its turn only where this front has no answer of its own, and never a group's last one.
func TestFleetEjection(t *testing.T) {
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

func TestFailingServerIsEjected(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 40 && !f.server(2).ejection.ejected; id++ {
		f.advanceTo(f.now + 10*ms)
		f.sendRequest(id, classAny)
		res := OK
		if f.attempts[id][0] == 2 {
			res = ServerError
		}
		f.endAttempt(id, 0, res, RoleReplica)
		for n := 1; n < len(f.attempts[id]); n++ {
			f.endAttempt(id, n, OK, RoleReplica)
		}
	}
	if !f.server(2).ejection.ejected || f.server(3).ejection.ejected {
		t.Fatal("the store that fails keeps its turn, or the good one lost it")
	}
}

// An attempt that hangs at a store that has lost its turn must not keep it from its trial until it times out: it may be
// a lost connection, and the store well.
func TestHungAttemptLeavesCapacityForTrial(t *testing.T) {
	f := newHost(t, nil)
	s := f.server(2)
	s.window.size = 1
	f.router.sendAttempt(&request{class: &f.router.settings.Classes[classNotIdempotent], classIndex: classNotIdempotent, group: f.router.groupFor(7)}, s)
	if f.router.hasCapacity(s, classNotIdempotent) {
		t.Fatal("a full window has room")
	}
	f.router.advanceClock(f.now + ms)
	f.router.eject(s, "is silent")
	if !f.router.hasCapacity(s, classNotIdempotent) {
		t.Error("no room for a trial beside the attempt that hangs")
	}
}
