package policy

import (
	"reflect"
	"testing"
	"time"
)

func TestWritesQueueWithoutPrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.probedServers = nil
	f.probeUnreachable(1)
	if !reflect.DeepEqual(f.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("a failed ping probed %v, want all members", f.probedServers)
	}
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(f.now + 300*ms)
	if len(f.attempts[2]) != 0 {
		t.Fatalf("a write was sent without a primary: %v", f.actions)
	}
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

func TestQueuedWriteIsRejectedInTime(t *testing.T) {
	f := newHost(t, nil)
	f.sendRequest(1, classNotIdempotent)
	f.advanceTo(startTime + 1980*ms)
	f.wantNoAction("refuse 1")
	f.advanceTo(startTime + 2*time.Second)
	f.wantAction("refuse 1")
}

// Held work goes newest first, and not at all once too little of its aim is left.
func TestQueueOrderAndEnd(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	f.sendRequest(1, classLatest)
	f.advanceTo(startTime + 20*ms)
	f.sendRequest(2, classLatest)
	held := f.router.groups[7].queue.requests
	if len(held) != 2 || held[0].id != 2 {
		t.Fatalf("%d held, want request 2 before 1", len(held))
	}
	f.advanceTo(startTime + 500*ms)
	f.wantAction("refuse 1")
	f.wantAction("refuse 2")
}

// While a group is without a primary, a write that can hardly live to see the next one is refused at half its time, so
// that its client can come again; one with more time is held to its end, as the design has it.
func TestFailoverTooLateEndsAtHalfTime(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.RetryAfterSupported, s.MaxRetryAfter = true, time.Second })
	f.advanceTo(f.now + 100*ms)
	f.router.eject(f.server(1), "fails")
	f.probeUnreachable(1)
	f.probeUnreachable(1)
	f.probeAnswered(2, false, f.now)
	f.probeAnswered(3, false, f.now)
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classNotIdempotent, Group: 7, Timeout: 600 * ms})
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classNotIdempotent, Group: 7, Timeout: 3 * time.Second})
	f.advanceTo(f.now + 250*ms)
	f.wantNoAction("refuse 2")
	f.advanceTo(f.now + 60*ms)
	f.wantAction("refuse 2")
	f.advanceTo(f.now + 2600*ms)
	f.wantNoAction("refuse 3")
}
