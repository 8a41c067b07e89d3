package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/protocol/discovery"
)

// listLeadership takes part, for a worker's watcher, in the leadership of the fleet's server list: one pooler, the leader, watches
// the list service and announces each list; the others fetch it. When to call, announce and fetch is decided by the election; this
// type carries it out and reports back. It runs on the watcher's loop, which is also the fleet member's.
type listLeadership struct {
	*fleetMember
	watcher         *watcher
	dispatcher      *dispatch.Dispatcher
	election        discoveryleader.Participant
	sharedAddresses bool       // as config.Fleet.SharedAddresses
	setAdmitted     func(bool) // makes the admin server answer accordingly

	excluded       bool                           // the fleet excludes this pooler: it accepts no writes
	configRevision uint64                         // of the configuration in force, as the operators count it
	minimum        discoveryleader.MinimumVersion // as heard last
	leaseToken     uint64                         // of the lease held when the journal was written last; 0: none
	lastAnnounced  discoveryleader.Announcement
	list           discovery.List // the complete list as last heard, from whomever
	timer          *dispatch.Timer
	fetchTimer     *dispatch.Timer
}

// newListLeadership has a watcher take part in the list leadership. The watcher's loop does not run yet.
func newListLeadership(m *fleetMember, w *watcher, dispatcher *dispatch.Dispatcher, cfg *config.Config, fleetConfig *config.Fleet, setAdmitted func(bool)) *listLeadership {
	d := &listLeadership{
		fleetMember:     m,
		watcher:         w,
		dispatcher:      dispatcher,
		sharedAddresses: fleetConfig.SharedAddresses,
		setAdmitted:     setAdmitted,
		configRevision:  fleetConfig.ConfigRevision,
		list:            discovery.List{Complete: true, Revision: cfg.KnownServers.Revision, Members: cfg.KnownServers.Members},
		election: discoveryleader.Participant{Options: discoveryleader.Options{
			Name:           fleetConfig.Name,
			LeaseDuration:  fleetConfig.Term,
			MaxClockDrift:  fleetConfig.MaxClockDrift,
			FollowOnly:     !fleetConfig.UsesGossip(),
			MaxListLag:     fleetConfig.StragglerTimeout,
			JitterFraction: Spread(cfg),
			PoolerCount:    max(cfg.Settings.Poolers, 1),
		}},
	}
	w.leadership = d
	if w.pushed { // else the policy asks
		w.loop.After(0, d.requestWatch)
	}
	dispatcher.OnPrimary(d.primaryChanged)
	minimum := discoveryleader.MinimumVersion{Build: fleetConfig.MinBuild, ConfigRevision: fleetConfig.MinConfigRevision}
	m.loop.After(0, func() { d.applyMinimum(minimum) })
	return d
}

// events returns what takes in the fleet's reports, on the loop.
func (d *listLeadership) events() FleetEvents {
	return FleetEvents{
		Announced: func(announcement discoveryleader.Announcement, minimum discoveryleader.MinimumVersion) {
			d.loop.Post(func() { d.receiveAnnouncement(announcement, minimum) })
		},
		ListRequested: func(from string) {
			d.loop.Post(func() { d.sendList(from) })
		},
		ListReceived: func(announcement discoveryleader.Announcement, list []byte) {
			d.loop.Post(func() { d.receiveList(announcement, list) })
		},
		PrimaryReportedDown: func(group int) {
			d.loop.Post(func() { d.dispatcher.ReportPrimaryDown(group) })
		},
		PrimaryAnnounced: func(token uint64, group int, server string, asOf time.Duration) {
			d.loop.Post(func() { d.receivePrimary(token, group, server, asOf) })
		},
	}
}

// requestWatch has the election decide whether this pooler calls the list service: the policy asks for the list.
func (d *listLeadership) requestWatch() { d.carryOut(d.election.HandleListWanted(d.loop.Now())) }

// watchFailed takes in that the own watch has ended.
func (d *listLeadership) watchFailed() { d.carryOut(d.election.HandleWatchFailed(d.loop.Now())) }

// leave resigns: another pooler may lead at once.
func (d *listLeadership) leave() { d.carryOut(d.election.HandleShutdown(d.loop.Now())) }

// carryOut carries out what the election has decided, and has it decide again when its next timer is due.
func (d *listLeadership) carryOut(actions discoveryleader.Actions) {
	d.carryOutWatch(actions)
	if actions.RequestLease {
		d.fleet.AcquireLease(func(grant lease.Lease, ok bool, err error) {
			d.loop.Post(func() { d.receiveLeaseAnswer(grant, ok, err) })
		})
	}
	if actions.Announce.Token > 0 {
		d.announce(actions.Announce)
	}
	if actions.FetchList.Sequence > 0 {
		d.fetch(actions.FetchList)
	}
	d.fleet.SetStatus(d.election.Installed(), d.version, d.configDigest)
	d.timer.Stop()
	now := d.loop.Now()
	d.setExcluded(d.election.Outdated(now))
	d.observeLease(now)
	d.timer = d.loop.After(max(d.election.NextTimerAt(now)-now, time.Millisecond), func() { d.carryOut(d.election.HandleTimer(d.loop.Now())) })
}

// carryOutWatch closes or opens the own watch. The lease is released in between: its acts have ended.
func (d *listLeadership) carryOutWatch(actions discoveryleader.Actions) {
	now := d.loop.Now()
	if actions.CloseWatch && !d.watcher.pushed {
		d.watcher.disconnect()
		d.log.Info().Msg("list service: left to the holder")
	}
	if actions.ReleaseLease {
		d.fleet.ReleaseLease()
	}
	if actions.OpenWatch {
		token, holds := d.election.Token(now)
		d.log.Info().Bool("holder", holds).Uint64("token", token).Msg("list service: called")
		d.watcher.open()
	}
}

// observeLease notes whether this pooler holds the lease: the leader also runs the rounds of groups without a primary.
func (d *listLeadership) observeLease(now time.Duration) {
	token, holds := d.election.Token(now)
	d.dispatcher.SetRoundLeader(holds)
	if token == d.leaseToken {
		return
	}
	if d.leaseToken > 0 {
		d.record(audit.Record{Act: audit.LeaseLost, Token: d.leaseToken})
	}
	if token > 0 {
		d.record(audit.Record{Act: audit.LeaseHeld, Token: token})
	}
	d.leaseToken = token
}

// receiveLeaseAnswer takes in the voters' answer to a request for the lease.
func (d *listLeadership) receiveLeaseAnswer(grant lease.Lease, ok bool, err error) {
	now := d.loop.Now()
	_, held := d.election.Token(now)
	actions := d.election.HandleLeaseResponse(now, grant, ok, err)
	switch token, holds := d.election.Token(now); {
	case err != nil:
		d.log.Warn().Err(err).Msg("lease: the stewards decide nothing")
	case holds:
		level := zerolog.DebugLevel
		if !held {
			level = zerolog.InfoLevel
		}
		d.log.WithLevel(level).Uint64("token", token).Str("holder", grant.Holder).Bool("renewed", held).Int64("at_ns", int64(now)).
			Int64("until_ns", int64(d.election.RenewDeadline())).Msg("lease: held")
	}
	d.carryOut(actions)
}

// logAct logs an act of the leader's once it is over, with its beginning and end and whether it reached all poolers.
func (d *listLeadership) logAct(level zerolog.Level, message string, token uint64, began time.Duration, all bool, fields func(*zerolog.Event)) {
	event := d.log.WithLevel(level).Uint64("token", token).Int64("began_ns", int64(began)).Int64("ended_ns", int64(d.loop.Now())).Bool("all", all)
	fields(event)
	event.Msg(message)
}
