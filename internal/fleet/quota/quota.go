// Package quota keeps a fleet within limits that hold for all its poolers together: requests a second of a class or a tenant,
// new connections, probes, and work for a cold server, a second at each server.
//
// A limit's reserve is set aside in equal safe shares, one for each pooler, for good. The rest is dealt by the duty's holder
// (Dealer) by demand, max-min fair, in slices that are leases: a slice has a term, counted from when the pooler asked on its
// own monotonic clock, and the holder's fencing token. A pooler (Taker) that hears nothing keeps its slice to the end and has
// its safe share from then on. A holder deals nothing that the sum would exceed the rest by, even if each answer of its own
// was lost or came late, and a new one deals only what poolers tell that they hold until all slices of those before it are
// over.
//
// What holds, over any span of t seconds, however many poolers are cut off, stalled or killed, and whoever holds the duty:
//
//	the fleet takes at most  rate·t·(1 + drift/term) + burst + N
//
// N is the fleet's size. docs/limits.md derives it, and tells what breaks it: more poolers alive than the settings' number,
// and a set of limits that not all have yet. The caller owes the fleet's size, one holder at a time (shared.Tenure), and
// clocks that differ by no more than drift over a term.
package quota

import (
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseName is the holder's.
const LeaseName lease.Name = "quota"

// Bounds of what is kept and said.
const (
	maxBuckets         = 4096 // keys of limits at one pooler
	maxRequestedKeys   = 256  // keys in one ask: the most wanted come first
	maxPendingRequests = 16   // asks whose answers may still come
)

// Request is what a pooler tells the holder: how much it wants over its safe share, and which answer it goes by.
type Request struct {
	Instance      string             `json:"instance"` // tells a pooler's processes apart: one that was restarted holds nothing
	Number        uint64             `json:"number"`
	AppliedNumber uint64             `json:"have,omitempty"` // the ask whose answer is in force; answers to earlier ones never will be
	Held          map[string]float64 `json:"held,omitempty"` // of an older holder, still in force
	Wants         map[string]float64 `json:"wants,omitempty"`
}

// Grant answers an ask: all that the pooler holds from now on, until its asking and the term. A key that it omits holds none.
type Grant struct {
	Token  uint64             `json:"token"`
	Number uint64             `json:"number"` // of the ask
	Term   time.Duration      `json:"term_ns"`
	Quotas map[string]float64 `json:"slices,omitempty"`
}
