// Package purge empties the answer caches of all edges (poolers) of a site at the same instant: at the site's local closing time, and
// when the operators order it.
//
// The package determines the purge events of a site (Timetable, from the fleet's shared documents), whether an edge may serve a cached
// answer and the earliest time at which that answer must have been requested (Edge.ServableSince), which purges an edge has yet to record
// in its audit journal (each exactly once), and which documents must be written to publish the operators' configuration file (Proposal).
// It owns the comparison of clocks between edges and, through CacheGuard, the cached answers. Edge and Timetable do no I/O; Component
// runs its own goroutines; the methods of CacheGuard are called on a frontend's event loop.
//
// Invariant: after the instant of a purge of its site, no edge serves a cached answer that was requested before that instant. The invariant
// assumes that an edge's clock is within Bounds.Guard of true time whenever it agrees, within half of Bounds.Guard, with a majority of the
// clocks that it was compared with. An edge serves no cached answer while its own clock is within Bounds.Guard of the instant, none that
// was requested earlier than Guard plus Settle after the last purge, and none without a replica of the documents that is younger than
// MaxReplicaAge. Orders and plans take effect late enough for that (Bounds.activationDelay). docs/purges.md has the derivation.
package purge

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// writerLease is the lease that a pooler holds while it writes plans and orders.
const writerLease lease.Name = "purges"

// Keys of the shared documents.
const (
	keyPrefix   = "purge/"
	planKey     = "purge/plan"
	orderPrefix = "purge/order/" // prefix of an order's key; the order's name follows
)

const (
	// planValidity is how long a plan stays in force, and the period over which the zone rules of the plan's writer and of an edge must
	// agree. A new plan with the calendar of the next term is expected sooner.
	planValidity = 400 * 24 * time.Hour
	// eventRetention is how far back an edge that was down records missed purges. The documents of orders are kept for longer than that.
	eventRetention = 7 * 24 * time.Hour
)

// AllClusters is the Event.Cluster of a purge of all clusters of a site.
const AllClusters = -1

// Bounds holds the time limits on which the consistency of purges rests. They are part of the plan, so all edges use the same values.
type Bounds struct {
	Guard         time.Duration `json:"guard_ns"`   // largest deviation of a trusted clock from true time
	MaxReplicaAge time.Duration `json:"confirm_ns"` // largest age of the documents' replica with which cached answers are served
	Settle        time.Duration `json:"settle_ns"`  // time after a purge in which database replicas may still return data from before it
	WriteLead     time.Duration `json:"lead_ns"`    // longest time from sending a write until the voters apply it
}

// activationDelay returns the time from writing an order or a plan until it takes effect. An edge whose replica still lacks the document
// by then has stopped serving cached answers: its replica was confirmed before the write was applied, which happens at most WriteLead
// after the write was sent, and a replica is used for at most MaxReplicaAge. Guard covers a writer whose clock is slow.
func (b Bounds) activationDelay() time.Duration { return b.MaxReplicaAge + b.WriteLead + b.Guard }

// Reason is the result of the check whether an edge may serve cached answers: Allowed, or the reason why not.
type Reason uint8

// Results of the check.
const (
	Allowed        Reason = iota // the edge may serve cached answers
	NoPlan                       // no plan is in force for the site, or the plan has expired
	ReplicaStale                 // the replica of the documents was confirmed longer than MaxReplicaAge ago
	ClockUntrusted               // the clock disagrees with a majority of the others, or was compared with too few
	ReasonCount                  // number of results
)

// String returns the name of the reason in log lines.
func (r Reason) String() string {
	return [...]string{"may", "no plan", "unheard", "clock"}[r]
}
