package policy_test

import (
	"fmt"
	"time"

	"threadsail/internal/policy"
)

// printer is a host that prints what it is asked for.
type printer struct{}

func (printer) Attempt(id, store uint32, _ time.Duration) {
	fmt.Printf("attempt %d at store %d\n", id, store)
}
func (printer) Reject(id uint32, _ time.Duration)      { fmt.Printf("refuse %d\n", id) }
func (printer) Fail(id uint32)                         { fmt.Printf("fail %d\n", id) }
func (printer) CancelAttempt(id uint32, attempt int)   { fmt.Printf("cancel %d.%d\n", id, attempt) }
func (printer) Probe(store uint32)                     { fmt.Printf("probe %d\n", store) }
func (printer) SetTimer(time.Duration)                 {}
func (printer) CloseIdleConnections(store uint32)      { fmt.Printf("close idle %d\n", store) }
func (printer) WatchList()                             { fmt.Println("watch") }
func (p printer) PrimaryChanged(n policy.PrimaryEvent) { p.Log(n.LogText()) }
func (printer) Log(text string)                        { fmt.Println("log:", text) }

// A write, the loss of its group's primary, a held write, and the new primary.
func Example() {
	settings := policy.Settings{Poolers: 1, ProbesAllowed: true, RolesReported: true, MaxAttempts: 3,
		Classes: []policy.Class{{Name: "save", Access: policy.Write, Idempotency: policy.NotIdempotent,
			LatencyObjective: 400 * time.Millisecond, TotalTimeout: 5 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.5}}}
	r, err := policy.New(settings, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	says := func(store uint32, primary bool) {
		r.HandleProbeResult(now, policy.ProbeResult{Server: store,
			Status: policy.ServerStatus{HasPosition: true, Position: now, HasRole: true, IsPrimary: primary}})
	}
	r.HandleList(now, policy.ListCached, []policy.Member{{ID: 1, State: policy.Ready}, {ID: 2, State: policy.Ready}})
	r.HandleRequest(now, policy.Request{ID: 10, Timeout: 5 * time.Second})
	says(1, true)
	now += 80 * time.Millisecond
	r.HandleOutcome(now, policy.Outcome{RequestID: 10, Server: 1, Result: policy.OK, Role: policy.RolePrimary, Answered: true})

	now += 20 * time.Millisecond
	r.HandleProbeResult(now, policy.ProbeResult{Server: 1, Result: policy.ConnectFailed})
	r.HandleRequest(now, policy.Request{ID: 11, Timeout: 5 * time.Second})
	now += 3 * time.Millisecond
	says(2, true)
	now += 80 * time.Millisecond
	r.HandleOutcome(now, policy.Outcome{RequestID: 11, Server: 2, Result: policy.OK, Role: policy.RolePrimary, Answered: true})
	// Output:
	// probe 1
	// probe 2
	// log: group 0: store 1 is primary
	// attempt 10 at store 1
	// log: group 0: primary 1 does not answer its ping
	// log: group 0: store 2 is primary
	// attempt 11 at store 2
}
