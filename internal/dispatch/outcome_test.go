package dispatch

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/policy"
)

// Each attempt's end is reported once: an error only where another server has then served the request, a cancellation only
// where the policy gave the server up.
func TestOutcomesAreReported(t *testing.T) {
	d, b := startDispatcher(t)
	var reported []string
	on := func(f func()) { onLoop(d, f) }
	on(func() {
		d.OnOutcome(func(server string, class int, result policy.Result, took time.Duration) {
			if took < 0 || class != 0 {
				t.Errorf("class %d after %v", class, took)
			}
			reported = append(reported, fmt.Sprint(server, result))
		})
	})
	want := func(step string, names ...string) {
		t.Helper()
		on(func() {
			if fmt.Sprint(reported) != fmt.Sprint(names) {
				t.Errorf("%s: reported %v, want %v", step, reported, names)
			}
			reported = nil
		})
	}
	r, w := submit(d, b, time.Second)
	on(func() {
		w.Done(AttemptResult{Result: policy.OK, Answer: "a"})
		w.Done(AttemptResult{Result: policy.OK})
	})
	want("served", fmt.Sprint("s", policy.OK))
	_, w = submit(d, b, time.Second)
	on(func() { w.Done(AttemptResult{Result: policy.ServerError}) })
	w = <-b.calls // a keyed write goes out again, to the only server
	on(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "a"}) })
	want("its own error", fmt.Sprint("s", policy.OK))
	<-r.ended
	on(func() {
		o := &OpenRequest{dispatcher: d, request: &Request{}, failedServers: []uint32{d.servers.ids["s"]}}
		o.observeOutcome(&attempt{server: 99, startedAt: d.loop.Now()}, policy.OK)
	})
	want("the server's error", fmt.Sprint("s", policy.ServerError))
	on(func() {
		o := &OpenRequest{dispatcher: d, request: &Request{}}
		o.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.Cancelled)
		o.ended = true
		o.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.Cancelled)
		o.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.NotSent)
	})
	want("given up", fmt.Sprint("s", policy.Cancelled))
	on(func() {
		d.ApplyList(policy.ListDelta, []Member{{Name: "t", Address: "t", Group: 3, State: policy.Ready},
			{Name: "s", Address: "s", State: policy.Draining}})
		if got := fmt.Sprint(d.ReadyMembers()); got != "map[3:[t]]" {
			t.Errorf("ready: %s", got)
		}
		d.SetEjectedByFleet("t", true)
		d.SetEjectedByFleet("nobody", true)
	})
}
