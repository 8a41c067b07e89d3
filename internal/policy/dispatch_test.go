package policy

import (
	"testing"
)

// A client in a hurry is judged by what it has left, not taken for a later try.
func TestShortTimeoutIsServed(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.Classes[classAny].LateWeightFraction = 0 })
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classAny, Group: 7, Timeout: 200 * ms})
	f.wantNoAction("refuse 2")
	if len(f.attempts[2]) != 1 {
		t.Fatalf("sent to %v, want one store at once", f.attempts[2])
	}
}

// A try with less patience than the others is a later one: its aim has run since the first.
func TestClientRetriesHaveLessTime(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	for id := uint32(1); id < 5; id++ {
		f.sendRequest(id, classLatest)
	}
	f.wantNoAction("refuse 4")
	f.router.HandleRequest(f.now, Request{ID: 9, Class: classLatest, Group: 7, Timeout: 1200 * ms})
	f.wantAction("refuse 9")
}
