package pooler

import (
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
)

// fleetDescriptors is how many descriptors a fleet may hold: listeners, the log, connections to and from other poolers.
const fleetDescriptors = 48

// FleetOptions is how a pooler takes part in its fleet.
type FleetOptions struct {
	Config *config.Fleet
	Build  string // version of the program
	// Open connects to the fleet, which reports to the events.
	Open func(FleetEvents) (Fleet, error)
	// Attach has the fleet's components put their guards on a frontend; nil: there are none.
	Attach func(Frontend)
	// NewLimiter returns what holds a frontend to the fleet's limits; settings returns the frontend's settings at the time of the
	// call. nil: there are no limits.
	NewLimiter func(class func(int) policy.Class, settings func() policy.Settings) Limiter
	// Reload has the components read their files again, beside the pooler's own, and returns the fleet's configuration as it is
	// now, nil if the old one stands. It must not wait long; nil: nothing is read again.
	Reload func(*config.Config) *config.Fleet
}

// Frontend is a frontend as the fleet's components meet it, before its loop runs. Each frontend has a loop of its own: what a
// component shares between two of them it keeps behind a mutex.
type Frontend struct {
	Name       string // "postgres" or "mysql"
	Dispatcher *dispatch.Dispatcher
	Loop       *dispatch.EventLoop // Post may be called on any goroutine
}

// Limiter lets a frontend's requests, attempts, new connections and probes pass, or not now.
type Limiter interface {
	dispatch.Guard
	dispatch.ConnectionGate
}

// installLimiter holds a frontend to the fleet's limits, with everything that it dials by. It must be called before the first
// list comes.
func (o *FleetOptions) installLimiter(dispatcher *dispatch.Dispatcher, connectors ...*upstream.Connector) {
	if o == nil || o.NewLimiter == nil {
		return
	}
	limiter := o.NewLimiter(dispatcher.ClassInfo, dispatcher.Settings)
	dispatcher.AddGuard(limiter)
	dispatcher.SetConnectionGate(limiter)
	for _, connector := range connectors {
		connector.MayDial = dispatcher.MayDial
	}
}

// Fleet is the way to the other poolers and to the voters that grant the leases. None of its calls waits. The pooler knows only
// this interface, so that the libraries behind it stay out of a pooler that runs on its own.
type Fleet interface {
	// Announce sends an announcement to all poolers. Only the leader may: the act stops when left, the time that is left of its
	// lease, is over. done is called once, on any goroutine; all: nothing was cut off.
	Announce(w discoveryleader.Announcement, left time.Duration, done func(all bool))
	// AnnouncePrimary tells all poolers which server the leader found to be a group's primary ("": none yet), as Announce does.
	AnnouncePrimary(token uint64, group int, server string, asOf, left time.Duration, done func(all bool))
	// AcquireLease requests the lease of the list leadership, or renews it, and calls done once, on any goroutine.
	AcquireLease(done func(g lease.Lease, ok bool, err error))
	// ReleaseLease gives the lease up.
	ReleaseLease()
	// FetchList requests the list of an announcement from a pooler that has it; it comes as FleetEvents.ListReceived, or not.
	FetchList(w discoveryleader.Announcement)
	// SendList sends a list to a pooler that has requested it.
	SendList(to string, w discoveryleader.Announcement, list []byte)
	// ReportPrimaryDown tells the leader that this pooler holds a group's primary to be down.
	ReportPrimaryDown(holder string, group int)
	// SetStatus sets what the other poolers see of this one.
	SetStatus(w discoveryleader.Announcement, build, config string)
	// Reload takes over what can change while the pooler serves: what the operators allow, and who the voters are.
	Reload(c *config.Fleet)
	// Status returns how the fleet stands; the fields of the journal are left to the caller.
	Status() coordination.Status
	// Close leaves the fleet.
	Close()
}

// FleetEvents is what a Fleet reports, on any goroutine.
type FleetEvents = coordination.Events
