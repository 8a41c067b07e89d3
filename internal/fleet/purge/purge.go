// Package purge empties the caches of all edges (poolers) of a site at the site's local close of business, at the same instant, and by the
// operators' order.
//
// It decides which purges there are (Timetable, from the fleet's documents), whether an edge may answer from its cache now and since when
// such an answer must have been requested (Edge.Current), which purges an edge still has to record (each once), and what the documents
// lack of the operators' file (Proposal). It owns the comparison of clocks between edges and, through CacheGuard, the cached answers.
// Edge and Timetable do no I/O; Component runs on goroutines of its own; CacheGuard is called on the event loop of a frontend.
//
// Invariant: let a clock be right that is within Bounds.Guard of true time, and let each edge's clock be right if it agrees with most of
// those that it was compared with within half of that. Then no edge gives a cached answer, after the instant of a purge of its site, that
// was requested before that instant. An edge gives none within a guard of the instant by its own clock, none that was requested earlier
// than a guard and Settle after the last purge, and none at all without a replica of the documents that is younger than MaxReplicaAge.
// Orders and plans take effect late enough for that (Bounds.reach). docs/purges.md has the derivation.
package purge

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// writerLease is held by the pooler that writes plans and orders, while it does.
const writerLease lease.Name = "purges"

// The keys of the documents.
const (
	keyPrefix   = "purge/"
	planKey     = "purge/plan"
	orderPrefix = "purge/order/" // followed by the order's name
)

const (
	// planValidity is how long a plan is in force: for so long zone data of two editions are compared. A term's calendar comes sooner.
	planValidity = 400 * 24 * time.Hour
	// eventRetention is how far back an edge that was out catches up, and how long an order stays a document.
	eventRetention = 7 * 24 * time.Hour
)

// AllClusters stands for all clusters of a site.
const AllClusters = -1

// Bounds is what the whole fleet keeps to. The bounds are part of the plan, so all edges keep to the same.
type Bounds struct {
	Guard         time.Duration `json:"guard_ns"`   // how far a trusted clock may be off
	MaxReplicaAge time.Duration `json:"confirm_ns"` // how old a replica may be by which cached answers are given
	Settle        time.Duration `json:"settle_ns"`  // for how long after a purge database replicas may answer from before it
	WriteLead     time.Duration `json:"lead_ns"`    // how long the voters may take to apply a write that was sent
}

// activationDelay is how long after it was written an order or a plan takes effect. An edge whose replica lacks it by then has stopped to answer
// from its cache: its replica is as of a time before the write was applied, which is WriteLead after it was sent at most, and is valid for
// MaxReplicaAge. The writer's clock may be behind by a guard.
func (b Bounds) activationDelay() time.Duration { return b.MaxReplicaAge + b.WriteLead + b.Guard }

// Reason is why an edge does not answer from its cache.
type Reason uint8

// The reasons.
const (
	Allowed        Reason = iota // the edge may answer
	NoPlan                       // no plan is in force here, or the plan has expired
	ReplicaStale                 // the replica of the documents was not confirmed for too long
	ClockUntrusted               // the clock disagrees with most others, or was compared with too few
	ReasonCount                  // how many reasons there are
)

// String returns the reason as it stands in the log.
func (r Reason) String() string {
	return [...]string{"may", "no plan", "unheard", "clock"}[r]
}
