package purge

import (
	"errors"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

const (
	// maxRememberedPurges is the number of recorded purges that an edge remembers: a year with ten purges a day.
	maxRememberedPurges = 4096
	// eventLookahead is how far ahead of the clock events are loaded. They are loaded again when less than minEventLookahead is left.
	eventLookahead    = 48 * time.Hour
	minEventLookahead = 24 * time.Hour
	// maxFireInterval is the longest interval between checks for due purges, since clocks and documents may change.
	maxFireInterval = time.Second
)

// Edge decides for one pooler whether cached answers may be served and stored, and which purges to record. It is safe for concurrent use,
// and no method blocks. All instants are Unix times in ns on this process's wall clock.
type Edge struct {
	site      string
	view      replication.View
	onPurge   func(e Event, now int64) // called for each purge to record, with the mutex held; must not block or call the edge
	wall      func() int64             // reads the wall clock
	startedAt time.Time                // origin of the edge's monotonic clock

	mu           sync.Mutex // guards the fields below
	clock        clockComparison
	otherPoolers int // number of other poolers that are considered alive
	documents    loadedDocuments
	events       loadedEvents
	recordFrom   int64 // instant of the earliest purge that this edge records
	fired        firedPurges
	lastPurgeAt  map[int]int64 // by cluster; never decreases, so a purge stays effective after its event is removed
}

// loadedDocuments holds the documents that the edge has read, and the timetable built from them.
type loadedDocuments struct {
	version      uint64                 // replica version at which the documents were read, or an earlier one
	documents    []replication.Document // nil if none have been loaded
	timetable    *Timetable             // nil if it could not be built
	timetableErr error                  // error that prevented building the timetable
}

// loadedEvents holds the timetable's events after from and up to to.
type loadedEvents struct {
	events   []Event
	from, to int64
}

// History holds the purges that earlier processes of an edge recorded in the audit journal.
type History struct {
	Since int64    // time of the oldest record, Unix ns; 0 if there is none
	Fired []string // IDs of the recorded events
}

// NewEdge returns the edge of a pooler at a site. The edge calls onPurge once for each purge that is not in the history.
func NewEdge(site string, view replication.View, history History, onPurge func(e Event, now int64)) *Edge {
	e := &Edge{
		site:        site,
		view:        view,
		onPurge:     onPurge,
		wall:        func() int64 { return time.Now().UnixNano() },
		startedAt:   time.Now(),
		recordFrom:  history.Since,
		fired:       newFiredPurges(history.Fired),
		lastPurgeAt: map[int]int64{},
	}
	if e.recordFrom == 0 {
		e.recordFrom = e.wall()
	}
	e.Refresh()
	return e
}

// monotonic returns the time on the edge's monotonic clock.
func (e *Edge) monotonic() time.Duration { return time.Since(e.startedAt) }

// Refresh loads the documents from the replica. If they are unusable, the edge has no timetable and Err returns the reason. If only other
// components' documents have changed, the timetable is not built again.
func (e *Edge) Refresh() {
	version := e.view.Version() // read before the documents, which may then be newer but not older
	documents := e.view.List(keyPrefix)
	if e.updateVersionIfUnchanged(documents, version) {
		return
	}
	timetable, err := e.parseTimetable(documents)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.documents = loadedDocuments{version: version, documents: documents, timetable: timetable, timetableErr: err}
	e.events = loadedEvents{}
}

// updateVersionIfUnchanged reports whether the given documents are those that are already loaded. If so, it sets their version.
func (e *Edge) updateVersionIfUnchanged(documents []replication.Document, version uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sameDocument := func(a, b replication.Document) bool { return a.Key == b.Key && a.Version == b.Version }
	if e.documents.documents == nil || !slices.EqualFunc(e.documents.documents, documents, sameDocument) {
		return false
	}
	e.documents.version = version
	return true
}

// parseTimetable builds the site's timetable from the documents.
func (e *Edge) parseTimetable(documents []replication.Document) (*Timetable, error) {
	plan, orders, err := parseDocuments(documents)
	if err != nil {
		return nil, err
	}
	if plan == nil {
		return nil, errors.New("purge: the fleet has no plan")
	}
	return newTimetable(e.site, plan, orders)
}

// Err returns the error because of which the edge has no timetable, or nil if it has one.
func (e *Edge) Err() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.documents.timetableErr
}

// addClockSample records a comparison with another pooler's clock whose answer has just been received.
func (e *Edge) addClockSample(r clockSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.add(r, e.monotonic())
}

// SetOtherPoolers sets the number of other poolers that are considered alive.
func (e *Edge) SetOtherPoolers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.otherPoolers = n
}

// ClockCompared reports whether the clock has been compared with enough other clocks.
func (e *Edge) ClockCompared() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.clock.measurements) >= max(min(minPeers, e.otherPoolers), 1)
}

// ClockAgrees returns the time of the wall clock, and reports whether it agrees with a majority of the other clocks within half of guard.
func (e *Edge) ClockAgrees(guard time.Duration) (now int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now = e.wall()
	return now, e.isClockTrusted(now, guard)
}

// isClockTrusted reports whether the wall clock agrees with a majority of the other clocks within half of guard, allowing for drift since
// the measurements. The caller holds the mutex.
func (e *Edge) isClockTrusted(now int64, guard time.Duration) bool {
	bound, ok := e.clock.offsetBound(now, e.monotonic(), e.otherPoolers, true)
	return ok && bound <= guard/2
}

// ServableSince reports whether cached answers for a cluster may be served now, and returns the earliest time on this clock at which they
// must have been requested. It first records all due purges, so an edge that was stalled or partitioned catches up before it serves an
// answer. From Guard before a purge until Guard plus Settle after it, that time is in the future, so all requests go to servers.
func (e *Edge) ServableSince(cluster int) (since int64, reason Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.wall()
	timetable := e.documents.timetable
	switch {
	case timetable == nil || now < timetable.knownFrom || now >= timetable.validUntil:
		return 0, NoPlan
	case !e.isClockTrusted(now, timetable.bounds.Guard):
		return 0, ClockUntrusted
	case e.isStale():
		return 0, ReplicaStale
	}
	e.fire(now)
	e.lastPurgeAt[cluster] = max(e.lastPurgeAt[cluster], e.lastPurge(now, cluster))
	return e.lastPurgeAt[cluster] + int64(timetable.bounds.Guard+timetable.bounds.Settle), Allowed
}

// MayStore reports whether an answer that has just arrived may be stored, given the age of its request. requestedAt is the time of the
// request on this clock. An answer to a request that was in flight during a purge must not be stored.
func (e *Edge) MayStore(cluster int, age time.Duration) (requestedAt int64, ok bool) {
	since, reason := e.ServableSince(cluster)
	requestedAt = e.wall() - int64(age)
	return requestedAt, reason == Allowed && requestedAt >= since
}

// isStale reports whether the replica was last confirmed more than MaxReplicaAge ago, or holds documents that are not loaded yet. The time
// of the confirmation is read before the version: the replica may be updated and confirmed in between, and the version then shows it. The
// caller holds the mutex.
func (e *Edge) isStale() bool {
	confirmedAt := e.view.ConfirmedAt() // the zero time if never confirmed, which counts as stale
	return time.Since(confirmedAt) > e.documents.timetable.bounds.MaxReplicaAge || e.view.Version() > e.documents.version
}

// lastPurge returns the instant of the last purge of a cluster that may have passed in true time: this clock may be slow by Guard. It
// returns 0 if there is none. The caller holds the mutex.
func (e *Edge) lastPurge(now int64, cluster int) int64 {
	e.loadEvents(now)
	for _, event := range slices.Backward(e.events.events) {
		mayBePast := event.At <= now+int64(e.documents.timetable.bounds.Guard)
		if mayBePast && (event.Cluster == AllClusters || event.Cluster == cluster) {
			return event.At
		}
	}
	return 0
}

// loadEvents loads the events around now, unless the loaded ones suffice. The caller holds the mutex.
func (e *Edge) loadEvents(now int64) {
	if e.events.from <= now-int64(eventRetention) && now <= e.events.to-int64(minEventLookahead) {
		return
	}
	from := now - int64(eventRetention+24*time.Hour)
	to := now + int64(eventLookahead)
	e.events = loadedEvents{events: e.documents.timetable.Between(from, to), from: from, to: to}
}

// FireDue records the purges that are due, and returns the time until it must be called again: the time until the next purge, but at most
// maxFireInterval. An edge that can't reach the other poolers uses its own clock. If its clock disagrees with the others, FireDue records
// nothing until it agrees again; the edge serves no cached answers meanwhile.
func (e *Edge) FireDue() (wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	timetable := e.documents.timetable
	if timetable == nil {
		return maxFireInterval
	}
	now := e.wall()
	bound, measured := e.clock.offsetBound(now, e.monotonic(), e.otherPoolers, false)
	clockDisagrees := measured && bound > timetable.bounds.Guard/2
	awaitingComparison := !measured && e.monotonic() < timetable.bounds.MaxReplicaAge // the first comparisons may still be in progress
	if clockDisagrees || awaitingComparison {
		return maxFireInterval
	}
	e.fire(now)
	for _, event := range e.events.events {
		if event.At > now {
			return min(maxFireInterval, time.Duration(event.At-now))
		}
	}
	return maxFireInterval
}

// fire calls onPurge for each purge up to now that has not been recorded. It ignores purges before recordFrom and those older than
// eventRetention. The caller holds the mutex.
func (e *Edge) fire(now int64) {
	e.loadEvents(now)
	after := max(e.recordFrom-1, now-int64(eventRetention))
	for _, event := range e.events.events {
		if event.At > after && event.At <= now && e.fired.add(event.ID) {
			e.onPurge(event, now)
		}
	}
}

// firedPurges is a set of the last recorded purges, with at most maxRememberedPurges elements.
type firedPurges struct {
	ids   map[string]bool
	order []string // IDs, the oldest first
}

func newFiredPurges(ids []string) firedPurges {
	f := firedPurges{ids: map[string]bool{}}
	for _, id := range ids {
		f.add(id)
	}
	return f
}

// add adds a purge, and reports whether it was not in the set yet. It removes the oldest purge if the set is full.
func (f *firedPurges) add(id string) bool {
	if f.ids[id] {
		return false
	}
	f.ids[id] = true
	f.order = append(f.order, id)
	if len(f.order) > maxRememberedPurges {
		delete(f.ids, f.order[0])
		f.order = f.order[1:]
	}
	return true
}
