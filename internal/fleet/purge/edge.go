// Package purge empties caches at the local close of business, at every edge (pooler) of a site at the same instant, and by
// hand. It decides what purges there are (Timetable, from the fleet's documents), whether an edge may answer from its cache now
// and since when an answer must have been asked for (Edge.Current), and which purges an edge still has to note (each once).
//
// What holds. Let a clock be right that is within Bounds.Guard of true time, and let an edge's clock be right if it agrees with
// most of those that it measured within half of that. Then no edge serves a cached answer, after the instant of a purge of its
// site, that was asked for before that instant: it serves none within a guard of the instant by its own clock, none that was asked for
// earlier than a guard and Settle behind the last purge, and none at all without a copy of the documents that is younger than
// Confirm. Orders and plans take effect late enough for that (Bounds.reach).
//
// It owns no cache: the caller asks Current before each cached answer, Fill before it keeps one, and owes the edge the
// measurements of other clocks and each newer version of the documents. docs/purges.md has the derivation.
package purge

import (
	"errors"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// maxRememberedPurges is how many purges an edge remembers that it has noted: a year of ten a day.
const maxRememberedPurges = 4096

// Edge is one pooler's. It is safe for use by several goroutines and never waits.
type Edge struct {
	site      string
	view      replication.View
	onPurge   func(e Event, now int64) // of a purge that happens here; must not wait or call back
	wall      func() int64             // Unix ns
	startedAt time.Time                // of its monotonic time

	mu           sync.Mutex
	clock        clockComparison
	otherPoolers int // other poolers that are held to be alive
	// The timetable is of a version of the copy, or a later one.
	version      uint64
	documents    []replication.Document
	timetable    *Timetable
	timetableErr error
	events       []Event // of the table, within span
	eventSpan    [2]int64
	firstPurgeAt int64 // purges before it are none of this edge's
	fired        map[string]bool
	firedOrder   []string      // of fired, the oldest first
	lastPurgeAt  map[int]int64 // the generation: the last purge's instant, by cluster; it only grows
}

// History is what an edge has noted in earlier processes, by its journal.
type History struct {
	Since int64 // Unix ns of the oldest record; 0: there is none
	Fired []string
}

// NewEdge is an edge of a site. note is called for each purge, once by all processes that share the history.
func NewEdge(site string, v replication.View, h History, note func(e Event, now int64)) *Edge {
	e := &Edge{site: site, view: v, onPurge: note, wall: func() int64 { return time.Now().UnixNano() }, startedAt: time.Now(),
		fired: map[string]bool{}, lastPurgeAt: map[int]int64{}}
	e.firstPurgeAt = h.Since
	if e.firstPurgeAt == 0 {
		e.firstPurgeAt = e.wall()
	}
	for _, id := range h.Fired {
		e.remember(id)
	}
	e.Refresh()
	return e
}

// Refresh takes in the documents as the copy now has them. Documents that can't be used leave the edge without a timetable; a change of
// other parts' documents costs next to nothing.
func (e *Edge) Refresh() {
	version := e.view.Version() // of the copy, before it is read: it may be newer then
	docs := e.view.List(keyPrefix)
	e.mu.Lock()
	same := e.documents != nil && slices.EqualFunc(e.documents, docs, func(a, b replication.Document) bool { return a.Key == b.Key && a.Version == b.Version })
	if same {
		e.version = version
	}
	e.mu.Unlock()
	if same {
		return
	}
	plan, orders, err := parseDocuments(docs)
	var t *Timetable
	switch {
	case err != nil:
	case plan == nil:
		err = errors.New("purge: the fleet has no plan")
	default:
		t, err = newTimetable(e.site, plan, orders)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.documents, e.timetable, e.timetableErr, e.eventSpan = version, docs, t, err, [2]int64{}
}

// Err is what keeps the edge from having a timetable; nil: it has one.
func (e *Edge) Err() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timetableErr
}

// AddClockReading takes in a reading of another pooler's clock, as in clock.measured.
func (e *Edge) AddClockReading(peer string, asked, got, sent, heard int64, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clock.add(peer, asked, got, sent, heard, took, time.Since(e.startedAt))
}

// SetOtherPoolers takes in how many other poolers are alive.
func (e *Edge) SetOtherPoolers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.otherPoolers = n
}

// ClockCompared tells whether the clock was compared with enough others.
func (e *Edge) ClockCompared() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.clock.measurements) >= max(min(minPeers, e.otherPoolers), 1)
}

// Reason is why an edge does not answer from its cache.
type Reason uint8

// The reasons.
const (
	Allowed        Reason = iota // it may
	NoPlan                       // no plan is in force here, or the plan's time is over
	ReplicaStale                 // the copy of the documents was not confirmed for too long
	ClockUntrusted               // the clock disagrees with most others, or was not compared with enough
	ReasonCount                  // how many there are
)

func (r Reason) String() string {
	return [...]string{"may", "no plan", "unheard", "clock"}[r]
}

// Current tells whether a cached answer for a cluster may be given now, and since when by this clock it must have been asked for.
// All purges that are due are noted first, so that an edge that was stalled or cut off has caught up before its answer. From a
// guard before a purge until a guard and Settle behind it, nothing can have been asked for late enough: what comes goes to servers.
func (e *Edge) Current(cluster int) (since int64, why Reason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.wall()
	if e.timetable == nil || now < e.timetable.knownFrom || now >= e.timetable.until {
		return 0, NoPlan
	}
	if !e.trustsClock(now) {
		return 0, ClockUntrusted
	}
	if e.stale() {
		return 0, ReplicaStale
	}
	e.fire(now)
	e.lastPurgeAt[cluster] = max(e.lastPurgeAt[cluster], e.lastPurge(now, cluster))
	return e.lastPurgeAt[cluster] + int64(e.timetable.bounds.Guard+e.timetable.bounds.Settle), Allowed
}

// MayStore tells whether an answer that was asked for some time ago, and has just come, may be kept; asked is when that was, by
// this clock. One that was under way across a purge is dropped.
func (e *Edge) MayStore(cluster int, ago time.Duration) (asked int64, ok bool) {
	since, why := e.Current(cluster)
	asked = e.wall() - int64(ago)
	return asked, why == Allowed && asked >= since
}

// ClockAgrees tells whether this clock is right for a guard, and reads it.
func (e *Edge) ClockAgrees(guard time.Duration) (now int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now = e.wall()
	off, ok := e.clock.offsetBound(now, time.Since(e.startedAt), e.otherPoolers, true)
	return now, ok && off <= guard/2
}

// trustsClock tells whether this clock agrees with most others within half a guard, by what was measured and may have come since.
func (e *Edge) trustsClock(now int64) bool {
	off, ok := e.clock.offsetBound(now, time.Since(e.startedAt), e.otherPoolers, true)
	return ok && off <= e.timetable.bounds.Guard/2
}

// stale tells whether the documents may have changed without this edge's knowledge for longer than an order waits. The copy may
// have been brought up to date and confirmed just now, and its documents not be taken in yet: when it was confirmed is read first.
func (e *Edge) stale() bool {
	at := e.view.ConfirmedAt() // the zero time is older than any
	return time.Since(at) > e.timetable.bounds.MaxReplicaAge || e.view.Version() > e.version
}

// lastPurge is the instant of the last purge of a cluster that may have come by now: by a clock that is ahead by a guard it has.
func (e *Edge) lastPurge(now int64, cluster int) int64 {
	e.loadEvents(now)
	for _, ev := range slices.Backward(e.events) {
		if ev.At <= now+int64(e.timetable.bounds.Guard) && (ev.Cluster == AllClusters || ev.Cluster == cluster) {
			return ev.At
		}
	}
	return 0
}

// loadEvents has the events at hand around now.
func (e *Edge) loadEvents(now int64) {
	const ahead, fresh = int64(48 * time.Hour), int64(24 * time.Hour)
	if e.eventSpan[0] <= now-int64(eventRetention) && now <= e.eventSpan[1]-fresh {
		return
	}
	e.eventSpan = [2]int64{now - int64(eventRetention+24*time.Hour), now + ahead}
	e.events = e.timetable.Between(e.eventSpan[0], e.eventSpan[1])
}

// FireDue notes the purges that are due, and tells when to look again: at the next purge, in a second at the latest, as clocks and
// documents change. A cut-off edge goes by its own clock; one whose clock disagrees with others waits until it is mended, and
// serves nothing from its cache meanwhile.
func (e *Edge) FireDue() (again time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	const most = time.Second
	if e.timetable == nil {
		return most
	}
	now := e.wall()
	off, measured := e.clock.offsetBound(now, time.Since(e.startedAt), e.otherPoolers, false)
	switch {
	case measured && off > e.timetable.bounds.Guard/2:
		return most
	case !measured && time.Since(e.startedAt) < e.timetable.bounds.MaxReplicaAge: // it has just started: others may yet be heard
		return most
	}
	e.fire(now)
	for _, ev := range e.events {
		if ev.At > now {
			return min(most, time.Duration(ev.At-now))
		}
	}
	return most
}

// fire notes each purge up to now that was not noted yet, from the edge's beginning on but no further back than is remembered.
func (e *Edge) fire(now int64) {
	e.loadEvents(now)
	for _, ev := range e.events {
		if ev.At > max(e.firstPurgeAt-1, now-int64(eventRetention)) && ev.At <= now && !e.fired[ev.ID] {
			e.remember(ev.ID)
			e.onPurge(ev, now)
		}
	}
}

func (e *Edge) remember(id string) {
	if e.fired[id] {
		return
	}
	e.fired[id] = true
	if e.firedOrder = append(e.firedOrder, id); len(e.firedOrder) > maxRememberedPurges {
		delete(e.fired, e.firedOrder[0])
		e.firedOrder = e.firedOrder[1:]
	}
}
