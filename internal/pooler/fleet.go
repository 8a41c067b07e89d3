package pooler

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
)

// FleetOptions is the pooler's part in the fleet of poolers.
type FleetOptions struct {
	Config *config.Fleet
	Build  string // version of the program
	Open   func(FleetEvents) (Fleet, error)
	Attach func(Frontend) // has the parts put their guards on a front; nil: there are none
	// NewLimiter returns what holds a front to the fleet's limits, with the front's settings as they are then; nil: there are none.
	NewLimiter func(class func(int) policy.Class, set func() policy.Settings) Limiter
	// Reload has the parts take their files over again, beside the pooler's own, and returns the file of the fleet as it is now, nil
	// if the old one stands. It must not wait long; nil: nothing is read again.
	Reload func(*config.Config) *config.Fleet
}

// Frontend is a front as the fleet's parts meet it, before its loop runs. Each front has a loop of its own: what a part shares
// between two of them it keeps behind a lock.
type Frontend struct {
	Name       string // "postgres" or "mysql"
	Dispatcher *dispatch.Dispatcher
	Loop       *dispatch.EventLoop // Post is for any goroutine
}

// Fleet is the way to the other poolers and to the stewards of the leases. None of its calls waits. The program knows only
// this interface, so that the libraries behind it stay out of a pooler that is on its own.
type Fleet interface {
	// Announce passes a word on to all, and TellFound a primary that the holder found ("": none yet). Both are the holder's acts
	// and stop when the time that is left of its lease is over. done comes once on any goroutine; all: nothing was cut off.
	Announce(w discoveryleader.Announcement, left time.Duration, done func(all bool))
	AnnouncePrimary(token uint64, group int, server string, asOf, left time.Duration, done func(all bool))
	// AcquireLease asks for the list duty's lease, or renews it, and calls done once, on any goroutine.
	AcquireLease(done func(g lease.Lease, ok bool, err error))
	ReleaseLease()                                                   // gives it up
	FetchList(w discoveryleader.Announcement)                        // asks a pooler that has it for the list of a word; it comes as FleetEvents.List, or not
	SendList(to string, w discoveryleader.Announcement, list []byte) // sends a list to one that asked
	ReportPrimaryDown(holder string, group int)                      // tells a holder that this pooler has lost a group's primary
	SetStatus(w discoveryleader.Announcement, build, config string)  // what the others see of this pooler
	Reload(c *config.Fleet)                                          // takes over what can change under way: what the operators allow, and who the stewards are
	Status() admin.FleetStatus                                       // Dropped and JournalFails are left to the caller
	Close()
}

// FleetEvents is what a Fleet reports, on any goroutine.
type FleetEvents = coordination.Events

// fleetDescriptors is how many a fleet may hold: listeners, the log, connections to and from other poolers.
const fleetDescriptors = 48

// fleetMember is this pooler in its fleet: the way to the others and the journal of its acts. It runs on the loop of the PostgreSQL
// front.
type fleetMember struct {
	loop         *dispatch.EventLoop
	fleet        Fleet
	log          zerolog.Logger
	version      string
	configDigest string // of the configuration in force
	instanceName string // this process, in the journal
	journal      *journal
	leadership   *listLeadership // nil: the servers are taken from a file, which is each pooler's own
	leftFleet    bool            // it has ended its part: what follows is the drain
	failed       chan error      // at most one
}

// joinFleet has a pooler take part: all its fronts ask the parts' guards, and the PostgreSQL front's watcher, if there is one, the
// list duty. It must be called before the loops run.
func joinFleet(sides []*worker, cfg *config.Config, part *FleetOptions, ready func(bool), log zerolog.Logger) (*fleetMember, error) {
	pg, fc := sides[0], part.Config
	m := &fleetMember{loop: pg.loop, log: log.With().Str("part", "fleet").Logger(), version: part.Build, configDigest: cfg.Digest,
		instanceName: fmt.Sprintf("%s/%d", fc.Name, os.Getpid()), failed: make(chan error, 1)}
	if part.Attach != nil {
		for _, s := range sides {
			part.Attach(Frontend{s.name, s.dispatcher, s.loop})
		}
	}
	var err error
	if m.journal, err = openJournal(fc.Journal, m.log); err != nil {
		return nil, err
	}
	events := FleetEvents{Announced: func(discoveryleader.Announcement, discoveryleader.MinimumVersion) {}, ListRequested: func(string) {}, ListReceived: func(discoveryleader.Announcement, []byte) {}, PrimaryReportedDown: func(int) {},
		PrimaryAnnounced: func(uint64, int, string, time.Duration) {}}
	if pg.source.watcher != nil {
		m.leadership = newListLeadership(m, pg.source.watcher, pg.dispatcher, cfg, fc, ready)
		events = m.leadership.events()
	}
	events.Audit = func(r audit.Record) {
		r.At = time.Now().UnixNano()
		m.loop.Post(func() { m.record(r) })
	}
	events.Failed = func(err error) {
		select {
		case m.failed <- err:
		default: // the first one ends it
		}
	}
	if m.fleet, err = part.Open(events); err != nil {
		m.journal.close()
		return nil, err
	}
	m.record(audit.Record{Act: audit.Started})
	return m, nil
}

// Spread is from 0 up to 1, by the pooler's seed: when it does what all poolers do.
func Spread(cfg *config.Config) float64 { return float64(cfg.Seed%1024) / 1024 }

// close ends the pooler's part, after the loop has ended.
func (m *fleetMember) close() {
	m.fleet.Close()
	m.journal.close()
}

// record writes an act down, with the versions that it was done on. At is now unless it is set.
func (m *fleetMember) record(r audit.Record) {
	if m.leftFleet {
		return
	}
	if r.At == 0 {
		r.At = int64(m.loop.Now())
	}
	r.Instance, r.Build, r.Config = m.instanceName, m.version, m.configDigest
	if m.leadership != nil {
		r.Revision = m.leadership.list.Revision
	}
	m.journal.write(r)
}

// status may be called on any goroutine.
func (m *fleetMember) status() *admin.FleetStatus {
	f := m.fleet.Status()
	f.JournalRecordsDropped, f.JournalWriteFailing = m.journal.metrics()
	return &f
}

// applyConfig takes over a configuration under way.
func (m *fleetMember) applyConfig(cfg *config.Config) {
	if m.configDigest == cfg.Digest {
		return
	}
	m.configDigest = cfg.Digest
	m.record(audit.Record{Act: audit.ConfigApplied})
	if m.leadership != nil {
		m.leadership.carryOut(discoveryleader.Actions{})
	} else {
		m.fleet.SetStatus(discoveryleader.Announcement{}, m.version, m.configDigest)
	}
}

// applyFleetConfig takes over the fleet's file as it was read again: of its own keys, what is allowed and on which revision this pooler is.
func (m *fleetMember) applyFleetConfig(fc *config.Fleet) {
	m.fleet.Reload(fc)
	if m.leadership != nil {
		m.leadership.applyFleetConfig(fc.ConfigRevision, discoveryleader.MinimumVersion{Build: fc.LeastBuild, ConfigRevision: fc.LeastConfig})
	}
}

// leave ends the pooler's part before its last answers.
func (m *fleetMember) leave() {
	if m.leadership != nil {
		m.leadership.leave()
	}
	m.record(audit.Record{Act: audit.Ended})
	m.leftFleet = true
}
