package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/policy"
)

// The rounds of groups without a primary are the list duty's holder's: it tells the others what each has found.

// primaryChanged takes in news of a group's primary.
func (d *listLeadership) primaryChanged(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration) {
	switch kind {
	case policy.PrimaryFound:
		d.record(audit.Record{Act: audit.PrimaryAdopted, Group: group, Server: server})
		if server != "" { // else its name was forgotten meanwhile
			d.announcePrimary(group, server, asOf)
		}
	case policy.PrimaryListed:
		d.record(audit.Record{Act: audit.PrimaryAdopted, Group: group, Server: server})
	case policy.PrimaryDown:
		d.record(audit.Record{Act: audit.PrimaryDropped, Group: group, Server: server})
		if w := d.election.Installed(); w.Source != "" && w.Source != d.election.Name {
			d.fleet.ReportPrimaryDown(w.Source, group)
		}
	case policy.PrimaryNotFound:
		d.announcePrimary(group, "", asOf)
	}
}

// announcePrimary takes in that this pooler has found a group's primary by itself, or that a round of it has found none (""). The
// holder tells the others.
func (d *listLeadership) announcePrimary(group int, server string, asOf time.Duration) {
	began := d.loop.Now()
	token, ok := d.election.Token(began)
	if !ok {
		return
	}
	level := zerolog.InfoLevel
	if server == "" {
		level = zerolog.DebugLevel
	}
	d.fleet.AnnouncePrimary(token, group, server, asOf, d.election.RenewDeadline()-began, func(all bool) {
		d.logAction(level, "primary: told", token, began, all, func(e *zerolog.Event) { e.Int("group", group).Str("server", server) })
	})
}

// receivePrimary takes in what the holder found of a group.
func (d *listLeadership) receivePrimary(token uint64, group int, server string, asOf time.Duration) {
	now := d.loop.Now()
	do, ok := d.election.HandleLeaderToken(now, token)
	if ok {
		d.dispatcher.ObservePrimary(group, server, min(asOf, now))
	} else {
		d.log.Warn().Uint64("token", token).Str("server", server).Msg("primary: refused, a newer holder was heard")
	}
	d.carryOut(do)
}

// logAction logs an act of the holder's once it is over, with its beginning and end and whether it reached all.
func (d *listLeadership) logAction(level zerolog.Level, what string, token uint64, began time.Duration, all bool, more func(*zerolog.Event)) {
	e := d.log.WithLevel(level).Uint64("token", token).Int64("began_ns", int64(began)).Int64("ended_ns", int64(d.loop.Now())).Bool("all", all)
	more(e)
	e.Msg(what)
}
