package shardmap

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/dispatch"
)

// fakePayload is a payload that keeps the epoch that it is stamped with.
type fakePayload struct{ epoch uint64 }

func (p *fakePayload) SetEpoch(epoch uint64) { p.epoch = epoch }

// guardTest is a guard and its router, for writes of class 1.
type guardTest struct {
	*Guard
	router  *Router
	drained int // calls of onFenceDrained
}

func newGuardTest() *guardTest {
	g := &guardTest{router: &Router{Name: "n1", Instance: "n1/1", Term: term, MaxClockDrift: drift}}
	g.Guard = g.router.newGuard(func(class int) bool { return class == 1 }, func() { g.drained++ })
	return g
}

// admit sends the guard a request.
func (g *guardTest) admit(class int, key string) (*dispatch.Request, dispatch.Admission) {
	r := &dispatch.Request{Class: class, Key: key, Timeout: time.Second, Payload: &fakePayload{}}
	return r, g.Admit(0, r)
}

// guardTestMap is a map of two clusters.
var guardTestMap = Document{Epoch: 3, Ranges: []Range{{To: "m", Cluster: 4}, {From: "m", Cluster: 5}}}

// The guard sends requests to their key's home, lets reads and requests without a key pass, and rejects writes that may not be sent with a
// time to retry.
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

// The guard stamps writes with the epoch, neither sends nor believes them without a right, and tells when a fence is drained.
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
			t.Error("a write is sent, or believed, without a right")
		}
		if request, _, ok := g.router.NextRequest(); !ok || request.AcknowledgedEpoch >= 6 {
			t.Errorf("it acknowledges %d with a write in flight", request.AcknowledgedEpoch)
		}
		if g.RequestEnded(0, r, dispatch.FinalAnswer{}); g.drained != 1 || len(g.openWrites) != 0 {
			t.Errorf("drained %d times at the last write's end", g.drained)
		}
		g.router.Apply(fenced.Undo("m", ""), 12, true)
		if _, a := g.admit(1, "a"); a.Reject {
			t.Error("refused after the move was undone")
		}
	})
}

// The guard forgets writes whose clients have gone.
func TestGuardForgetsAbandonedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		g.router.Apply(guardTestMap, 10, true)
		g.router.SetEnrolled(10)
		for range 2 * minSweepSize { // clients that go
			r, a := g.admit(1, "a")
			if a.Reject || g.MaySend(0, r, "s") != dispatch.Send {
				t.Fatal("refused")
			}
			time.Sleep(2 * time.Millisecond)
		}
		if len(g.openWrites) > minSweepSize {
			t.Errorf("%d writes are kept", len(g.openWrites))
		}
	})
}
