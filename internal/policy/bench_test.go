package policy

import (
	"testing"
	"time"
)

// discardActions is an implementation of Actions that does nothing.
type discardActions struct{}

func (discardActions) Attempt(uint32, uint32, time.Duration) {}
func (discardActions) Reject(uint32, time.Duration)          {}
func (discardActions) Fail(uint32)                           {}
func (discardActions) CancelAttempt(uint32, int)             {}
func (discardActions) Probe(uint32)                          {}
func (discardActions) SetTimer(time.Duration)                {}
func (discardActions) CloseIdleConnections(uint32)           {}
func (discardActions) WatchList()                            {}
func (discardActions) PrimaryChanged(PrimaryEvent)           {}
func (discardActions) Log(string)                            {}

// newBenchmarkRouter returns a Router for a fleet of 400 poolers, and a list of 10 groups of 6 servers.
func newBenchmarkRouter(b *testing.B) (*Router, []Member) {
	b.Helper()
	settings := testSettings()
	settings.Poolers = 400
	router, err := New(settings, 1, discardActions{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Member, 60)
	for i := range list {
		list[i] = Member{ID: uint32(i + 1), Group: i / 6, State: Ready}
	}
	return router, list
}

// BenchmarkRequest measures the handling of a request and its outcome by a pooler with 60 servers.
func BenchmarkRequest(b *testing.B) {
	router, list := newBenchmarkRouter(b)
	router.HandleList(startTime, ListCached, list)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := startTime + time.Duration(i)*ms
		id := uint32(i + 1)
		router.HandleRequest(now, Request{ID: id, Class: classAny, Group: i % 10, Timeout: 2 * time.Second})
		router.HandleOutcome(now, Outcome{RequestID: id, Result: OK, Answered: true, Role: RoleReplica})
		router.HandleTimer(now)
	}
}

// BenchmarkStart measures the start of a pooler with a list of 60 servers.
func BenchmarkStart(b *testing.B) {
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		router, list := newBenchmarkRouter(b)
		router.HandleList(startTime, ListCached, list)
	}
}
