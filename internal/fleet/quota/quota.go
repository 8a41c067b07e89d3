// Package quota enforces rate limits that apply to a fleet of poolers as a whole: limits on the requests of a class or a tenant, and, for
// each server, on new connections, probes and attempts while the server is cold.
//
// A part of each limit, its reserve, is divided equally among the poolers. Such a safe share is permanent. The pooler that holds the lease
// LeaseName is the leader. Its Allocator divides the rest of each limit by demand, with max-min fairness, and grants the shares as quotas.
// A quota is itself a lease: it carries the leader's fencing token and has a term, which the pooler measures on its monotonic clock from
// the time at which it sent the request. Without further grants, a pooler's Client keeps its quota until the term ends and falls back to
// its safe share. The leader never grants quotas that would together exceed the rest of the limit, even if any of its grants were lost or
// delayed. A new leader grants only quotas that poolers report to hold already, until all quotas of earlier leaders have expired.
//
// Invariant, over any interval of t seconds, however many poolers are partitioned, stalled or killed, and whichever pooler leads:
//
//	the fleet takes at most  rate·t·(1 + drift/term) + burst + N
//
// N is the size of the fleet. docs/limits.md derives the bound and states when it does not hold: while more poolers are alive than the
// settings say, or while some poolers still apply an older set of limits. The caller must supply the size of the fleet, ensure that there
// is at most one leader at a time (replication.Leadership), and use clocks that differ by no more than drift over a term.
//
// The package owns the tokens of a pooler (Client, bucket), the leader's records of grants (Allocator) and the messages between them
// (Component). Guard is used on the event loop of a frontend, Component.Run runs on a goroutine of its own, and Client and Allocator are
// safe for concurrent use. The package does not choose the limits: they come from the operator's file, and the highest revision in the
// fleet's documents applies.
package quota

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName is the name of the lease that the leader holds.
const LeaseName lease.Name = "quota"

const (
	// maxBuckets is the maximum number of buckets of one pooler, one for each key of each limit.
	maxBuckets = 4096
	// maxRequestedKeys is the maximum number of keys in one request. If there are more, those with the highest demands are requested.
	maxRequestedKeys = 256
	// maxPendingRequests is the number of most recent requests whose grants are accepted.
	maxPendingRequests = 16
)

// Request is the message with which a pooler requests quotas from the leader. It reports the pooler's demand in excess of its safe share,
// and which grant the pooler applies.
type Request struct {
	Instance      string             `json:"instance"` // unique for each process of a pooler, as a restarted process holds no quota
	Number        uint64             `json:"number"`
	AppliedNumber uint64             `json:"have,omitempty"`  // number of the request whose grant is applied; earlier grants can no longer be
	Held          map[string]float64 `json:"held,omitempty"`  // by key: quotas from an earlier leader that are still applied, in tokens a second
	Demands       map[string]float64 `json:"wants,omitempty"` // by key: demand in excess of the safe share, in tokens a second
}

// Grant is the answer to a request. It replaces all earlier quotas of the pooler and is valid for the term, counted from the time at which
// the pooler sent the request. The pooler holds no quota for a key that the grant does not contain.
type Grant struct {
	Token  uint64             `json:"token"`  // fencing token of the leader
	Number uint64             `json:"number"` // number of the request
	Term   time.Duration      `json:"term_ns"`
	Quotas map[string]float64 `json:"slices,omitempty"` // by key: tokens a second; encoded under the earlier name "slices"
}
