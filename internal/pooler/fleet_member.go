package pooler

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/pooler/admin"
)

// fleetMember is this pooler in its fleet: the way to the other poolers, and the journal of its acts. It runs on the loop of the
// PostgreSQL worker.
type fleetMember struct {
	loop         *dispatch.EventLoop
	fleet        Fleet
	log          zerolog.Logger
	version      string // of the program
	configDigest string // of the configuration in force
	instanceName string // this process, in the journal
	journal      *journal
	leadership   *listLeadership // nil: the servers are taken from a file, which is each pooler's own
	leftFleet    bool            // the shutdown has begun: nothing more is recorded
	failed       chan error      // receives at most one error
}

// newFleetMember has a pooler take part: all its frontends ask the components' guards, and the PostgreSQL worker's watcher, if there
// is one, takes part in the list leadership. It must be called before the loops run. setAdmitted is called on the loop whenever the
// fleet excludes this pooler or admits it again.
func newFleetMember(workers []*worker, cfg *config.Config, options *FleetOptions, setAdmitted func(bool), log zerolog.Logger) (*fleetMember, error) {
	pg, fleetConfig := workers[0], options.Config
	m := &fleetMember{
		loop:         pg.loop,
		log:          log.With().Str("part", "fleet").Logger(),
		version:      options.Build,
		configDigest: cfg.Digest,
		instanceName: fmt.Sprintf("%s/%d", fleetConfig.Name, os.Getpid()),
		failed:       make(chan error, 1),
	}
	if options.Attach != nil {
		for _, w := range workers {
			options.Attach(Frontend{w.name, w.dispatcher, w.loop})
		}
	}
	var err error
	if m.journal, err = openJournal(fleetConfig.Journal, m.log); err != nil {
		return nil, err
	}
	if pg.source.watcher != nil {
		m.leadership = newListLeadership(m, pg.source.watcher, pg.dispatcher, cfg, fleetConfig, setAdmitted)
	}
	if m.fleet, err = options.Open(m.events()); err != nil {
		m.journal.close()
		return nil, err
	}
	m.record(audit.Record{Act: audit.Started})
	return m, nil
}

// events returns what takes in the fleet's reports. Without a list leadership those on lists and primaries are ignored.
func (m *fleetMember) events() FleetEvents {
	events := FleetEvents{
		Announced:           func(discoveryleader.Announcement, discoveryleader.MinimumVersion) {},
		ListRequested:       func(string) {},
		ListReceived:        func(discoveryleader.Announcement, []byte) {},
		PrimaryReportedDown: func(int) {},
		PrimaryAnnounced:    func(uint64, int, string, time.Duration) {},
	}
	if m.leadership != nil {
		events = m.leadership.events()
	}
	events.Audit = func(r audit.Record) {
		r.At = time.Now().UnixNano()
		m.loop.Post(func() { m.record(r) })
	}
	events.Failed = func(err error) {
		select {
		case m.failed <- err:
		default: // the first one ends the pooler
		}
	}
	return events
}

// Spread returns a number from 0 up to 1, by the pooler's seed: when, within an interval, the pooler does what all poolers do.
func Spread(cfg *config.Config) float64 {
	const steps = 1024
	return float64(cfg.Seed%steps) / steps
}

// applyConfig takes over the pooler's configuration in force.
func (m *fleetMember) applyConfig(cfg *config.Config) {
	if m.configDigest == cfg.Digest {
		return
	}
	m.configDigest = cfg.Digest
	m.record(audit.Record{Act: audit.ConfigApplied})
	if m.leadership != nil {
		m.leadership.carryOut(discoveryleader.Actions{})
		return
	}
	m.fleet.SetStatus(discoveryleader.Announcement{}, m.version, m.configDigest)
}

// applyFleetConfig takes over the fleet's configuration as it was read again: of its own keys, what is allowed and which revision
// of the configuration this pooler has.
func (m *fleetMember) applyFleetConfig(cfg *config.Fleet) {
	m.fleet.Reload(cfg)
	if m.leadership != nil {
		m.leadership.applyFleetConfig(cfg.ConfigRevision, discoveryleader.MinimumVersion{Build: cfg.MinBuild, ConfigRevision: cfg.MinConfigRevision})
	}
}

// record writes an act into the journal, with the versions that it was done on. Its time is now unless it is set.
func (m *fleetMember) record(r audit.Record) {
	if m.leftFleet {
		return
	}
	if r.At == 0 {
		r.At = int64(m.loop.Now())
	}
	r.Instance = m.instanceName
	r.Build = m.version
	r.Config = m.configDigest
	if m.leadership != nil {
		r.Revision = m.leadership.list.Revision
	}
	m.journal.write(r)
}

// status returns how the fleet stands. It may be called on any goroutine.
func (m *fleetMember) status() *admin.FleetStatus {
	status := m.fleet.Status()
	status.JournalRecordsDropped, status.JournalWriteFailing = m.journal.metrics()
	return &status
}

// leave ends the pooler's part before its last answers.
func (m *fleetMember) leave() {
	if m.leadership != nil {
		m.leadership.leave()
	}
	m.record(audit.Record{Act: audit.Ended})
	m.leftFleet = true
}

// close disconnects from the fleet, after the loop has ended.
func (m *fleetMember) close() {
	m.fleet.Close()
	m.journal.close()
}
