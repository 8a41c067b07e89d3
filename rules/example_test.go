package rules_test

import (
	"fmt"
	"time"

	"threadsail/rules"
)

// printer is a host that prints what it is asked for.
type printer struct{}

func (printer) Attempt(id, store uint32, _ time.Duration) {
	fmt.Printf("attempt %d at store %d\n", id, store)
}
func (printer) Refuse(id uint32, _ time.Duration) { fmt.Printf("refuse %d\n", id) }
func (printer) Fail(id uint32)                    { fmt.Printf("fail %d\n", id) }
func (printer) Cancel(id uint32, attempt int)     { fmt.Printf("cancel %d.%d\n", id, attempt) }
func (printer) Probe(store uint32)                { fmt.Printf("probe %d\n", store) }
func (printer) SetTimer(time.Duration)            {}
func (printer) CloseIdle(store uint32)            { fmt.Printf("close idle %d\n", store) }
func (printer) Watch()                            { fmt.Println("watch") }
func (p printer) Primary(n rules.News)            { p.Log(n.Text()) }
func (printer) Log(text string)                   { fmt.Println("log:", text) }

// A write, the loss of its group's primary, a held write, and the new primary.
func Example() {
	settings := rules.Settings{Balancers: 1, MayProbe: true, RoleReported: true, MaxAttempts: 3,
		Classes: []rules.Class{{Name: "save", Need: rules.NeedWrite, Effect: rules.Unsafe,
			Aim: 400 * time.Millisecond, Deadline: 5 * time.Second, Worth: 1, LateWorth: 0.5}}}
	r, err := rules.New(settings, 1, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Minute
	says := func(store uint32, primary bool) {
		r.ProbeResult(now, rules.ProbeResult{Store: store,
			Report: rules.Report{HasPosition: true, Position: now, HasRole: true, Primary: primary}})
	}
	r.List(now, rules.ListCached, []rules.Member{{Store: 1, State: rules.Ready}, {Store: 2, State: rules.Ready}})
	r.Request(now, rules.Request{ID: 10, Patience: 5 * time.Second})
	says(1, true)
	now += 80 * time.Millisecond
	r.Outcome(now, rules.Outcome{ID: 10, Store: 1, Result: rules.OK, Role: rules.RolePrimary, Closed: true})

	now += 20 * time.Millisecond
	r.ProbeResult(now, rules.ProbeResult{Store: 1, Result: rules.NoConnect})
	r.Request(now, rules.Request{ID: 11, Patience: 5 * time.Second})
	now += 3 * time.Millisecond
	says(2, true)
	now += 80 * time.Millisecond
	r.Outcome(now, rules.Outcome{ID: 11, Store: 2, Result: rules.OK, Role: rules.RolePrimary, Closed: true})
	// Output:
	// probe 1
	// probe 2
	// log: group 0: store 1 is primary
	// attempt 10 at store 1
	// log: group 0: primary 1 does not answer its ping
	// log: group 0: store 2 is primary
	// attempt 11 at store 2
}
