package distribution

import (
	"context"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// publishedResource is a Resource as a distributor publishes it: a delta or snapshot is encoded once for all streams that need the same
// one. It is safe for use by several goroutines.
type publishedResource struct {
	Resource

	mu            sync.Mutex // guards the fields below
	history       replication.History
	deltaFrames   map[uint64][]byte // to the newest version, by the version that they begin at
	snapshotFrame []byte            // of the newest version; nil: not needed yet
}

func newPublishedResource(resource Resource) *publishedResource {
	published := &publishedResource{Resource: resource, history: replication.History{FullReplacement: resource.FullReplacement}}
	published.record()
	return published
}

// follow records each version of the replica, and calls onChange after it, until ctx ends.
func (p *publishedResource) follow(ctx context.Context, onChange func()) {
	for {
		changed := p.Replica.Changed()
		p.record()
		onChange()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// record takes the replica's snapshot into the history, if it is newer.
func (p *publishedResource) record() {
	snapshot := p.Replica.Snapshot()
	p.mu.Lock()
	defer p.mu.Unlock()
	if snapshot.Version <= p.history.Version() {
		return
	}
	p.history.Record(snapshot)
	p.deltaFrames = map[uint64][]byte{}
	p.snapshotFrame = nil
}

// publishedUpdate is the frame that brings a replica to a version.
type publishedUpdate struct {
	frame   []byte // nil: there is nothing newer
	version uint64 // the newest
}

// isSnapshot reports whether the update is a snapshot.
func (u publishedUpdate) isSnapshot() bool { return kindOfFrame(u.frame) == kindSnapshot }

// updateSince returns what a replica of a version lacks: a delta where the history reaches back to it, and else a snapshot.
func (p *publishedResource) updateSince(version uint64) publishedUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.history.Version()
	if version >= newest {
		return publishedUpdate{version: newest}
	}
	if frame := p.deltaFrames[version]; frame != nil {
		return publishedUpdate{frame, newest}
	}
	if delta, ok := p.history.DeltaSince(version); ok {
		frame := p.encode(kindDelta, delta)
		p.deltaFrames[version] = frame
		return publishedUpdate{frame, newest}
	}
	if p.snapshotFrame == nil {
		p.snapshotFrame = p.encode(kindSnapshot, p.history.Snapshot())
	}
	return publishedUpdate{p.snapshotFrame, newest}
}

// encode returns the frame of an update, with the resource's name before its JSON.
func (p *publishedResource) encode(kind frameKind, update any) []byte {
	return encodeFrame(kind, prependNames(mustMarshal(update), p.Name))
}

// announcement returns as of when no version newer than the replica's was known. The version is read after that time.
func (p *publishedResource) announcement(now time.Time) resourceAnnouncement {
	confirmedAt := p.Replica.ConfirmedAt()
	a := resourceAnnouncement{Resource: p.Name, Version: p.Replica.Version()}
	if !confirmedAt.IsZero() {
		a.ConfirmedAtUnixNano = confirmedAt.UnixNano()
		a.Age = now.Sub(confirmedAt)
	}
	return a
}
