package replication

import (
	"context"
	"sync"
	"time"
)

const (
	// saveRetryInterval is how long after a failed save the replica is saved again: a disk that is full may have room later.
	saveRetryInterval = time.Second
	// confirmationSaveInterval is how often a replica that has not changed is saved only because it was confirmed anew.
	confirmationSaveInterval = time.Minute
)

// Persister keeps the newest snapshot of a replica on disk, on a goroutine of its own, so that a slow or full disk delays nothing
// else. It is safe for concurrent use.
type Persister struct {
	dir     string
	replica *Replica
	// onChange hears when saving begins to fail, with the error, and when it succeeds again, with nil.
	onChange func(error)

	mu           sync.Mutex // guards the fields below
	savedVersion uint64
	saveErr      error // of the last save
}

// StartPersister saves a replica into a directory until ctx ends. The directory must hold what the replica began with. onChange is
// called on the persister's goroutine, when saving begins to fail, with the error, and when it succeeds again, with nil.
func StartPersister(ctx context.Context, dir string, r *Replica, onChange func(error)) *Persister {
	p := &Persister{dir: dir, replica: r, onChange: onChange, savedVersion: r.Version()}
	go p.run(ctx) // ends with ctx
	return p
}

// Saved returns the version on disk, and why a newer one can't be saved; nil means that nothing prevents it.
func (p *Persister) Saved() (version uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.savedVersion, p.saveErr
}

// run saves the replica when it changes, when its confirmation on disk has grown old, and again after a failure.
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
			changed = nil // a change does not make the disk writable
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

// mustSave reports whether the disk lacks the replica's version, or a confirmation that is due to be saved.
func (p *Persister) mustSave(lastSaveAt time.Time) bool {
	savedVersion, _ := p.Saved()
	confirmationDue := time.Since(lastSaveAt) >= confirmationSaveInterval && p.replica.ConfirmedAt().After(lastSaveAt)
	return p.replica.Version() > savedVersion || confirmationDue
}

// save writes the replica's snapshot, and calls onChange where the outcome differs from that of the save before.
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
