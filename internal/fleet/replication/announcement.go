package replication

import (
	"sync"
	"time"
)

// announcement is a broadcast message that announces the newest version. At the confirmation time no majority of the voters had a
// newer version.
type announcement struct {
	Version             uint64        `json:"version"`
	ConfirmedAtUnixNano int64         `json:"as_of_ns"`        // confirmation time, on the sender's wall clock
	Age                 time.Duration `json:"age_ns"`          // from the confirmation time until sending, on the sender's monotonic clock
	Delta               *Delta        `json:"delta,omitempty"` // recent changes; nil if there are none or they exceed maxDeltaSize
}

// ConfirmationTime converts an announcement's confirmation time to this process's clock. confirmedAtUnixNano is the confirmation time
// on the sender's wall clock, and age is the time that passed on the sender's monotonic clock until it sent the announcement.
//
// The announcement's age is the larger of age and the difference of the wall clocks. The machines' wall clocks are synchronized, so
// their difference includes delays on the network and stalls of the sender. age is a lower bound that holds even after the wall clock
// of this process was set back. If this process's clock is slow, a delayed announcement appears younger than it is, by that clock error at most.
func ConfirmationTime(now time.Time, confirmedAtUnixNano int64, age time.Duration) time.Time {
	byWallClock := now.Sub(time.Unix(0, confirmedAtUnixNano))
	return now.Add(-max(byWallClock, age, 0))
}

// announcer builds the announcements of the process whose voter is the leader. Each announcement carries the changes since the
// heartbeat before the last one, so that it makes up for one lost datagram. An announcer is not safe for concurrent use.
type announcer struct {
	interval    time.Duration // between heartbeats
	heartbeatAt time.Time     // time of the last heartbeat; zero before the first
	last        Snapshot      // snapshot at the last heartbeat
	base        Snapshot      // snapshot at the heartbeat before the last; base of the deltas
}

// next returns an announcement that version was the newest at confirmedAt. current is the replica's snapshot, which is a state of
// the log and may be newer than version.
func (a *announcer) next(version uint64, confirmedAt time.Time, current Snapshot) announcement {
	next := announcement{Version: version, ConfirmedAtUnixNano: confirmedAt.UnixNano()}
	if !a.heartbeatAt.IsZero() {
		if delta, ok := diffSnapshots(a.base, current); ok {
			next.Delta = &delta
		}
	}
	if time.Since(a.heartbeatAt) >= a.interval {
		a.recordHeartbeat(current)
	}
	next.Age = time.Since(confirmedAt)
	return next
}

// recordHeartbeat records a heartbeat that was sent with the snapshot current.
func (a *announcer) recordHeartbeat(current Snapshot) {
	a.base = a.last
	if a.heartbeatAt.IsZero() {
		a.base = current
	}
	a.last = current
	a.heartbeatAt = time.Now()
}

// confirmedVersion is a version that was the newest in the log as of an instant.
type confirmedVersion struct {
	version     uint64
	asOf        time.Time // instant, on this process's clock
	announcedBy string    // member that announced the version; empty if it was learned from the voters
}

// supersedes reports whether v has a newer version than other, or the same version and a later instant.
func (v confirmedVersion) supersedes(other confirmedVersion) bool {
	return v.version > other.version || v.version == other.version && v.asOf.After(other.asOf)
}

// announcementTracker tracks the newest announced version. It is safe for concurrent use.
type announcementTracker struct {
	mu             sync.Mutex // guards the fields below
	newest         confirmedVersion
	lastObservedAt time.Time // time of the last call of observe, or of the tracker's creation
}

// observe records an announced version, and returns the newest one recorded so far.
func (t *announcementTracker) observe(v confirmedVersion) confirmedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastObservedAt = time.Now()
	if v.supersedes(t.newest) {
		t.newest = v
	}
	return t.newest
}

// newestVersion returns the newest version recorded so far.
func (t *announcementTracker) newestVersion() confirmedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// timeSinceLast returns the time since a version was last announced.
func (t *announcementTracker) timeSinceLast() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastObservedAt)
}
