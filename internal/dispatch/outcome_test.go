package dispatch

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/policy"
)

// The result of each attempt must be reported once: an error only if another server served the request afterwards, and a
// cancellation only if the policy cancelled the attempt because the server did not respond.
func TestOutcomesAreReported(t *testing.T) {
	d, backend := startDispatcher(t)
	var reported []string
	run := func(f func()) { onLoop(d, f) }
	run(func() {
		d.OnOutcome(func(server string, class int, result policy.Result, duration time.Duration) {
			if duration < 0 || class != 0 {
				t.Errorf("got class %d and duration %v, want class 0 and a duration of at least 0", class, duration)
			}
			reported = append(reported, fmt.Sprint(server, result))
		})
	})
	checkReported := func(step string, want ...string) {
		t.Helper()
		run(func() {
			if fmt.Sprint(reported) != fmt.Sprint(want) {
				t.Errorf("%s: reported %v, want %v", step, reported, want)
			}
			reported = nil
		})
	}
	replier, call := submit(d, backend, time.Second)
	run(func() {
		call.Done(AttemptResult{Result: policy.OK, Answer: "a"})
		call.Done(AttemptResult{Result: policy.OK})
	})
	checkReported("served", fmt.Sprint("s", policy.OK))
	_, call = submit(d, backend, time.Second)
	run(func() { call.Done(AttemptResult{Result: policy.ServerError}) })
	call = <-backend.calls // a write with a key is sent again, to the only server
	run(func() { call.Done(AttemptResult{Result: policy.OK, Answer: "a"}) })
	checkReported("error without another server", fmt.Sprint("s", policy.OK))
	<-replier.ended
	run(func() {
		openRequest := &OpenRequest{dispatcher: d, request: &Request{}, failedServers: []uint32{d.servers.ids["s"]}}
		openRequest.observeOutcome(&attempt{server: 99, startedAt: d.loop.Now()}, policy.OK)
	})
	checkReported("served by another server", fmt.Sprint("s", policy.ServerError))
	run(func() {
		openRequest := &OpenRequest{dispatcher: d, request: &Request{}}
		openRequest.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.Cancelled)
		openRequest.ended = true
		openRequest.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.Cancelled)
		openRequest.observeOutcome(&attempt{server: d.servers.ids["s"], startedAt: d.loop.Now()}, policy.NotSent)
	})
	checkReported("cancelled", fmt.Sprint("s", policy.Cancelled))
	run(func() {
		d.ApplyList(policy.ListDelta, []Member{{Name: "t", Address: "t", Group: 3, State: policy.Ready},
			{Name: "s", Address: "s", State: policy.Draining}})
		if got := fmt.Sprint(d.ReadyMembers()); got != "map[3:[t]]" {
			t.Errorf("ReadyMembers: got %s, want map[3:[t]]", got)
		}
		d.SetEjectedByFleet("t", true)
		d.SetEjectedByFleet("nobody", true)
	})
}
