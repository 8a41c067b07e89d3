package policy

import (
	"testing"
	"time"
)

func newBenchmarkRouter(b *testing.B) (*Router, []Member) {
	b.Helper()
	set := testSettings()
	set.Poolers = 400
	r, err := New(set, 1, discardActions{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Member, 60)
	for i := range list {
		list[i] = Member{ID: uint32(i + 1), Group: i / 6, State: Ready}
	}
	return r, list
}

type discardActions struct{}

func (discardActions) Attempt(uint32, uint32, time.Duration) {}

func (discardActions) Reject(uint32, time.Duration) {}

func (discardActions) Fail(uint32) {}

func (discardActions) CancelAttempt(uint32, int) {}

func (discardActions) Probe(uint32) {}

func (discardActions) SetTimer(time.Duration) {}

func (discardActions) CloseIdleConnections(uint32) {}

func (discardActions) WatchList() {}

func (discardActions) PrimaryChanged(PrimaryEvent) {}

func (discardActions) Log(string) {}

// The cost of a request and its outcome at a front that knows 60 stores.
func BenchmarkRequest(b *testing.B) {
	r, list := newBenchmarkRouter(b)
	r.HandleList(startTime, ListCached, list)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := startTime + time.Duration(i)*ms
		id := uint32(i + 1)
		r.HandleRequest(now, Request{ID: id, Class: classAny, Group: i % 10, Timeout: 2 * time.Second})
		r.HandleOutcome(now, Outcome{RequestID: id, Result: OK, Answered: true, Role: RoleReplica})
		r.HandleTimer(now)
	}
}

// The cost of a front's start with a full list.
func BenchmarkStart(b *testing.B) {
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		r, list := newBenchmarkRouter(b)
		r.HandleList(startTime, ListCached, list)
	}
}
