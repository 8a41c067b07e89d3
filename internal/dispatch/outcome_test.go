package dispatch

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/policy"
)

// Each attempt's end is told once, with what it says of its server: an error only where another server has then served the
// request, a cancel only where the module gave the server up.
func TestOutcomesAreTold(t *testing.T) {
	c, b := start(t)
	var told []string
	on := func(f func()) {
		done := make(chan struct{})
		c.loop.Post(func() { f(); close(done) })
		<-done
	}
	on(func() {
		c.OnOutcome(func(server string, class int, result policy.Result, took time.Duration) {
			if took < 0 || class != 0 {
				t.Errorf("class %d after %v", class, took)
			}
			told = append(told, fmt.Sprint(server, result))
		})
	})
	want := func(step string, names ...string) {
		t.Helper()
		on(func() {
			if fmt.Sprint(told) != fmt.Sprint(names) {
				t.Errorf("%s: told of %v, want %v", step, told, names)
			}
			told = nil
		})
	}
	r, w := submit(c, b, time.Second)
	on(func() {
		w.Done(AttemptResult{Result: policy.OK, Answer: "a"})
		w.Done(AttemptResult{Result: policy.OK})
	})
	want("served", fmt.Sprint("s", policy.OK))
	_, w = submit(c, b, time.Second)
	on(func() { w.Done(AttemptResult{Result: policy.ServerError}) })
	w = <-b.calls // a keyed write goes out again, to the only server
	on(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "a"}) })
	want("its own error", fmt.Sprint("s", policy.OK))
	<-r.ended
	on(func() {
		o := &OpenRequest{dispatcher: c, request: &Request{}, failedServers: []uint32{c.servers.ids["s"]}}
		o.observeOutcome(&attempt{server: 99, startedAt: c.loop.Now()}, policy.OK)
	})
	want("the server's error", fmt.Sprint("s", policy.ServerError))
	on(func() {
		o := &OpenRequest{dispatcher: c, request: &Request{}}
		o.observeOutcome(&attempt{server: c.servers.ids["s"], startedAt: c.loop.Now()}, policy.Cancelled)
		o.ended = true
		o.observeOutcome(&attempt{server: c.servers.ids["s"], startedAt: c.loop.Now()}, policy.Cancelled)
		o.observeOutcome(&attempt{server: c.servers.ids["s"], startedAt: c.loop.Now()}, policy.NotSent)
	})
	want("given up", fmt.Sprint("s", policy.Cancelled))
	on(func() {
		c.ApplyList(policy.ListDelta, []Member{{Name: "t", Addr: "t", Group: 3, State: policy.Ready}, {Name: "s", Addr: "s", State: policy.Draining}})
		if got := fmt.Sprint(c.ReadyMembers()); got != "map[3:[t]]" {
			t.Errorf("ready: %s", got)
		}
		c.SetEjectedByFleet("t", true)
		c.SetEjectedByFleet("nobody", true)
	})
}
