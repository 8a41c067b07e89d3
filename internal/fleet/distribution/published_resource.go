package distribution

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// publishedResource is a Feed as a distributor tells it: deltas and wholes are made once for all streams that need the same one. It is safe for
// use by several goroutines.
type publishedResource struct {
	Resource

	mu            sync.Mutex
	history       replication.History
	deltaFrames   map[uint64][]byte // frames to the newest version, by the version that they begin at
	snapshotFrame []byte
}

// follow notes each version of the copy, and tells of it, until ctx ends.
func (f *publishedResource) follow(ctx context.Context, news func()) {
	for {
		changed := f.Replica.Changed()
		f.record()
		news()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (f *publishedResource) record() {
	s := f.Replica.Snapshot()
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.Version > f.history.Version() {
		f.history.Record(s)
		f.deltaFrames, f.snapshotFrame = map[uint64][]byte{}, nil
	}
}

// frameSince is the frame that brings a copy of a version to the newest one; nil: it is not older.
func (f *publishedResource) frameSince(version uint64) (k frameKindID, frame []byte, newest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest = f.history.Version()
	if version >= newest {
		return 0, nil, newest
	}
	if frame := f.deltaFrames[version]; frame != nil {
		return kindDelta, frame, newest
	}
	if d, ok := f.history.DeltaSince(version); ok {
		frame = f.encodeFrame(kindDelta, d)
		f.deltaFrames[version] = frame
		return kindDelta, frame, newest
	}
	if f.snapshotFrame == nil {
		f.snapshotFrame = f.encodeFrame(kindSnapshot, f.history.Snapshot())
	}
	return kindSnapshot, f.snapshotFrame, newest
}

func (f *publishedResource) encodeFrame(k frameKindID, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // documents are bytes
	}
	return encodeFrame(k, prependNames(text, f.Name))
}

// announcement is what confirms the feed's version now. The version is read after the time: as of that time nothing was newer.
func (f *publishedResource) announcement(now time.Time) resourceAnnouncement {
	at := f.Replica.ConfirmedAt()
	w := resourceAnnouncement{Resource: f.Name, Version: f.Replica.Version()}
	if !at.IsZero() {
		w.ConfirmedAtUnixNano, w.Age = at.UnixNano(), now.Sub(at)
	}
	return w
}
