package replication

import (
	"sync"
	"time"
)

// Replica is a pooler's copy of the documents. It is safe for concurrent use, and no method blocks. Its documents are those of one
// version, and its version never falls.
type Replica struct {
	mu          sync.Mutex // guards the fields below
	snapshot    Snapshot
	installedAt time.Time     // when snapshot was installed; the zero time: the replica began with it
	confirmedAt time.Time     // as of when the replica was last known to be current; the zero time: never
	changed     chan struct{} // closed, and replaced, when a snapshot is installed
}

var _ View = (*Replica)(nil)

// NewReplica returns a replica that begins with the snapshot that was loaded from disk, or with an empty one.
func NewReplica(s Snapshot) *Replica {
	return &Replica{snapshot: s, changed: make(chan struct{})}
}

// Install replaces the documents if those of s are newer, and reports whether they were.
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

// Confirm records that the newest version in the log at an instant was version. The replica is confirmed as of that instant only if
// it had that version: a replica that lags may differ from the log in any document. ok is false if the replica had a newer version
// before that instant: the replica is then of another log, which was lost, and nothing that is said of this log confirms it.
func (r *Replica) Confirm(version uint64, at time.Time) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.snapshot.Version && at.After(r.installedAt) {
		return false
	}
	if version <= r.snapshot.Version && at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	return true
}

// Snapshot returns the documents of the replica, all of one version.
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
