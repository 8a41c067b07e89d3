package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/policy"
)

// The leader runs the rounds of groups without a primary, and announces to the other poolers what each round has found.

// primaryChanged takes in what the policy reports of a group's primary.
func (d *listLeadership) primaryChanged(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration) {
	switch kind {
	case policy.PrimaryFound:
		d.record(audit.Record{Act: audit.PrimaryAdopted, Group: group, Server: server})
		if server != "" { // else its name has been forgotten meanwhile
			d.announcePrimary(group, server, asOf)
		}
	case policy.PrimaryListed:
		d.record(audit.Record{Act: audit.PrimaryAdopted, Group: group, Server: server})
	case policy.PrimaryDown:
		d.record(audit.Record{Act: audit.PrimaryDropped, Group: group, Server: server})
		if installed := d.election.Installed(); installed.Source != "" && installed.Source != d.election.Name {
			d.fleet.ReportPrimaryDown(installed.Source, group)
		}
	case policy.PrimaryNotFound:
		d.announcePrimary(group, "", asOf)
	}
}

// announcePrimary tells the other poolers, if this one leads, that it has found a group's primary by itself, or that a round has
// found none ("").
func (d *listLeadership) announcePrimary(group int, server string, asOf time.Duration) {
	began := d.loop.Now()
	token, leads := d.election.Token(began)
	if !leads {
		return
	}
	level := zerolog.InfoLevel
	if server == "" {
		level = zerolog.DebugLevel
	}
	d.fleet.AnnouncePrimary(token, group, server, asOf, d.election.RenewDeadline()-began, func(all bool) {
		d.logAct(level, "primary: told", token, began, all, func(e *zerolog.Event) { e.Int("group", group).Str("server", server) })
	})
}

// receivePrimary takes in what the leader has found of a group's primary.
func (d *listLeadership) receivePrimary(token uint64, group int, server string, asOf time.Duration) {
	now := d.loop.Now()
	actions, ok := d.election.HandleLeaderToken(now, token)
	if ok {
		d.dispatcher.ObservePrimary(group, server, min(asOf, now))
	} else {
		d.log.Warn().Uint64("token", token).Str("server", server).Msg("primary: refused, a newer holder was heard")
	}
	d.carryOut(actions)
}
