// Package replication gives every pooler of a fleet a copy of the documents that all poolers agree on: limits, calendars, purge
// orders, shard maps and moves. The voters (package consensus) keep the documents in their replicated log, beside the leases.
//
// It decides which writes the log accepts (DocumentTable), what has changed between two versions (Delta, History), when a pooler's
// Replica is confirmed to be current, from whom a Replica that lags is brought up to date (Replicator), and when a pooler may act as
// the holder of a lease (Candidate). It owns the Replica and its file on disk (Persister). It does not order writes, which is the
// log's work, and does not interpret a document's value.
//
// Store, View and Leadership are what a component of the fleet works with. Their methods are called on the goroutines of the
// components; Replicator, Persister and Candidate run goroutines of their own, which end with the context that they are started with.
//
// Invariants:
//   - A version is the log index of a write, so versions grow over all documents together.
//   - The documents of a Replica are all those of one version, and a Replica's version never falls.
//   - A Replica is confirmed as of an instant only if no newer version was in the log at that instant. It may lag; it is never wrong.
//   - A document's value is accepted or refused as a whole.
package replication

import (
	"context"
	"errors"
	"time"

	"threadsail/internal/fleet/lease"
)

// Bounds of the documents. Every pooler holds all of them.
const (
	MaxDocumentSize = 64 << 10 // bytes of one document's value
	MaxDocuments    = 1024
	MaxTotalSize    = 4 << 20 // bytes of all keys and values: a pooler has 32 MB, and fetches the documents all at once
	maxKeyLength    = 256     // bytes
)

// Errors of Store.Put. Any other error leaves open whether the write was accepted, or will be.
var (
	ErrConflict = errors.New("replication: the document has another version")
	ErrFenced   = errors.New("replication: the lease that the write names is no longer held")
	ErrTooLarge = errors.New("replication: the document is too large, or there are too many")
)

// Document is one document. Version 0 stands for a document that does not exist; a deleted document has no version.
type Document struct {
	Key     string `json:"key"`     // "COMPONENT/NAME"
	Version uint64 `json:"version"` // log index of the write that made the document
	Value   []byte `json:"value"`
}

// Fence ties a write to a lease: the write is refused unless the lease is held with this token at the moment that the write is
// applied. The zero Fence ties a write to no lease.
type Fence struct {
	Lease lease.Name `json:"duty,omitempty"` // encoded as "duty", its earlier name
	Token uint64     `json:"token,omitempty"`
}

// Store reads and writes documents through the leading voter. It is safe for concurrent use.
type Store interface {
	// Put writes a document if its version is still expect; 0 means that the document must not exist. A nil value deletes the
	// document. The returned version is in the log of a majority of the voters.
	Put(ctx context.Context, key string, expect uint64, value []byte, f Fence) (version uint64, err error)
	// Read returns the document as the leading voter has it, so it misses no write that had returned before the call. It is slower
	// than a View and fails while no voter can be reached.
	Read(ctx context.Context, key string) (Document, error)
}

// View reads this pooler's replica of the documents. It is safe for concurrent use, and no method blocks.
type View interface {
	Get(key string) (Document, bool)
	// List returns the documents whose key has a prefix, in the order of their keys.
	List(prefix string) []Document
	// Version returns the log index that the replica is as of; 0 means that the replica is still empty.
	Version() uint64
	// ConfirmedAt returns the latest instant, on this process's clock, at which the replica is known to have been current. The zero
	// time means that the replica has not been confirmed since the process began, whatever was loaded from disk.
	ConfirmedAt() time.Time
	// Changed returns a channel that is closed at the next change of any document. Callers take the channel before they read.
	Changed() <-chan struct{}
}
