package distribution

import (
	"context"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// publishedResource is a Resource with its history and its encoded updates. Each delta and snapshot is encoded once for all streams that
// need it. It is safe for concurrent use.
type publishedResource struct {
	Resource

	mu            sync.Mutex // guards the fields below
	history       replication.History
	deltaFrames   map[uint64][]byte // deltas to the newest version, by their base version
	snapshotFrame []byte            // snapshot of the newest version; nil if not encoded yet
}

func newPublishedResource(resource Resource) *publishedResource {
	published := &publishedResource{Resource: resource, history: replication.History{FullReplacement: resource.FullReplacement}}
	published.record()
	return published
}

// follow records each new version of the replica and then calls onChange, until ctx ends.
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

// record adds the replica's snapshot to the history if it is newer, and discards the encoded updates then.
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

// publishedUpdate is an encoded update to the newest version of a resource.
type publishedUpdate struct {
	frame   []byte // nil if the replica is up to date
	version uint64 // newest version
}

// isSnapshot reports whether the update is a snapshot.
func (u publishedUpdate) isSnapshot() bool { return kindOfFrame(u.frame) == kindSnapshot }

// updateSince returns the update for a replica at the given version: a delta if the history reaches back to that version, and a snapshot
// otherwise. The frame is nil if the replica is up to date.
func (p *publishedResource) updateSince(version uint64) publishedUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	newestVersion := p.history.Version()
	if version >= newestVersion {
		return publishedUpdate{version: newestVersion}
	}
	if frame := p.deltaFrames[version]; frame != nil {
		return publishedUpdate{frame, newestVersion}
	}
	if delta, ok := p.history.DeltaSince(version); ok {
		frame := p.encode(kindDelta, delta)
		p.deltaFrames[version] = frame
		return publishedUpdate{frame, newestVersion}
	}
	if p.snapshotFrame == nil {
		p.snapshotFrame = p.encode(kindSnapshot, p.history.Snapshot())
	}
	return publishedUpdate{p.snapshotFrame, newestVersion}
}

// encode returns the frame of an update. Its body is the resource's name followed by the update as JSON.
func (p *publishedResource) encode(kind frameKind, update any) []byte {
	return encodeFrame(kind, prependNames(mustMarshal(update), p.Name))
}

// announcement returns the replica's version and the time at which it was confirmed to be the newest. The time is read before the version:
// a version that is installed in between is newer than the one confirmed, so the announcement stays correct.
func (p *publishedResource) announcement(now time.Time) resourceAnnouncement {
	confirmedAt := p.Replica.ConfirmedAt()
	a := resourceAnnouncement{Resource: p.Name, Version: p.Replica.Version()}
	if !confirmedAt.IsZero() {
		a.ConfirmedAtUnixNano = confirmedAt.UnixNano()
		a.Age = now.Sub(confirmedAt)
	}
	return a
}
