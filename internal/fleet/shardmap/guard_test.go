package shardmap

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/dispatch"
)

// fakePayload is a payload that records the epoch that the guard sets.
type fakePayload struct{ epoch uint64 }

func (p *fakePayload) SetEpoch(epoch uint64) { p.epoch = epoch }

// guardTest is a guard with its router. Class 1 is the class of writes.
type guardTest struct {
	*Guard
	router  *Router
	drained int // number of calls of onFenceDrained
}

func newGuardTest() *guardTest {
	g := &guardTest{router: &Router{Name: "n1", Instance: "n1/1", Term: term, MaxClockDrift: drift}}
	g.Guard = g.router.newGuard(func(class int) bool { return class == 1 }, func() { g.drained++ })
	return g
}

// admit passes a new request to the guard.
func (g *guardTest) admit(class int, key string) (*dispatch.Request, dispatch.Admission) {
	r := &dispatch.Request{Class: class, Key: key, Timeout: time.Second, Payload: &fakePayload{}}
	return r, g.Admit(0, r)
}

// guardTestMap is a map with two clusters.
var guardTestMap = Document{Epoch: 3, Ranges: []Range{{To: "m", Cluster: 4}, {From: "m", Cluster: 5}}}

// The guard reroutes requests to the home of their key, admits reads and requests without a key, and rejects writes that may not be sent,
// with a retry delay.
func TestGuardAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		if _, a := g.admit(1, "x"); a != (dispatch.Admission{}) {
			t.Errorf("without a map: %+v", a)
		}
		g.router.Apply(guardTestMap, 10, true)
		if _, a := g.admit(0, "x"); a != (dispatch.Admission{Reroute: true, Group: 5}) {
			t.Errorf("a read: %+v", a)
		}
		if _, a := g.admit(1, ""); a != (dispatch.Admission{}) {
			t.Errorf("without a key: %+v", a)
		}
		if _, a := g.admit(1, "a"); !a.Reject || a.RetryAfter <= 0 {
			t.Errorf("a write before the enrollment: %+v", a)
		}
	})
}

// The guard sets the epoch of writes. Without a write lease it neither sends them nor accepts their answers. It reports when a fenced range
// has no more writes in flight.
func TestGuardWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		g.router.Apply(guardTestMap, 10, true)
		g.router.SetEnrolled(10)
		r, a := g.admit(1, "a")
		if a != (dispatch.Admission{Reroute: true, Group: 4}) || g.MaySend(0, r, "s") != dispatch.Send || r.Payload.(*fakePayload).epoch != 3 || !g.AcceptAnswer(0, r) {
			t.Errorf("a write: %+v", a)
		}
		fenced, _ := guardTestMap.Begin(Order{Name: "m", Range: Range{To: "b", Cluster: 5}, Source: 4})
		g.router.Apply(fenced.Advance("m").Advance("m"), 11, true)
		if g.MaySend(0, r, "s") != dispatch.RejectRequest || g.AcceptAnswer(0, r) {
			t.Error("without a write lease, a write is sent or its answer accepted")
		}
		if request, _, ok := g.router.NextRequest(); !ok || request.AcknowledgedEpoch >= 6 {
			t.Errorf("router acknowledges epoch %d of the fence with a write in flight", request.AcknowledgedEpoch)
		}
		if g.RequestEnded(0, r, dispatch.FinalAnswer{}); g.drained != 1 || len(g.openWrites) != 0 {
			t.Errorf("onFenceDrained was called %d times at the end of the last write, want 1", g.drained)
		}
		g.router.Apply(fenced.Undo("m", ""), 12, true)
		if _, a := g.admit(1, "a"); a.Reject {
			t.Error("write rejected after the move was undone")
		}
	})
}

// The guard removes writes whose clients have disconnected.
func TestGuardForgetsAbandonedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		g.router.Apply(guardTestMap, 10, true)
		g.router.SetEnrolled(10)
		for range 2 * minSweepThreshold { // clients that disconnect: RequestEnded is not called
			r, a := g.admit(1, "a")
			if a.Reject || g.MaySend(0, r, "s") != dispatch.Send {
				t.Fatal("write rejected")
			}
			time.Sleep(2 * time.Millisecond)
		}
		if len(g.openWrites) > minSweepThreshold {
			t.Errorf("%d writes are open, want at most minSweepThreshold", len(g.openWrites))
		}
	})
}
