package replication

import (
	"sync"
	"time"
)

// Replica is a pooler's copy of the documents. It is safe for use by several goroutines. What holds: its documents are those of one
// version, and the version never falls.
type Replica struct {
	mu          sync.Mutex
	snapshot    Snapshot
	installedAt time.Time // when state came; the zero time: it was begun with
	confirmedAt time.Time
	changed     chan struct{}
}

var _ View = (*Replica)(nil)

// NewReplica is a copy that begins with what is known already: of the disk, or nothing.
func NewReplica(s Snapshot) *Replica { return &Replica{snapshot: s, changed: make(chan struct{})} }

// Install puts documents in force if they are newer than those here, and tells whether they were.
func (c *Replica) Install(s Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version <= c.snapshot.Version {
		return false
	}
	c.snapshot, c.installedAt = s, time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Confirm takes in that at a time nothing newer than a version was in the log. It confirms the copy only if that is what the
// copy holds: one that is behind may hold anything. ok false: the copy held a newer version before that time already, so it is of
// another log, which has been lost; nothing that is said of this one confirms it.
func (c *Replica) Confirm(version uint64, at time.Time) (ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.snapshot.Version && at.After(c.installedAt) {
		return false
	}
	if version <= c.snapshot.Version && at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
	return true
}

// Snapshot is all that the copy holds, of one version.
func (c *Replica) Snapshot() Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

// Get is documented with View.
func (c *Replica) Get(key string) (Document, bool) {
	d, ok := c.Snapshot().Documents[key]
	return d, ok
}

// List is documented with View.
func (c *Replica) List(prefix string) []Document { return c.Snapshot().List(prefix) }

// Version is documented with View.
func (c *Replica) Version() uint64 { return c.Snapshot().Version }

// ConfirmedAt is documented with View.
func (c *Replica) ConfirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// Changed is documented with View.
func (c *Replica) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
