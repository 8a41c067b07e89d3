package replication

import (
	"context"
	"sync"
	"time"
)

const (
	// saveRetryInterval is how long after a write that failed the copy is written again: a disk that is full may have room later.
	saveRetryInterval = time.Second
	// confirmationSaveInterval is how often a copy that has not changed is written for its age alone.
	confirmationSaveInterval = time.Minute
)

// Persister keeps a pooler's copy on its disk, the newest one, on a goroutine of its own: a disk that is slow or full delays and
// harms nothing else. It is safe for use by several goroutines.
type Persister struct {
	dir     string
	replica *Replica

	mu           sync.Mutex
	savedVersion uint64 // on the disk
	saveErr      error
}

// StartPersister begins with what the folder holds, and writes the copy there until ctx ends. told hears when the copy can't be written,
// with the error, and when it can again, with nil.
func StartPersister(ctx context.Context, dir string, c *Replica, told func(error)) *Persister {
	k := &Persister{dir: dir, replica: c, savedVersion: c.Version()}
	go k.run(ctx, told)
	return k
}

// Saved is the version on the disk, and why no newer one can be written; nil: nothing hinders it.
func (k *Persister) Saved() (version uint64, failing error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.savedVersion, k.saveErr
}

func (k *Persister) run(ctx context.Context, told func(error)) {
	aged := time.Now()
	for {
		changed := k.replica.Changed()
		state, confirmed := k.replica.Snapshot(), k.replica.ConfirmedAt()
		version, failing := k.Saved()
		wait := confirmationSaveInterval
		if state.Version > version || time.Since(aged) >= confirmationSaveInterval && confirmed.After(aged) {
			aged = time.Now()
			err := SaveSnapshot(k.dir, state, confirmed)
			k.mu.Lock()
			if k.saveErr = err; err == nil {
				k.savedVersion = state.Version
			}
			k.mu.Unlock()
			if (err != nil) != (failing != nil) {
				told(err)
			}
			failing = err
		}
		if failing != nil {
			changed, wait = nil, saveRetryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}
