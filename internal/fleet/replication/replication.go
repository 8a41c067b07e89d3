// Package shared holds what all poolers of a fleet agree on: small versioned documents (limits, calendars, purge orders, shard
// maps, moves) that the stewards keep in their log beside the leases. A writer names the version that it has read, so that
// nothing is overwritten unseen; every pooler holds a copy, which is never wrong but may be old, and tells its age.
//
// What holds: versions are log indices, so they only grow over all keys together; a copy's documents are those of one version of
// the log, whole; a value is never taken in part.
package replication

import (
	"context"
	"errors"
	"time"

	"threadsail/internal/fleet/lease"
)

// MaxDocumentSize bounds one document, and MaxDocs how many there are: they are read by every pooler whole.
const (
	MaxDocumentSize = 64 << 10
	MaxDocuments    = 1024
)

// What Put can say. Any other error decides nothing either way: the value may have been taken, or may be yet.
var (
	ErrConflict = errors.New("shared: the document has another version")
	ErrFenced   = errors.New("shared: the lease that the writer names has passed on")
	ErrTooLarge = errors.New("shared: the document is too large, or there are too many")
)

// Document is a document. Version 0 stands for one that does not exist; a deleted one keeps none.
type Document struct {
	Key     string `json:"key"`     // "PART/NAME"
	Version uint64 `json:"version"` // the log index of the write that made it so
	Value   []byte `json:"value"`
}

// Fence ties a write to a lease: it is refused unless the table holds the duty with this token when the write is applied.
// The zero Fence ties it to none.
type Fence struct {
	Lease lease.Name `json:"duty,omitempty"`
	Token uint64     `json:"token,omitempty"`
}

// Store writes documents, through whichever steward leads. It is safe for use by several goroutines.
type Store interface {
	// Put writes a document if its version is still expect (0: it must not exist); value nil deletes it. The version that it
	// returns is in the log of a majority.
	Put(ctx context.Context, key string, expect uint64, value []byte, f Fence) (version uint64, err error)
	// Read asks the leading steward, so that it misses no write that had returned before: slower than View, and fails in a cut.
	Read(ctx context.Context, key string) (Document, error)
}

// View is a pooler's own copy. It is safe for use by several goroutines, and never waits.
type View interface {
	Get(key string) (Document, bool)
	List(prefix string) []Document // by key
	// Version is the log index that the copy is as of; 0: it holds nothing yet.
	Version() uint64
	// ConfirmedAt is when a steward or another pooler last said that nothing newer was known, on this process's clock; the zero
	// time: not since its start, whatever the copy on disk holds.
	ConfirmedAt() time.Time
	// Changed is closed at the next change of any document; ask for it before reading.
	Changed() <-chan struct{}
}

// Leadership is a duty that this pooler stands for. It is safe for use by several goroutines, and never waits.
type Leadership interface {
	// Token is the fencing token while this pooler may act, and until when.
	Token() (token uint64, until time.Time, ok bool)
	Changed() <-chan struct{} // closed when the duty is won or lost
}
