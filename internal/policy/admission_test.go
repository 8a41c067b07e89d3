package policy

import (
	"slices"
	"testing"
	"time"
)

func TestWritesQueueWithoutPrimary(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advanceTo(startTime + 200*ms)
	host.probedServers = nil
	host.probeFailed(1, ConnectFailed)
	if !slices.Equal(host.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("servers probed after a failed ping are %v, want all members", host.probedServers)
	}
	host.sendRequest(2, classNotIdempotent)
	host.advance(300 * ms)
	if len(host.attempts[2]) != 0 {
		t.Fatalf("write was sent without a recorded primary: %v", host.actions)
	}
	host.probeAnswered(3, true, host.now)
	host.wantAction("attempt 2 3")
}

func TestQueuedWriteIsRejectedInTime(t *testing.T) {
	host := newHost(t, nil)
	host.sendRequest(1, classNotIdempotent)
	host.advanceTo(startTime + 1980*ms)
	host.wantNoAction("reject 1")
	host.advanceTo(startTime + 2*time.Second)
	host.wantAction("reject 1")
}

// The queue is ordered by the value of the answers. Requests whose late answers have no value are
// rejected when too little time is left until their objective.
func TestQueueOrderAndLateRejection(t *testing.T) {
	host := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	host.sendRequest(1, classLatest)
	host.advanceTo(startTime + 20*ms)
	host.sendRequest(2, classLatest)
	queued := host.router.groups[testGroup].queue.requests
	if len(queued) != 2 || queued[0].id != 2 {
		t.Fatalf("%d requests are queued, want request 2 before 1", len(queued))
	}
	host.advanceTo(startTime + 500*ms)
	host.wantAction("reject 1")
	host.wantAction("reject 2")
}

// While a group has no primary, a write whose deadline is probably before the end of the outage is
// rejected when half of its time has passed, so that its client can retry. A write with more time
// stays in the queue.
func TestRejectedAtHalfTimeIfFailoverTooLate(t *testing.T) {
	host := newHostWithPrimary(t, func(s *Settings) {
		s.RetryAfterSupported = true
		s.MaxRetryAfter = time.Second
	})
	host.advance(100 * ms)
	host.router.eject(host.server(1), "fails")
	host.probeFailed(1, ConnectFailed)
	host.probeFailed(1, ConnectFailed)
	host.probeAnswered(2, false, host.now)
	host.probeAnswered(3, false, host.now)
	host.sendRequestWithin(2, classNotIdempotent, 600*ms)
	host.sendRequestWithin(3, classNotIdempotent, 3*time.Second)
	host.advance(250 * ms)
	host.wantNoAction("reject 2")
	host.advance(60 * ms)
	host.wantAction("reject 2")
	host.advance(2600 * ms)
	host.wantNoAction("reject 3")
}
