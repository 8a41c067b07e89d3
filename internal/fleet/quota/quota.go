// Package quota keeps a fleet of poolers within limits that hold for all of them together: requests a second of a class or a tenant,
// and new connections, probes and work for a cold server, a second at each server.
//
// A part of each limit, its reserve, is set aside in equal safe shares, one for each pooler, for good. The pooler that holds the lease
// LeaseName is the leader; its Allocator divides the rest by demand, max-min fair, in quotas. A quota is itself a lease: it has a term,
// counted from when the pooler sent its request, on the pooler's monotonic clock, and the leader's fencing token. A pooler's Client that
// hears nothing keeps its quota up to its end, and has its safe share from then on. The leader grants nothing by which the quotas would
// exceed the rest, even if each of its own answers was lost or delayed; and a new leader grants only what poolers report to hold
// already, until all quotas of the leaders before it have ended.
//
// Invariant, over any span of t seconds, however many poolers are cut off, stalled or killed, and whoever leads:
//
//	the fleet takes at most  rate·t·(1 + drift/term) + burst + N
//
// N is the fleet's size. docs/limits.md derives the bound, and tells what breaks it: more poolers alive than the settings' number, and
// a set of limits that not all poolers have yet. The caller owes the fleet's size, one leader at a time (replication.Leadership), and
// clocks that differ by no more than drift over a term.
//
// The package owns a pooler's tokens (Client, bucket), the leader's accounts (Allocator) and the messages between the two (Component).
// Guard asks on the event loop of a frontend, Component.Run runs on a goroutine of its own, and Client and Allocator are safe for
// concurrent use. The package does not decide what the limits are: they come from the operators' file, and the highest revision in the
// fleet's documents counts.
package quota

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName is the leader's lease.
const LeaseName lease.Name = "quota"

const (
	// maxBuckets bounds the keys of limits that one pooler keeps.
	maxBuckets = 4096
	// maxRequestedKeys bounds the keys of one request; those with the highest wants are requested first.
	maxRequestedKeys = 256
	// maxPendingRequests bounds the requests whose grants are still accepted.
	maxPendingRequests = 16
)

// Request tells the leader how much a pooler wants over its safe share, and which grant the pooler applies.
type Request struct {
	Instance      string             `json:"instance"` // tells a pooler's processes apart: one that was restarted holds no quota
	Number        uint64             `json:"number"`
	AppliedNumber uint64             `json:"have,omitempty"`  // the request whose grant is applied; earlier ones never will be
	Held          map[string]float64 `json:"held,omitempty"`  // by key: quotas of an earlier leader that are still applied, a second
	Wants         map[string]float64 `json:"wants,omitempty"` // by key: tokens a second
}

// Grant answers a request. It is all that the pooler holds, from the time at which it sent the request until the term is over. The
// pooler holds no quota of a key that the grant does not name.
type Grant struct {
	Token  uint64             `json:"token"`  // the leader's fencing token
	Number uint64             `json:"number"` // the request's
	Term   time.Duration      `json:"term_ns"`
	Quotas map[string]float64 `json:"slices,omitempty"` // by key: tokens a second; encoded as "slices", their earlier name
}
