package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// listLeadership plays the fleet's list duty for a watcher: the decisions are duty.Lists'. It runs on the watcher's loop.
type listLeadership struct {
	*fleetMember
	watcher         *watcher
	dispatcher      *dispatch.Dispatcher
	election        discoveryleader.Participant
	sharedAddresses bool       // config.Fleet.SharedAddresses
	setAdmitted     func(bool) // tells the operators' door
	excluded        bool       // takes no writes
	// configRevision of the configuration in force, as the operators count it, and the least that was told last.
	configRevision uint64
	minimum        discoveryleader.MinimumVersion
	token          uint64                       // of the lease held when the journal was told last; 0: none
	lastAnnounced  discoveryleader.Announcement // the last word told
	list           discovery.List               // the whole list as last told, by whomever
	timer          *dispatch.Timer
	fetchTimer     *dispatch.Timer // of a fetch
}

// newListLeadership has a watcher take part in the list duty. The watcher's loop does not run yet.
func newListLeadership(m *fleetMember, w *watcher, core *dispatch.Dispatcher, cfg *config.Config, fc *config.Fleet, ready func(bool)) *listLeadership {
	d := &listLeadership{fleetMember: m, watcher: w, dispatcher: core, sharedAddresses: fc.SharedAddresses, setAdmitted: ready, configRevision: fc.ConfigRevision,
		list:     discovery.List{Complete: true, Revision: cfg.Known.Revision, Members: cfg.Known.Members},
		election: discoveryleader.Participant{Options: discoveryleader.Options{Name: fc.Name, LeaseDuration: fc.Term, MaxClockDrift: fc.Drift, FollowOnly: !fc.Gossips(), MaxListLag: fc.Bound, JitterFraction: Spread(cfg), PoolerCount: max(cfg.Settings.Poolers, 1)}}}
	w.leadership = d
	if w.pushed { // else the module asks
		w.loop.After(0, d.requestWatch)
	}
	core.OnPrimary(d.primaryChanged)
	m.loop.After(0, func() {
		d.applyMinimum(discoveryleader.MinimumVersion{Build: fc.LeastBuild, ConfigRevision: fc.LeastConfig})
	})
	return d
}

// events is what the fleet tells the duty.
func (d *listLeadership) events() FleetEvents {
	return FleetEvents{
		Announced: func(word discoveryleader.Announcement, least discoveryleader.MinimumVersion) {
			d.loop.Post(func() { d.receiveAnnouncement(word, least) })
		},
		ListRequested: func(from string) { d.loop.Post(func() { d.sendList(from) }) },
		ListReceived: func(word discoveryleader.Announcement, list []byte) {
			d.loop.Post(func() { d.receiveList(word, list) })
		},
		PrimaryReportedDown: func(group int) { d.loop.Post(func() { d.dispatcher.ReportPrimaryDown(group) }) },
		PrimaryAnnounced: func(token uint64, group int, server string, asOf time.Duration) {
			d.loop.Post(func() { d.receivePrimary(token, group, server, asOf) })
		},
	}
}

func (d *listLeadership) requestWatch() { d.carryOut(d.election.HandleListWanted(d.loop.Now())) }
func (d *listLeadership) watchFailed()  { d.carryOut(d.election.HandleWatchFailed(d.loop.Now())) }

// receiveOwnList takes in what the own watch has brought.
func (d *listLeadership) receiveOwnList(l discovery.List) {
	d.list = d.list.With(l)
	do := d.election.HandleWatchedList(d.loop.Now())
	if have := d.election.Installed(); do.Announce.Token == 0 { // else it is noted as handed on
		d.record(audit.Record{Act: audit.ListApplied, Token: have.Token, Sequence: have.Sequence})
	}
	d.carryOut(do)
}

func (d *listLeadership) receiveAnnouncement(w discoveryleader.Announcement, least discoveryleader.MinimumVersion) {
	do, refused := d.election.HandleAnnouncement(d.loop.Now(), w)
	if refused {
		d.log.Warn().Uint64("token", w.Token).Uint64("seq", w.Sequence).Str("holder", w.Holder).Msg("word: refused, a newer one was heard")
		d.record(audit.Record{Act: audit.Refused, Token: w.Token, Sequence: w.Sequence})
	}
	d.carryOut(do)
	if !refused {
		d.applyMinimum(least)
	}
}

// sendList sends another pooler the list here, if it is one that was handed on.
func (d *listLeadership) sendList(from string) {
	if w := d.election.Installed(); w.Sequence > 0 {
		d.fleet.SendList(from, w, d.list.Format())
	}
}

// receiveList takes in a list that was handed on: whole, or not at all.
func (d *listLeadership) receiveList(w discoveryleader.Announcement, text []byte) {
	if d.watcher.pushed { // nobody's list goes before the own agent's
		return
	}
	d.fetchTimer.Stop()
	now := d.loop.Now()
	list, err := discovery.ParseList(text)
	if err == nil && !d.sharedAddresses {
		var known bool
		if list, known = list.At(d.list); !known { // a server that was never seen from here: its address here is asked for
			d.carryOut(d.election.HandleUnknownAddress(now))
			return
		}
	}
	if err != nil || !list.Complete {
		d.log.Error().Err(err).Str("from", w.Source).Msg("list: what was handed on can't be used")
		d.carryOut(d.election.HandleFetchFailed(now))
		return
	}
	do, ok := d.election.HandleList(now, w)
	if ok {
		d.list, d.watcher.revision = list, 0
		d.watcher.onList(policy.ListFull, listedMembers(list, d.watcher.zoneIndexes), now)
		d.log.Info().Uint64("token", w.Token).Uint64("seq", w.Sequence).Str("holder", w.Holder).Int64("at_ns", int64(now)).
			Uint64("revision", list.Revision).Int("servers", len(list.Members)).Msg("list: taken from the fleet")
		d.record(audit.Record{Act: audit.ListApplied, Token: w.Token, Sequence: w.Sequence})
	} else {
		d.log.Warn().Uint64("token", w.Token).Uint64("seq", w.Sequence).Str("holder", w.Holder).Msg("list: not newer than the one in force")
	}
	d.carryOut(do)
}

// carryOut carries out what was decided.
func (d *listLeadership) carryOut(do discoveryleader.Actions) {
	now := d.loop.Now()
	if do.CloseWatch && !d.watcher.pushed {
		d.watcher.disconnect()
		d.log.Info().Msg("list service: left to the holder")
	}
	if do.ReleaseLease {
		d.fleet.ReleaseLease()
	}
	if do.OpenWatch {
		token, holds := d.election.Token(now)
		d.log.Info().Bool("holder", holds).Uint64("token", token).Msg("list service: called")
		d.watcher.open()
	}
	if do.RequestLease {
		d.fleet.AcquireLease(func(g lease.Lease, ok bool, err error) { d.loop.Post(func() { d.receiveLeaseAnswer(g, ok, err) }) })
	}
	if do.Announce.Token > 0 {
		// The token is looked at once more, right before the act: the loop may have been late.
		began := d.loop.Now()
		if token, ok := d.election.Token(began); ok && token == do.Announce.Token {
			level := zerolog.DebugLevel // the same word again, so that the others hear of a holder
			if do.Announce != d.lastAnnounced {
				level = zerolog.InfoLevel
				d.record(audit.Record{Act: audit.ListAnnounced, Token: do.Announce.Token, Sequence: do.Announce.Sequence})
			}
			d.lastAnnounced = do.Announce
			d.fleet.Announce(do.Announce, d.election.RenewDeadline()-began, func(all bool) {
				d.logAction(level, "list: handed on", token, began, all, func(e *zerolog.Event) { e.Uint64("seq", do.Announce.Sequence).Str("holder", do.Announce.Holder) })
			})
		}
	}
	if do.FetchList.Sequence > 0 && d.watcher.pushed { // the own agent has whatever counts as told here: nobody's list goes before it
		d.loop.Post(func() { d.carryOut(d.election.HandleWatchedList(d.loop.Now())) })
	} else if do.FetchList.Sequence > 0 {
		d.fleet.FetchList(do.FetchList)
		d.fetchTimer = d.loop.After(d.election.LeaseDuration/2, func() { d.carryOut(d.election.HandleFetchFailed(d.loop.Now())) })
	}
	d.fleet.SetStatus(d.election.Installed(), d.version, d.configDigest)
	d.timer.Stop()
	now = d.loop.Now()
	d.setExcluded(d.election.Outdated(now))
	token, holds := d.election.Token(now)
	d.dispatcher.SetRoundLeader(holds)
	if token != d.token {
		if d.token > 0 {
			d.record(audit.Record{Act: audit.LeaseLost, Token: d.token})
		}
		if token > 0 {
			d.record(audit.Record{Act: audit.LeaseHeld, Token: token})
		}
		d.token = token
	}
	d.timer = d.loop.After(max(d.election.NextTimerAt(now)-now, time.Millisecond), func() { d.carryOut(d.election.HandleTimer(d.loop.Now())) })
}

func (d *listLeadership) receiveLeaseAnswer(g lease.Lease, ok bool, err error) {
	now := d.loop.Now()
	_, had := d.election.Token(now)
	do := d.election.HandleLeaseResponse(now, g, ok, err)
	switch token, has := d.election.Token(now); {
	case err != nil:
		d.log.Warn().Err(err).Msg("lease: the stewards decide nothing")
	case has:
		level := zerolog.DebugLevel
		if !had {
			level = zerolog.InfoLevel
		}
		d.log.WithLevel(level).Uint64("token", token).Str("holder", g.Holder).Bool("renewed", had).Int64("at_ns", int64(now)).
			Int64("until_ns", int64(d.election.RenewDeadline())).Msg("lease: held")
	}
	d.carryOut(do)
}

// leave ends the duty: another may act at once.
func (d *listLeadership) leave() { d.carryOut(d.election.HandleShutdown(d.loop.Now())) }
