package policy_test

import (
	"fmt"
	"time"

	"threadsail/internal/policy"
)

// printer is a host that prints the actions of its Router.
type printer struct{}

func (printer) Attempt(id, server uint32, _ time.Duration) {
	fmt.Printf("attempt %d at server %d\n", id, server)
}
func (printer) Reject(id uint32, _ time.Duration)      { fmt.Printf("reject %d\n", id) }
func (printer) Fail(id uint32)                         { fmt.Printf("fail %d\n", id) }
func (printer) CancelAttempt(id uint32, attempt int)   { fmt.Printf("cancel %d.%d\n", id, attempt) }
func (printer) Probe(server uint32)                    { fmt.Printf("probe %d\n", server) }
func (printer) SetTimer(time.Duration)                 {}
func (printer) CloseIdleConnections(server uint32)     { fmt.Printf("close idle %d\n", server) }
func (printer) WatchList()                             { fmt.Println("watch") }
func (p printer) PrimaryChanged(e policy.PrimaryEvent) { p.Log(e.LogText()) }
func (printer) Log(text string)                        { fmt.Println("log:", text) }

// A write is sent to the primary. The primary fails, the next write is queued, and it is sent when
// a new primary is found.
func Example() {
	router, err := policy.New(policy.Settings{
		Poolers:       1,
		ProbesAllowed: true,
		RolesReported: true,
		MaxAttempts:   3,
		Classes: []policy.Class{{
			Name:               "save",
			Access:             policy.Write,
			Idempotency:        policy.NotIdempotent,
			LatencyObjective:   400 * time.Millisecond,
			TotalTimeout:       5 * time.Second,
			PriorityWeight:     1,
			LateWeightFraction: 0.5,
		}},
	}, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	reportPrimary := func(server uint32) {
		status := policy.ServerStatus{HasPosition: true, Position: now, HasRole: true, IsPrimary: true}
		router.HandleProbeResult(now, policy.ProbeResult{Server: server, Status: status})
	}
	endWrite := func(id, server uint32) {
		router.HandleOutcome(now, policy.Outcome{RequestID: id, Server: server, Result: policy.OK,
			Role: policy.RolePrimary, Answered: true})
	}
	router.HandleList(now, policy.ListCached, []policy.Member{
		{ID: 1, State: policy.Ready},
		{ID: 2, State: policy.Ready},
	})
	router.HandleRequest(now, policy.Request{ID: 10, Timeout: 5 * time.Second})
	reportPrimary(1)
	now += 80 * time.Millisecond
	endWrite(10, 1)

	now += 20 * time.Millisecond
	router.HandleProbeResult(now, policy.ProbeResult{Server: 1, Result: policy.ConnectFailed})
	router.HandleRequest(now, policy.Request{ID: 11, Timeout: 5 * time.Second})
	now += 3 * time.Millisecond
	reportPrimary(2)
	now += 80 * time.Millisecond
	endWrite(11, 2)
	// Output:
	// probe 1
	// probe 2
	// log: group 0: server 1 is primary
	// attempt 10 at server 1
	// log: group 0: primary 1 does not answer its ping
	// log: group 0: server 2 is primary
	// attempt 11 at server 2
}
