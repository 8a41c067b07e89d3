package shardmap

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/dispatch"
)

// fakePayload is a payload that keeps the epoch that it is stamped with.
type fakePayload struct{ epoch uint64 }

func (p *fakePayload) Stamp(epoch uint64) { p.epoch = epoch }

// The guard sends requests to their key's home, rejects writes that may not be sent with a time to retry, lets reads and requests without
// a key pass, stamps writes with the epoch, and forgets writes whose clients have gone.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &Router{Name: "n1", Instance: "n1/1", Term: term, MaxClockDrift: drift}
		drained := 0
		g := router.newGuard(func(class int) bool { return class == 1 }, func() { drained++ })
		admit := func(class int, key string) (*dispatch.Request, dispatch.Admission) {
			q := &dispatch.Request{Class: class, Key: key, Timeout: time.Second, Payload: &fakePayload{}}
			return q, g.Admit(0, q)
		}
		if _, a := admit(1, "x"); a != (dispatch.Admission{}) {
			t.Errorf("without a map: %+v", a)
		}
		d := Document{Epoch: 3, Ranges: []Range{{To: "m", Cluster: 4}, {From: "m", Cluster: 5}}}
		router.Apply(d, 10, true)
		if _, a := admit(0, "x"); a != (dispatch.Admission{Reroute: true, Group: 5}) {
			t.Errorf("a read: %+v", a)
		}
		if _, a := admit(1, ""); a != (dispatch.Admission{}) {
			t.Errorf("without a key: %+v", a)
		}
		if _, a := admit(1, "a"); !a.Reject || a.RetryAfter <= 0 {
			t.Errorf("a write before the enrollment: %+v", a)
		}
		router.SetEnrolled(10)
		q, a := admit(1, "a")
		if a != (dispatch.Admission{Reroute: true, Group: 4}) || g.MaySend(0, q, "s") != dispatch.Send || q.Payload.(*fakePayload).epoch != 3 || !g.AcceptAnswer(0, q) {
			t.Errorf("a write: %+v", a)
		}
		fenced, _ := d.Begin(Order{Name: "m", Range: Range{To: "b", Cluster: 5}, Source: 4})
		router.Apply(fenced.Advance("m").Advance("m"), 11, true)
		if g.MaySend(0, q, "s") != dispatch.RejectRequest || g.AcceptAnswer(0, q) {
			t.Error("a write is sent, or believed, without a right")
		}
		if a, _, ok := router.NextRequest(); !ok || a.AcknowledgedEpoch >= 6 {
			t.Errorf("it acknowledges %d with a write in flight", a.AcknowledgedEpoch)
		}
		if g.RequestEnded(0, q, dispatch.FinalAnswer{}); drained != 1 || len(g.openWrites) != 0 {
			t.Errorf("drained %d times at the last write's end", drained)
		}
		router.Apply(fenced.Undo("m", ""), 12, true)
		for range 2 * minSweepSize { // clients that go
			q, a := admit(1, "a")
			if a.Reject || g.MaySend(0, q, "s") != dispatch.Send {
				t.Fatal("refused")
			}
			time.Sleep(2 * time.Millisecond)
		}
		if len(g.openWrites) > minSweepSize {
			t.Errorf("%d writes are kept", len(g.openWrites))
		}
	})
}
