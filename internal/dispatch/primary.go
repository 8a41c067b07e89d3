package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// PrimaryObserver is called on the loop with each event of a group's primary: the server, "" where its name is not known,
// and the Unix time that the event is of, where it has one.
type PrimaryObserver = func(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration)

// OnPrimary adds an observer of all groups' primaries.
func (d *Dispatcher) OnPrimary(observer PrimaryObserver) {
	d.primaryObservers = append(d.primaryObservers, observer)
}

// ObservePrimary takes in what another pooler, which looks for primaries for the whole fleet, found of a group at the Unix
// time asOf: its primary, or "" for none yet. A server that no list here has named is passed over.
func (d *Dispatcher) ObservePrimary(group int, server string, asOf time.Duration) {
	id, known := d.servers.ids[server]
	if known || server == "" {
		d.router.ObservePrimary(d.loop.Now(), group, id, known, asOf)
	}
}

// ReportPrimaryDown takes in that another pooler has lost a group's primary.
func (d *Dispatcher) ReportPrimaryDown(group int) {
	d.router.ReportPrimaryDown(d.loop.Now(), group)
}

// SetRoundLeader has this pooler look for primaries for the whole fleet, or leaves that to another one.
func (d *Dispatcher) SetRoundLeader(leads bool) { d.router.SetRoundLeader(leads) }
