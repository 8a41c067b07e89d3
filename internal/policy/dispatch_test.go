package policy

import (
	"testing"
)

// A request with less time than its class's latency objective is served, and not rejected as a late
// retry of its client.
func TestShortTimeoutIsServed(t *testing.T) {
	host := newHostWithPrimary(t, func(s *Settings) { s.Classes[classAny].LateWeightFraction = 0 })
	host.sendRequestWithin(2, classAny, 200*ms)
	host.wantNoAction("reject 2")
	if len(host.attempts[2]) != 1 {
		t.Fatalf("read was sent to %v, want one server at once", host.attempts[2])
	}
}

// A request with a shorter timeout than the others of its class is taken for a retry of its client.
// Its objective counts from the client's first request.
func TestClientRetriesHaveLessTime(t *testing.T) {
	host := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	for id := uint32(1); id < 5; id++ {
		host.sendRequest(id, classLatest)
	}
	host.wantNoAction("reject 4")
	host.sendRequestWithin(9, classLatest, 1200*ms)
	host.wantAction("reject 9")
}
