package shardmap

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/dispatch"
)

// stamped is a payload that keeps the epoch it is given.
type stamped struct{ epoch uint64 }

func (s *stamped) Stamp(epoch uint64) { s.epoch = epoch }

// The guard sends requests to their key's home, refuses writes that may not be sent with a time to come again, lets reads and
// requests without a key pass, stamps what it lets out, and forgets writes whose clients have gone.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Router{Name: "n1", Instance: "n1/1", Term: term, MaxClockDrift: drift}
		news := 0
		g := r.newGuard(func(class int) bool { return class == 1 }, func() { news++ })
		admit := func(class int, key string) (*dispatch.Request, dispatch.Admission) {
			q := &dispatch.Request{Class: class, Key: key, Timeout: time.Second, Payload: &stamped{}}
			return q, g.Admit(0, q)
		}
		if _, a := admit(1, "x"); a != (dispatch.Admission{}) {
			t.Errorf("without a map: %+v", a)
		}
		d := Document{Epoch: 3, Ranges: []Range{{To: "m", Cluster: 4}, {From: "m", Cluster: 5}}}
		r.Apply(d, 10, true)
		if _, a := admit(0, "x"); a != (dispatch.Admission{Reroute: true, Group: 5}) {
			t.Errorf("a read: %+v", a)
		}
		if _, a := admit(1, ""); a != (dispatch.Admission{}) {
			t.Errorf("without a key: %+v", a)
		}
		if _, a := admit(1, "a"); !a.Reject || a.RetryAfter <= 0 {
			t.Errorf("a write before it has enrolled: %+v", a)
		}
		r.SetEnrolled(10)
		q, a := admit(1, "a")
		if a != (dispatch.Admission{Reroute: true, Group: 4}) || g.MaySend(0, q, "s") != dispatch.Send || q.Payload.(*stamped).epoch != 3 || !g.AcceptAnswer(0, q) {
			t.Errorf("a write: %+v", a)
		}
		fenced, _ := d.Begin(Order{Name: "m", Range: Range{To: "b", Cluster: 5}, Source: 4})
		r.Apply(fenced.Advance("m").Advance("m"), 11, true)
		if g.MaySend(0, q, "s") != dispatch.RejectRequest || g.AcceptAnswer(0, q) {
			t.Error("a write is sent, or believed, without a right")
		}
		if a, _, ok := r.NextRequest(); !ok || a.AcknowledgedEpoch >= 6 {
			t.Errorf("it says that it keeps to %d with a write under way", a.AcknowledgedEpoch)
		}
		if g.RequestEnded(0, q, dispatch.FinalAnswer{}); news != 1 || len(g.openWrites) != 0 {
			t.Errorf("%d news at the last write's end", news)
		}
		r.Apply(fenced.Undo("m", ""), 12, true)
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
