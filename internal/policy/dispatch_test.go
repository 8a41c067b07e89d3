package policy

import (
	"testing"
)

// A client with little time is judged by what it has, and not taken for a later try.
func TestShortTimeoutIsServed(t *testing.T) {
	host := newHostWithPrimary(t, func(s *Settings) { s.Classes[classAny].LateWeightFraction = 0 })
	host.sendRequestWithin(2, classAny, 200*ms)
	host.wantNoAction("reject 2")
	if len(host.attempts[2]) != 1 {
		t.Fatalf("sent to %v, want one server at once", host.attempts[2])
	}
}

// A try with a shorter timeout than the others is a later one of its client: its objective counts from the first.
func TestClientRetriesHaveLessTime(t *testing.T) {
	host := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	for id := uint32(1); id < 5; id++ {
		host.sendRequest(id, classLatest)
	}
	host.wantNoAction("reject 4")
	host.sendRequestWithin(9, classLatest, 1200*ms)
	host.wantAction("reject 9")
}
