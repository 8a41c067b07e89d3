package policy

import (
	"testing"
)

// If requests fail at all servers at the same rate, no server is ejected.
func TestErrorsAtAllServersEjectNone(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 80; id++ {
		host.advance(10 * ms)
		host.sendRequest(id, classAny)
		result := OK
		if id%2 == 0 {
			result = ServerError
		}
		for attempt := 0; attempt < len(host.attempts[id]); attempt++ {
			host.endAttempt(id, attempt, result, RoleReplica)
		}
	}
	for id := uint32(2); id <= 3; id++ {
		if host.server(id).ejection.ejected {
			t.Errorf("server %d was ejected for errors that all servers return", id)
		}
	}
}

// An ejection by the fleet has no effect if this pooler has a recent answer of the server or if the server is
// the last available member of its group. The fleet cannot end an ejection for which this pooler has its own
// evidence.
func TestFleetEjection(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.server(2).health.lastAnswerAt = host.now
	host.router.ObserveFleetEjection(host.now, 2, true)
	if host.server(2).ejection.ejected {
		t.Error("a server that has just answered this pooler was ejected by the fleet")
	}
	host.advanceTo(startTime + recentAnswerAge)
	host.router.ObserveFleetEjection(host.now, 2, true)
	if e := host.server(2).ejection; !e.ejected || e.nextTrialAt != host.now+initialTrialInterval {
		t.Error("a server that the fleet reports as an outlier is not ejected, or has no trial scheduled")
	}
	host.router.ObserveFleetEjection(host.now, 2, false)
	if host.server(2).ejection.ejected {
		t.Error("the server is still ejected after the fleet has ended the ejection")
	}
	host.router.eject(host.server(2), "is silent")
	host.router.ObserveFleetEjection(host.now, 2, false)
	if !host.server(2).ejection.ejected {
		t.Error("the fleet ended an ejection for which this pooler has its own evidence")
	}
	host.router.eject(host.server(3), "is silent")
	host.router.ObserveFleetEjection(host.now, 1, true)
	if host.server(1).ejection.ejected {
		t.Error("the last available member was ejected by the fleet")
	}
	host.router.ObserveFleetEjection(host.now, 99, true) // an unknown server
}

func TestFailingServerIsEjected(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 40 && !host.server(2).ejection.ejected; id++ {
		host.advance(10 * ms)
		host.sendRequest(id, classAny)
		result := OK
		if host.attempts[id][0] == 2 {
			result = ServerError
		}
		host.endAttempt(id, 0, result, RoleReplica)
		for attempt := 1; attempt < len(host.attempts[id]); attempt++ {
			host.endAttempt(id, attempt, OK, RoleReplica)
		}
	}
	if !host.server(2).ejection.ejected || host.server(3).ejection.ejected {
		t.Fatal("the failing server is not ejected, or the healthy one is")
	}
}

// An attempt that was sent to a server before its ejection and hangs must not block the trial until it times
// out: its connection may be lost although the server is healthy.
func TestHungAttemptLeavesCapacityForTrial(t *testing.T) {
	host := newHost(t, nil)
	s := host.server(2)
	s.window.size = 1
	hung := &request{
		class:      &host.router.settings.Classes[classNotIdempotent],
		classIndex: classNotIdempotent,
		group:      host.router.groupFor(testGroup),
	}
	host.router.sendAttempt(hung, s)
	if host.router.hasCapacity(s, classNotIdempotent) {
		t.Fatal("a full window has capacity")
	}
	host.router.advanceClock(host.now + ms)
	host.router.eject(s, "is silent")
	if !host.router.hasCapacity(s, classNotIdempotent) {
		t.Error("no capacity for a trial in addition to the attempt that hangs")
	}
}
