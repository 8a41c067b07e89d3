// Package replication gives every pooler of a fleet a replica of the shared documents: limits, calendars, purge orders, shard maps
// and moves. The voters (package consensus) store the documents in their replicated log, together with the leases.
//
// DocumentTable decides which writes the log accepts. Delta and History determine what has changed between two versions. Replica
// holds a pooler's copy of the documents and tracks when it was last confirmed to be current. Replicator fetches missing changes, and
// Persister saves the Replica to disk. Candidate decides when a pooler may act as the holder of a lease. The order of writes is
// defined by the log, and the values of documents are opaque to this package.
//
// Components of the fleet use Store, View and Leadership and call them on their own goroutines. Replicator, Persister and Candidate
// run goroutines of their own, which end with the context that they were started with.
//
// Invariants:
//   - A version is the log index of a write, so versions are ordered across all documents.
//   - A Replica holds exactly the documents of one version, and its version never decreases.
//   - A Replica is confirmed as of an instant only if the log had no newer version at that instant. A Replica may lag behind the log,
//     but it never differs from the log as of its own version.
//   - A document's value is accepted or refused as a whole.
package replication

import (
	"context"
	"errors"
	"time"

	"threadsail/internal/fleet/lease"
)

// Limits of the documents. Every pooler holds all documents in memory.
const (
	MaxDocumentSize = 64 << 10 // bytes of a document's value
	MaxDocuments    = 1024
	MaxTotalSize    = 4 << 20 // bytes of all keys and values; a pooler has 32 MB and fetches all documents in one message
	maxKeyLength    = 256     // bytes
)

// Errors of Store.Put for a write that was refused. After any other error the write may have been applied, or may be applied later.
var (
	ErrConflict = errors.New("replication: the document has another version")
	ErrFenced   = errors.New("replication: the lease that the write names is no longer held")
	ErrTooLarge = errors.New("replication: the document is too large, or there are too many")
)

// Document is a document. A Document with Version 0 does not exist; a deleted document does not keep its version.
type Document struct {
	Key     string `json:"key"`     // "COMPONENT/NAME"
	Version uint64 `json:"version"` // log index of the last write of the document
	Value   []byte `json:"value"`
}

// Fence makes a write conditional on a lease. The write is refused unless the lease is held with this fencing token when the write is
// applied. The zero Fence is no condition.
type Fence struct {
	Lease lease.Name `json:"duty,omitempty"` // encoded under the earlier name of leases
	Token uint64     `json:"token,omitempty"`
}

// Store reads and writes documents through the leader of the voters. It is safe for concurrent use.
type Store interface {
	// Put writes a document if its current version is expectedVersion; 0 means that the document must not exist. A nil value deletes
	// the document. Put returns the document's new version once a majority of the voters has the write in its log.
	Put(ctx context.Context, key string, expectedVersion uint64, value []byte, fence Fence) (version uint64, err error)
	// Read returns a document by a linearizable read: it reflects every write that completed before the call. It is slower than a View,
	// and fails while no leader can be reached.
	Read(ctx context.Context, key string) (Document, error)
}

// View provides read access to this pooler's replica of the documents. It is safe for concurrent use, and no method blocks.
type View interface {
	// Get returns a document, and whether it exists.
	Get(key string) (Document, bool)
	// List returns the documents whose key has the prefix, sorted by key.
	List(prefix string) []Document
	// Version returns the version of the replica, which is a log index; 0 means that the replica is still empty.
	Version() uint64
	// ConfirmedAt returns the latest instant, on this process's clock, as of which the replica is known to have been current. It returns
	// the zero time until the replica is first confirmed after the start of the process, even if documents were loaded from disk.
	ConfirmedAt() time.Time
	// Changed returns a channel that is closed at the next change of any document. To miss no change, take the channel before reading.
	Changed() <-chan struct{}
}
