// Package dispatch executes the decisions of the load-balancing policy. A Dispatcher owns one policy.Router, the open requests,
// their attempts, the timers and the clock. The only decision that it makes itself is whether a request is admitted. It is
// independent of wire protocols: frontends submit requests and forward the answers to clients, and a Backend sends attempts and
// probes to the servers.
//
// A request passes through these functions:
//
//	Submit                   (request.go)       admits the request and passes it to the policy
//	policyActions            (actions.go)       queues the actions that the policy requests
//	startAttempt             (attempt.go)       sends the request to a server
//	attempt.end              (attempt.go)       handles the end of the attempt and reports it to the policy
//	conclude, serveStream    (final_answer.go)  answer the client, once
//
// A Dispatcher runs on the goroutine of its EventLoop. Its methods must be called there unless documented otherwise.
package dispatch

import (
	"slices"
	"strings"
	"time"

	"threadsail/internal/policy"
)

// Options configures a Dispatcher.
type Options struct {
	Settings     policy.Settings
	Sessions     *policy.SessionPositions // shared with the Dispatchers of other frontends; nil: not shared
	Seed         uint64                   // seed of the policy's random choices
	MaxOpen      int                      // maximum number of open requests; further ones are rejected
	ProbeTimeout time.Duration            // timeout of a health check, from when it is connected
	Watch        func()                   // subscribes to the list of servers; the caller reports its end as policy.ListFailed
	Log          func(string)             // writes a line to the log
}

// Dispatcher executes the policy's decisions on the requests of its frontends.
type Dispatcher struct {
	loop         *EventLoop
	backend      Backend
	router       *policy.Router
	settings     policy.Settings // current settings; Classes is the table of the class registry
	probeTimeout time.Duration
	watch        func()
	log          func(string)

	classes       classRegistry
	servers       serverRegistry
	requests      requestTable
	admission     admission
	counters      counterTable
	actions       actionQueue
	sendDurations sendDurations

	extensions
}

// extensions holds the gate, guards and observers that the pooler and its fleet add before the loop runs.
type extensions struct {
	connectionGate   ConnectionGate // nil: none
	guards           []Guard
	primaryObservers []PrimaryObserver
	outcomeObserver  OutcomeObserver // nil: none
}

// New returns a Dispatcher that runs on a loop. A loop must have only one Dispatcher. New returns an error if the settings are
// invalid.
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
	if options.Sessions != nil {
		router.ShareSessions(options.Sessions)
	}
	loop.endOfRound = d.executeActions
	return d, nil
}

// UpdateSettings replaces the settings. Open requests keep their class. If the settings are invalid, it changes nothing and
// returns an error.
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

// removeUnlisted removes the servers that left the list while removal was ignored.
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

// applySettings registers the classes of new settings, and stores the settings with all classes registered so far.
func (d *Dispatcher) applySettings(settings policy.Settings) {
	d.classes.register(settings.Classes)
	for _, class := range settings.Classes {
		d.counters.forClass(class.Name) // reported before the class has its first request
	}
	d.settings = settings
	d.settings.Classes = d.classes.table
}

// Settings returns the current settings.
func (d *Dispatcher) Settings() policy.Settings { return d.settings }

// ClassNumber returns the number of the class with a name in the current settings.
func (d *Dispatcher) ClassNumber(name string) (class int, found bool) {
	class, found = d.classes.numbers[name]
	return class, found
}

// ClassInfo returns the definition of the class with a number.
func (d *Dispatcher) ClassInfo(class int) policy.Class { return d.settings.Classes[class] }

// NeedsSessions reports whether the policy needs Request.Sessions for requests of a class.
func (d *Dispatcher) NeedsSessions(class policy.Class) bool {
	return d.settings.TrackSessions && (class.Access == policy.Write || class.Access == policy.ReadSession)
}

// LongestTimeout returns the longest total timeout of the classes in the current settings.
func (d *Dispatcher) LongestTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range d.classes.numbers {
		longest = max(longest, d.settings.Classes[class].TotalTimeout)
	}
	return longest
}

// retryAfter returns the retry delay that is sent with a rejection by the dispatcher itself; 0 means none.
func (d *Dispatcher) retryAfter() time.Duration {
	if !d.settings.RetryAfterSupported {
		return 0
	}
	return d.settings.MaxRetryAfter
}
