package replication

import (
	"sync"
	"time"
)

// announcement says that no version newer than Version was known to a majority of the voters at an instant.
type announcement struct {
	Version             uint64        `json:"version"`
	ConfirmedAtUnixNano int64         `json:"as_of_ns"`        // the instant, on the sender's clock
	Age                 time.Duration `json:"age_ns"`          // from the instant until the sending, on the sender's monotonic clock
	Delta               *Delta        `json:"delta,omitempty"` // what has changed lately; nil if that is too large
}

// ConfirmationTime returns the instant of an announcement on this process's clock: confirmedAtUnixNano is the instant on the sender's
// clock, and age what the sender's monotonic clock counted until it sent the announcement. Of what the two clocks say the older counts.
// All machines read one wall clock, so an announcement that was delayed, or sent by a process that had stalled, is as old as it is;
// and the sender's count keeps a clock here that was set back from making an announcement younger. A clock here that is behind by some
// time can make a delayed announcement too young by that time at most.
func ConfirmationTime(now time.Time, confirmedAtUnixNano int64, age time.Duration) time.Time {
	byWallClock := now.Sub(time.Unix(0, confirmedAtUnixNano))
	return now.Add(-max(byWallClock, age, 0))
}

// announcer makes the announcements of the process whose voter leads. What has changed since the heartbeat before the last goes with
// each, so that a lost datagram is made up for by the next. It is not safe for concurrent use.
type announcer struct {
	interval    time.Duration // between heartbeats
	heartbeatAt time.Time     // the last heartbeat; the zero time: there was none
	last        Snapshot      // at the last heartbeat
	base        Snapshot      // at the heartbeat before the last, from which deltas are made
}

// next returns the announcement of a version that was the newest at an instant. current is the replica's snapshot, which is of the
// log, and may be newer than what is confirmed.
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

// recordHeartbeat makes current the snapshot of the last heartbeat.
func (a *announcer) recordHeartbeat(current Snapshot) {
	a.base = a.last
	if a.heartbeatAt.IsZero() {
		a.base = current
	}
	a.last = current
	a.heartbeatAt = time.Now()
}

// confirmedVersion is a version that was the newest in the log at an instant of this process's clock.
type confirmedVersion struct {
	version     uint64
	at          time.Time
	announcedBy string // the member that announced it; "": this process knows it from the voters
}

// supersedes reports whether v says more than other: it is of a newer version, or of a later instant.
func (v confirmedVersion) supersedes(other confirmedVersion) bool {
	return v.version > other.version || v.version == other.version && v.at.After(other.at)
}

// announcementTracker remembers the newest of the versions that were announced. It is safe for concurrent use.
type announcementTracker struct {
	mu             sync.Mutex // guards the fields below
	newest         confirmedVersion
	lastObservedAt time.Time // when anything was last announced, or the tracker was made
}

// observe records a version that was announced, and returns the newest.
func (t *announcementTracker) observe(v confirmedVersion) confirmedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastObservedAt = time.Now()
	if v.supersedes(t.newest) {
		t.newest = v
	}
	return t.newest
}

// newestVersion returns the newest version that was announced.
func (t *announcementTracker) newestVersion() confirmedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest
}

// silence returns for how long nothing was announced.
func (t *announcementTracker) silence() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastObservedAt)
}
