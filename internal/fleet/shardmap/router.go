package shardmap

import (
	"sync"
	"time"
)

// Write is a write that a router has admitted. It belongs to the router, which guards its fields by its mutex.
type Write struct {
	Key           string
	Home          int    // the cluster that it was admitted for
	admittedEpoch uint64 // of the map
	deadline      time.Time
	sent          bool
	abandoned     bool // no answer to it counts any more
}

// Router is one process's right to write, and its writes in flight. It is safe for concurrent use, and no method blocks.
//
// A process that has enrolled may write to a range that is in no move for as long as it runs: a move waits in its first state for every
// enrolled process, so no process that is cut off misses one, and the loss of the voters halts nothing. From its acknowledgement until
// the move's end the process needs a right, which ends by itself.
type Router struct {
	Name, Instance string        // the pooler, and the process
	Term           time.Duration // of a right
	MaxClockDrift  time.Duration // the most by which two monotonic clocks differ over a term

	mu              sync.Mutex // guards the fields below
	disabled        disabledRules
	document        Document
	version         uint64 // of the replica that the document is from
	enrolledVersion uint64 // of this process's document; 0: the process has not enrolled
	lastRequestID   uint64
	requestedAt     map[uint64]time.Time // by request: those whose grants are still accepted
	lastRequest     sentRequest
	rightUntil      time.Time
	needsRight      map[string]bool      // by move: this process needs a right for writes to its range
	fenceDeadlines  map[string]time.Time // by fenced move: the end of the right by which the writes in flight were sent
	writes          map[*Write]bool      // in flight
}

// SetEnrolled records that this process's document is in the log at a version.
func (r *Router) SetEnrolled(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enrolledVersion = version
}

// Withdraw ends this process's enrollment: it sends no write any more.
func (r *Router) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdraw()
}

// withdraw ends the enrollment: moves may pass this process by from now on. The caller holds the mutex.
func (r *Router) withdraw() {
	r.enrolledVersion = 0
	for w := range r.writes {
		w.abandoned = true
	}
}

// Apply puts the map of a replica of a version in force. mine reports whether the replica's document of this pooler names this process.
// If not, and if the replica is not older than the process's enrollment, another process has taken its place or the operators have
// retired it.
func (r *Router) Apply(d Document, version uint64, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version {
		return
	}
	if !mine && version >= r.enrolledVersion {
		r.withdraw()
	}
	wasEnrolled := r.isEnrolled()
	r.document = d
	r.version = version
	r.updateMoves(wasEnrolled)
}

// updateMoves decides for which moves this process needs a right, and until when writes in flight to fenced ranges may be answered. A
// move that begins while the process is enrolled needs no right until the process has one: the move can't leave its first state before
// that. The caller holds the mutex.
func (r *Router) updateMoves(wasEnrolled bool) {
	needsRight := map[string]bool{}
	fenceDeadlines := map[string]time.Time{}
	hasRight := time.Now().Before(r.rightUntil)
	for _, m := range r.document.Moves {
		if !m.State.beforeSwitch() {
			continue
		}
		beganBefore := m.State != Prepared || !wasEnrolled
		needsRight[m.Name] = r.needsRight[m.Name] || beganBefore || hasRight
		if m.State == Fenced {
			deadline, seen := r.fenceDeadlines[m.Name]
			if !seen {
				deadline = r.rightUntil
			}
			fenceDeadlines[m.Name] = deadline
		}
	}
	r.needsRight = needsRight
	r.fenceDeadlines = fenceDeadlines
}

// isEnrolled is the rule of enrollment: a process that starts, perhaps from an old replica, can't know which moves it has missed until
// its replica is as new as its own document, which every move that begins later waits for. The caller holds the mutex.
func (r *Router) isEnrolled() bool {
	if !r.disabled.inForce(ruleEnrolled) {
		return true
	}
	return r.enrolledVersion > 0 && r.version >= r.enrolledVersion
}

// Home returns the cluster of a key and the epoch as of which it is that; ok is false if there is no map.
func (r *Router) Home(key string) (cluster int, epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cluster, ok = r.document.Home(key)
	return cluster, r.document.Epoch, ok
}

// BeginWrite admits a write that must be answered by a deadline. It returns nil, and after how long its client may retry, if the write
// may not be sent now.
func (r *Router) BeginWrite(key string, deadline time.Time) (w *Write, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	home, _ := r.document.Home(key)
	w = &Write{Key: key, Home: home, admittedEpoch: r.document.Epoch, deadline: deadline}
	if !r.mayWrite(w) {
		return nil, r.retryAfter()
	}
	if r.writes == nil {
		r.writes = map[*Write]bool{}
	}
	r.writes[w] = true
	return w, 0
}

// retryAfter is when a client may retry: a fence without faults lasts as long as all routers take to see it, and a right is requested
// several times a term.
func (r *Router) retryAfter() time.Duration { return r.Term / requestsPerTerm }

// AuthorizeSend reports whether a write may be sent to its home now, and as of which epoch.
func (r *Router) AuthorizeSend(w *Write) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayWrite(w) {
		return 0, false
	}
	w.sent = true
	return r.document.Epoch, true
}

// mayWrite is the rule of writing. The caller holds the mutex.
func (r *Router) mayWrite(w *Write) bool {
	if !r.isEnrolled() || !r.sameHome(w) {
		return false
	}
	m, moving := r.document.activeMoveOf(w.Key)
	switch {
	case !moving || r.isExempt(m):
		return true
	case m.State == Fenced && r.disabled.inForce(ruleFence):
		return false
	}
	return !r.disabled.inForce(ruleRight) || time.Now().Before(r.rightUntil)
}

// isExempt reports whether this process needs no right yet for writes in a move. The caller holds the mutex.
func (r *Router) isExempt(m Move) bool { return m.State == Prepared && !r.needsRight[m.Name] }

// sameHome is the rule of one home: what was admitted for one home, and may have run there, goes to no other, nor to the same once the
// range has been elsewhere. The caller holds the mutex.
func (r *Router) sameHome(w *Write) bool {
	if !r.disabled.inForce(ruleOneHome) {
		return true
	}
	home, ok := r.document.Home(w.Key)
	return ok && home == w.Home && !w.abandoned && !r.document.movedSince(w.Key, w.admittedEpoch)
}

// AnswerCounts reports whether the answer to a write, which has arrived now, is to be believed. If it arrives after the right has ended,
// the write may have run after the last copy of its range was made: nobody knows, and the client must learn that.
func (r *Router) AnswerCounts(w *Write) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.disabled.inForce(ruleLateAnswer) {
		return true
	}
	m, moving := r.document.activeMoveOf(w.Key)
	switch {
	case !r.sameHome(w) || !r.isEnrolled():
		return false
	case !moving || r.isExempt(m):
		return true
	case m.State == Fenced:
		return time.Now().Before(r.fenceDeadlines[m.Name])
	}
	return time.Now().Before(r.rightUntil)
}

// EndWrite records the final answer to a write. last reports whether it was the last write in flight to a fenced range.
func (r *Router) EndWrite(w *Write) (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.writes, w)
	m, moving := r.document.activeMoveOf(w.Key)
	return moving && m.State == Fenced && !r.hasWritesInFlight(m.Range)
}

// hasWritesInFlight reports whether a write to a range has been sent and not ended. It drops writes whose deadline has passed, as their
// clients have gone. The caller holds the mutex.
func (r *Router) hasWritesInFlight(in Range) bool {
	found := false
	for w := range r.writes {
		switch {
		case !time.Now().Before(w.deadline):
			w.abandoned = true
			delete(r.writes, w)
		case w.sent && in.Contains(w.Key):
			found = true
		}
	}
	return found
}
