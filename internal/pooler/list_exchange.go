package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// How the server list goes from pooler to pooler: the leader announces that it has a new one, and the others fetch it.

// receiveOwnList takes in what the own watch has brought.
func (d *listLeadership) receiveOwnList(list discovery.List) {
	d.list = d.list.With(list)
	actions := d.election.HandleWatchUpdate(d.loop.Now())
	if actions.Announce.Token == 0 { // else it is recorded as handed on
		installed := d.election.Installed()
		d.record(audit.Record{Act: audit.ListApplied, Token: installed.Token, Sequence: installed.Sequence})
	}
	d.carryOut(actions)
}

// announce tells all poolers of the list here. The lease is looked at once more, right before the act: the loop may have been late.
func (d *listLeadership) announce(announcement discoveryleader.Announcement) {
	began := d.loop.Now()
	token, holds := d.election.Token(began)
	if !holds || token != announcement.Token {
		return
	}
	level := zerolog.DebugLevel // the same announcement again, so that the others hear of a leader
	if announcement != d.lastAnnounced {
		level = zerolog.InfoLevel
		d.record(audit.Record{Act: audit.ListAnnounced, Token: announcement.Token, Sequence: announcement.Sequence})
	}
	d.lastAnnounced = announcement
	d.fleet.Announce(announcement, d.election.RenewDeadline()-began, func(all bool) {
		d.logAct(level, "list: handed on", token, began, all, func(e *zerolog.Event) { e.Uint64("seq", announcement.Sequence).Str("holder", announcement.Holder) })
	})
}

// receiveAnnouncement takes in the leader's announcement of a list.
func (d *listLeadership) receiveAnnouncement(announcement discoveryleader.Announcement, minimum discoveryleader.MinimumVersion) {
	actions, refused := d.election.HandleAnnouncement(d.loop.Now(), announcement)
	if refused {
		d.log.Warn().Uint64("token", announcement.Token).Uint64("seq", announcement.Sequence).Str("holder", announcement.Holder).Msg("announcement: refused, a newer one was heard")
		d.record(audit.Record{Act: audit.Refused, Token: announcement.Token, Sequence: announcement.Sequence})
	}
	d.carryOut(actions)
	if !refused {
		d.applyMinimum(minimum)
	}
}

// fetch requests an announced list. An own agent has whatever counts as notified here: no other pooler's list goes before it.
func (d *listLeadership) fetch(announcement discoveryleader.Announcement) {
	if d.watcher.pushed {
		d.loop.Post(func() { d.carryOut(d.election.HandleWatchUpdate(d.loop.Now())) })
		return
	}
	d.fleet.FetchList(announcement)
	d.fetchTimer = d.loop.After(d.election.LeaseDuration/2, func() { d.carryOut(d.election.HandleFetchFailed(d.loop.Now())) })
}

// sendList sends another pooler the list here, if it is one that was announced.
func (d *listLeadership) sendList(to string) {
	if installed := d.election.Installed(); installed.Sequence > 0 {
		d.fleet.SendList(to, installed, d.list.Format())
	}
}

// receiveList takes in a fetched list: as a whole, or not at all.
func (d *listLeadership) receiveList(announcement discoveryleader.Announcement, text []byte) {
	if d.watcher.pushed { // no other pooler's list goes before the own agent's
		return
	}
	d.fetchTimer.Stop()
	now := d.loop.Now()
	list, err := discovery.ParseList(text)
	if err == nil && !d.sharedAddresses {
		var known bool
		if list, known = list.At(d.list); !known { // it names a server that was never seen from here: the own watch tells its address here
			d.carryOut(d.election.HandleUnknownAddress(now))
			return
		}
	}
	if err != nil || !list.Complete {
		d.log.Error().Err(err).Str("from", announcement.Source).Msg("list: what was handed on can't be used")
		d.carryOut(d.election.HandleFetchFailed(now))
		return
	}
	actions, newer := d.election.HandleList(now, announcement)
	if newer {
		d.install(now, announcement, list)
	} else {
		d.log.Warn().Uint64("token", announcement.Token).Uint64("seq", announcement.Sequence).Str("holder", announcement.Holder).Msg("list: not newer than the one in force")
	}
	d.carryOut(actions)
}

// install hands a fetched list to the dispatcher.
func (d *listLeadership) install(now time.Duration, announcement discoveryleader.Announcement, list discovery.List) {
	d.list = list
	d.watcher.revision = 0
	d.watcher.onList(policy.ListFull, listedMembers(list, d.watcher.zoneIndexes), now)
	d.log.Info().Uint64("token", announcement.Token).Uint64("seq", announcement.Sequence).Str("holder", announcement.Holder).Int64("at_ns", int64(now)).
		Uint64("revision", list.Revision).Int("servers", len(list.Members)).Msg("list: taken from the fleet")
	d.record(audit.Record{Act: audit.ListApplied, Token: announcement.Token, Sequence: announcement.Sequence})
}
