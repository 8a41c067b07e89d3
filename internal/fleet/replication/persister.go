package replication

import (
	"context"
	"sync"
	"time"
)

const (
	// saveRetryInterval is the delay before a failed save is retried. A full disk may have free space again later.
	saveRetryInterval = time.Second
	// confirmationSaveInterval is the minimum time between saves of a replica that was confirmed again but has not changed.
	confirmationSaveInterval = time.Minute
)

// Persister saves a replica's newest snapshot to disk, on a goroutine of its own so that a slow or full disk does not block the
// replica's users. It is safe for concurrent use.
type Persister struct {
	dir     string
	replica *Replica
	// onChange is called with the error when saves start to fail, and with nil when they succeed again.
	onChange func(error)

	mu           sync.Mutex // guards the fields below
	savedVersion uint64     // version on disk
	saveErr      error      // error of the last save
}

// StartPersister starts a Persister, which saves the replica into a directory until ctx ends. The directory must contain the snapshot
// that the replica was created with. onChange is called on the persister's goroutine, with the error when saves start to fail and with
// nil when they succeed again.
func StartPersister(ctx context.Context, dir string, r *Replica, onChange func(error)) *Persister {
	p := &Persister{dir: dir, replica: r, onChange: onChange, savedVersion: r.Version()}
	go p.run(ctx) // ends with ctx
	return p
}

// Saved returns the version on disk, and the error of the last save or nil if it succeeded.
func (p *Persister) Saved() (version uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.savedVersion, p.saveErr
}

// run saves the replica after each change and at intervals while it is confirmed, and retries failed saves, until ctx ends.
func (p *Persister) run(ctx context.Context) {
	lastSaveAt := time.Now()
	for {
		changed := p.replica.Changed()
		if p.mustSave(lastSaveAt) {
			lastSaveAt = time.Now()
			p.save()
		}
		wait := confirmationSaveInterval
		if _, err := p.Saved(); err != nil {
			changed = nil // retry at intervals only, however often the replica changes
			wait = saveRetryInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// mustSave reports whether the replica has a version that is not on disk yet, or a confirmation that is due to be saved.
func (p *Persister) mustSave(lastSaveAt time.Time) bool {
	savedVersion, _ := p.Saved()
	confirmationDue := time.Since(lastSaveAt) >= confirmationSaveInterval && p.replica.ConfirmedAt().After(lastSaveAt)
	return p.replica.Version() > savedVersion || confirmationDue
}

// save saves the replica's snapshot, and calls onChange if the save failed and the previous one succeeded, or vice versa.
func (p *Persister) save() {
	snapshot := p.replica.Snapshot()
	err := SaveSnapshot(p.dir, snapshot, p.replica.ConfirmedAt())
	p.mu.Lock()
	failedBefore := p.saveErr != nil
	p.saveErr = err
	if err == nil {
		p.savedVersion = snapshot.Version
	}
	p.mu.Unlock()
	if (err != nil) != failedBefore {
		p.onChange(err)
	}
}
