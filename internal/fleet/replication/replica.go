package replication

import (
	"sync"
	"time"
)

// Replica is a pooler's copy of the documents. It holds the documents of exactly one version, which never decreases. It is safe for
// concurrent use, and no method blocks.
type Replica struct {
	mu          sync.Mutex // guards the fields below
	snapshot    Snapshot
	installedAt time.Time     // when snapshot was installed; zero if the replica was created with it
	confirmedAt time.Time     // latest instant as of which the replica is known to have been current; zero if there is none
	changed     chan struct{} // closed, and replaced, when a snapshot is installed
}

var _ View = (*Replica)(nil)

// NewReplica returns a replica with an initial snapshot, which was loaded from disk or is empty.
func NewReplica(s Snapshot) *Replica {
	return &Replica{snapshot: s, changed: make(chan struct{})}
}

// Install replaces the documents with those of s if s is newer, and reports whether it is.
func (r *Replica) Install(s Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Version <= r.snapshot.Version {
		return false
	}
	r.snapshot = s
	r.installedAt = time.Now()
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// Confirm records that version was the newest version in the log at the instant asOf. The replica is confirmed as of that instant
// unless its own version is older, in which case any of its documents may differ from the log. ok is false if the replica already had
// a newer version at that instant: then it stems from another log, which was lost, and the current log can't confirm it.
func (r *Replica) Confirm(version uint64, asOf time.Time) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.snapshot.Version && asOf.After(r.installedAt) {
		return false
	}
	if version <= r.snapshot.Version && asOf.After(r.confirmedAt) {
		r.confirmedAt = asOf
	}
	return true
}

// Snapshot returns the replica's current snapshot.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// Get implements View.
func (r *Replica) Get(key string) (Document, bool) {
	document, ok := r.Snapshot().Documents[key]
	return document, ok
}

// List implements View.
func (r *Replica) List(prefix string) []Document { return r.Snapshot().List(prefix) }

// Version implements View.
func (r *Replica) Version() uint64 { return r.Snapshot().Version }

// ConfirmedAt implements View.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// Changed implements View.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}
