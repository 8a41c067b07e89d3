// Package dispatch carries out what the load-balancing policy decides. A Dispatcher owns one policy.Router, the requests
// that are open, their attempts, the timers and the clock. It decides nothing itself but whether a request is admitted at
// all, and it knows no wire protocol: frontends submit requests and pass the answers on to clients, and a Backend sends
// attempts and probes to the servers.
//
// The way of a request:
//
//	Submit            (request.go)       admits it and hands it to the policy
//	policyActions     (actions.go)       queues what the policy asks for
//	startAttempt      (attempt.go)       sends it to a server
//	attempt.end       (attempt.go)       takes in the end of the attempt, and reports it to the policy
//	OpenRequest.serve, reject, fail      (final_answer.go) answer the client, once
//
// All of a Dispatcher runs on the goroutine of its EventLoop: unless a method says otherwise, it must be called there.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"threadsail/internal/policy"
)

// Options is what a Dispatcher needs.
type Options struct {
	Settings     policy.Settings
	Seed         uint64
	MaxOpen      int           // open requests; further ones are rejected
	ProbeTimeout time.Duration // of a health check, once it is connected
	Watch        func()        // subscribes to the list of servers; its end is reported as policy.ListFailed
	Log          func(string)
}

// Dispatcher carries the policy's decisions out.
type Dispatcher struct {
	loop         *EventLoop
	backend      Backend
	router       *policy.Router
	settings     policy.Settings // those in force, with the classes as the registry numbers them
	probeTimeout time.Duration
	watch        func()
	log          func(string)

	classes      classRegistry
	servers      serverRegistry
	requests     requestTable
	admission    admission
	counters     counterTable
	actions      actionQueue
	drainReserve drainReserve

	extensions
}

// extensions is what the pooler and its fleet have added before the loop runs.
type extensions struct {
	connectionGate   ConnectionGate // nil: none
	guards           []Guard
	primaryObservers []PrimaryObserver
	outcomeObserver  OutcomeObserver // nil: none
}

// New returns a Dispatcher that runs on a loop. One loop has one Dispatcher.
func New(loop *EventLoop, backend Backend, options Options) (*Dispatcher, error) {
	d := &Dispatcher{
		loop:         loop,
		backend:      backend,
		probeTimeout: options.ProbeTimeout,
		watch:        options.Watch,
		log:          options.Log,
		classes:      newClassRegistry(),
		servers:      newServerRegistry(),
		requests:     newRequestTable(),
		admission:    admission{maxOpen: options.MaxOpen},
	}
	d.applySettings(options.Settings)
	router, err := policy.New(d.settings, options.Seed, (*policyActions)(d))
	if err != nil {
		return nil, err
	}
	d.router = router
	loop.endOfRound = d.carryOutActions
	return d, nil
}

// UpdateSettings puts new settings in force. Requests that are open keep their class. Settings that are invalid change nothing.
func (d *Dispatcher) UpdateSettings(settings policy.Settings, maxOpen int, probeTimeout time.Duration) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	removalWasIgnored := d.settings.IgnoreRemoval
	d.applySettings(settings)
	d.admission.maxOpen = maxOpen
	d.probeTimeout = probeTimeout
	if err := d.router.UpdateSettings(d.loop.Now(), d.settings); err != nil {
		return err
	}
	if removalWasIgnored && !settings.IgnoreRemoval {
		d.removeUnlisted()
	}
	return nil
}

// removeUnlisted removes the servers that have left the list while removal was ignored.
func (d *Dispatcher) removeUnlisted() {
	var removed []Member
	for name, id := range d.servers.ids {
		if !d.servers.listed[id] {
			removed = append(removed, Member{Name: name, State: policy.Removed})
		}
	}
	slices.SortFunc(removed, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	d.ApplyList(policy.ListDelta, removed)
}

// applySettings numbers the classes of new settings, and keeps the settings with all classes that have a number.
func (d *Dispatcher) applySettings(settings policy.Settings) {
	d.classes.register(settings.Classes)
	for _, class := range settings.Classes {
		d.counters.of(class.Name) // shown from the start
	}
	d.settings = settings
	d.settings.Classes = d.classes.table
}

// Settings returns the settings in force.
func (d *Dispatcher) Settings() policy.Settings { return d.settings }

// ClassNumber returns the number of a class of the settings by its name.
func (d *Dispatcher) ClassNumber(name string) (class int, found bool) {
	class, found = d.classes.numbers[name]
	return class, found
}

// ClassInfo returns what the settings say of a class.
func (d *Dispatcher) ClassInfo(class int) policy.Class { return d.settings.Classes[class] }

// LongestTimeout returns the longest total timeout of the classes in the settings.
func (d *Dispatcher) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.classes.numbers {
		longest = max(longest, d.settings.Classes[class].TotalTimeout)
	}
	return longest
}

// retryAfter is the time that is sent to a client whose request is rejected here; 0: none.
func (d *Dispatcher) retryAfter() time.Duration {
	if !d.settings.RetryAfterSupported {
		return 0
	}
	return d.settings.MaxRetryAfter
}
