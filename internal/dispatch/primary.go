package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// PrimaryObserver is called on the loop for each event of a group's primary, with the name of the server, or "" if it is not
// known, and the Unix time of the evidence for the event, if there is any.
type PrimaryObserver = func(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration)

// OnPrimary adds an observer of the primaries of all groups. It must be called before the loop runs.
func (d *Dispatcher) OnPrimary(observer PrimaryObserver) {
	d.primaryObservers = append(d.primaryObservers, observer)
}

// ObservePrimary passes to the policy what the pooler that runs the fleet's probe rounds has found at the Unix time asOf: a
// group's primary, or "" for none yet. It does nothing if no list of this pooler has named the server.
func (d *Dispatcher) ObservePrimary(group int, server string, asOf time.Duration) {
	id, known := d.servers.ids[server]
	if known || server == "" {
		d.router.ObservePrimary(d.loop.Now(), group, id, known, asOf)
	}
}

// ReportPrimaryDown reports to the policy that another pooler has found a group's primary down.
func (d *Dispatcher) ReportPrimaryDown(group int) {
	d.router.ReportPrimaryDown(d.loop.Now(), group)
}

// SetRoundLeader sets whether this pooler runs the probe rounds for the whole fleet.
func (d *Dispatcher) SetRoundLeader(isLeader bool) { d.router.SetRoundLeader(isLeader) }
