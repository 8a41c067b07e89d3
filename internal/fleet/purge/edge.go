package purge

import (
	"errors"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

const (
	// maxRememberedPurges is how many purges an edge remembers to have recorded: a year of ten a day.
	maxRememberedPurges = 4096
	// eventLookahead is how far ahead events are loaded, and eventReload how far ahead they must reach.
	eventLookahead    = 48 * time.Hour
	minEventLookahead = 24 * time.Hour
	// maxFireInterval bounds the time until an edge looks for due purges again, as clocks and documents change.
	maxFireInterval = time.Second
)

// Edge is one pooler's decisions about its cache. It is safe for concurrent use, and no method blocks. Its times are Unix times in ns by
// this process's wall clock, unless they are durations.
type Edge struct {
	site      string
	view      replication.View
	onPurge   func(e Event, now int64) // called with each purge that happens here; must not block or call back
	wall      func() int64             // the wall clock
	startedAt time.Time                // origin of the edge's monotonic clock

	mu           sync.Mutex // guards the fields below
	clock        clockComparison
	otherPoolers int // that are taken to be alive
	documents    loadedDocuments
	events       loadedEvents
	recordFrom   int64 // purges before are not this edge's to record
	fired        firedPurges
	lastPurgeAt  map[int]int64 // by cluster: the generation, which only grows
}

// loadedDocuments is what the edge has made of the documents.
type loadedDocuments struct {
	version      uint64                 // of the replica, or an earlier one
	documents    []replication.Document // nil: none were loaded
	timetable    *Timetable             // nil: there is none
	timetableErr error                  // why there is none
}

// loadedEvents is the timetable's events within a span.
type loadedEvents struct {
	events   []Event
	from, to int64
}

// History is what an edge has recorded in earlier processes, by its journal.
type History struct {
	Since int64    // of the oldest record; 0: there is none
	Fired []string // events, by ID
}

// NewEdge returns the edge of a site. onPurge is called for each purge, once over all processes that share the history.
func NewEdge(site string, view replication.View, h History, onPurge func(e Event, now int64)) *Edge {
	e := &Edge{
		site:        site,
		view:        view,
		onPurge:     onPurge,
		wall:        func() int64 { return time.Now().UnixNano() },
		startedAt:   time.Now(),
		recordFrom:  h.Since,
		fired:       newFiredPurges(h.Fired),
		lastPurgeAt: map[int]int64{},
	}
	if e.recordFrom == 0 {
		e.recordFrom = e.wall()
	}
	e.Refresh()
	return e
}

// monotonic is the time on the edge's monotonic clock.
func (e *Edge) monotonic() time.Duration { return time.Since(e.startedAt) }

// Refresh loads the documents that the replica has now. Documents that can't be used leave the edge without a timetable. A change of other
// components' documents costs next to nothing.
func (e *Edge) Refresh() {
	version := e.view.Version() // before the documents are read: they may be newer
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

// updateVersionIfUnchanged reports whether the documents are those that are loaded, and records then that they are of a version.
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

// parseTimetable returns the site's timetable by the documents.
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

// Err returns why the edge has no timetable; nil if it has one.
func (e *Edge) Err() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.documents.timetableErr
}

// addClockSample records a comparison with another pooler's clock that has just ended.
func (e *Edge) addClockSample(r clockSample) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.add(r, e.monotonic())
}

// SetOtherPoolers sets how many other poolers are taken to be alive.
func (e *Edge) SetOtherPoolers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.otherPoolers = n
}

// ClockCompared reports whether the clock was compared with enough others.
func (e *Edge) ClockCompared() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.clock.measurements) >= max(min(minPeers, e.otherPoolers), 1)
}

// ClockAgrees reads the wall clock, and reports whether it is right within a guard.
func (e *Edge) ClockAgrees(guard time.Duration) (now int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now = e.wall()
	return now, e.isClockTrusted(now, guard)
}

// isClockTrusted reports whether the wall clock agrees with most others within half of a guard, by the measurements and by what may have come
// since. The caller holds the mutex.
func (e *Edge) isClockTrusted(now int64, guard time.Duration) bool {
	bound, ok := e.clock.offsetBound(now, e.monotonic(), e.otherPoolers, true)
	return ok && bound <= guard/2
}

// ServableSince reports whether a cached answer for a cluster may be given now, and since when by this clock it must have been requested. All
// due purges are recorded first, so an edge that was stalled or cut off has caught up before its answer. From a guard before a purge until
// a guard and Settle after it, nothing can have been requested late enough: requests go to servers.
func (e *Edge) ServableSince(cluster int) (since int64, why Reason) {
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

// MayStore reports whether an answer that was requested some time ago, and has just arrived, may be stored; requestedAt is when that was,
// by this clock. An answer that was under way across a purge may not.
func (e *Edge) MayStore(cluster int, ago time.Duration) (requestedAt int64, ok bool) {
	since, why := e.ServableSince(cluster)
	requestedAt = e.wall() - int64(ago)
	return requestedAt, why == Allowed && requestedAt >= since
}

// isStale reports whether the documents may have changed unknown to this edge for longer than an order waits. The replica may have been
// brought up to date and confirmed just now, with documents that are not loaded yet, so the confirmation is read first. The caller holds
// the mutex.
func (e *Edge) isStale() bool {
	confirmedAt := e.view.ConfirmedAt() // the zero time is older than any
	return time.Since(confirmedAt) > e.documents.timetable.bounds.MaxReplicaAge || e.view.Version() > e.documents.version
}

// lastPurge is the instant of the last purge of a cluster that may have come by now: by a clock that is ahead by a guard it has. The
// caller holds the mutex.
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

// loadEvents loads the events around now, unless they are loaded. The caller holds the mutex.
func (e *Edge) loadEvents(now int64) {
	if e.events.from <= now-int64(eventRetention) && now <= e.events.to-int64(minEventLookahead) {
		return
	}
	from := now - int64(eventRetention+24*time.Hour)
	to := now + int64(eventLookahead)
	e.events = loadedEvents{events: e.documents.timetable.Between(from, to), from: from, to: to}
}

// FireDue records the purges that are due, and returns when to look again: at the next purge, within maxFireInterval. An edge that is cut
// off goes by its own clock. One whose clock disagrees with others waits until the clock is right, and gives no cached answer meanwhile.
func (e *Edge) FireDue() (again time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	timetable := e.documents.timetable
	if timetable == nil {
		return maxFireInterval
	}
	now := e.wall()
	bound, measured := e.clock.offsetBound(now, e.monotonic(), e.otherPoolers, false)
	clockDisagrees := measured && bound > timetable.bounds.Guard/2
	awaitingComparison := !measured && e.monotonic() < timetable.bounds.MaxReplicaAge // it has just started
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

// fire records each purge up to now that was not recorded, from the edge's beginning on, but no further back than eventRetention. The
// caller holds the mutex.
func (e *Edge) fire(now int64) {
	e.loadEvents(now)
	after := max(e.recordFrom-1, now-int64(eventRetention))
	for _, event := range e.events.events {
		if event.At > after && event.At <= now && e.fired.add(event.ID) {
			e.onPurge(event, now)
		}
	}
}

// firedPurges is the set of purges that were recorded, maxRememberedPurges at most.
type firedPurges struct {
	ids   map[string]bool
	order []string // of ids, the oldest first
}

func newFiredPurges(ids []string) firedPurges {
	f := firedPurges{ids: map[string]bool{}}
	for _, id := range ids {
		f.add(id)
	}
	return f
}

// add adds a purge, and reports whether it was not in the set. The oldest is forgotten where there are too many.
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
