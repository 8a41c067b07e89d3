package shardmap

import (
	"sync"
	"time"
)

// Write is a write that a Router has admitted. The Router's mutex guards its fields.
type Write struct {
	Key           string
	Home          int       // home of the key when the write was admitted
	admittedEpoch uint64    // epoch of the map when the write was admitted
	deadline      time.Time // time by which the write must be answered
	sent          bool      // whether the write has been sent to a server
	abandoned     bool      // if set, the write is not sent again and its answer is not accepted
}

// Router decides, for one process, whether writes may be sent, and tracks the writes in flight. It is safe for concurrent use, and no method
// blocks.
//
// An enrolled process may write to a range that is in no active move for as long as it runs, even if the voters are lost. This is safe
// because a move stays in its first state until every enrolled process has acknowledged it, so a partitioned process can't miss a move.
// From its acknowledgement until the switch or the undoing of the move, the process needs a write lease, which expires without renewal.
type Router struct {
	Name, Instance string        // name of the pooler, and identifier of the process
	Term           time.Duration // duration of a write lease
	MaxClockDrift  time.Duration // maximum difference between two monotonic clocks over a term

	mu              sync.Mutex // guards the fields below
	disabled        disabledRules
	document        Document
	version         uint64 // version of the replica that document was read from
	enrolledVersion uint64 // version of this process's router document; 0: the process is not enrolled
	lastRequestID   uint64
	requestedAt     map[uint64]time.Time // by Request.ID: sending times of the requests whose grants are still accepted
	lastRequest     sentRequest
	writeLeaseEnd   time.Time            // expiry of the write lease
	needsWriteLease map[string]bool      // by name of an active move: whether writes to its range need the write lease
	fenceDeadlines  map[string]time.Time // by name of a fenced move: expiry of the write lease under which the writes in flight were sent
	writes          map[*Write]bool      // admitted writes that have not ended
}

// SetEnrolled records the version at which this process's router document was written.
func (r *Router) SetEnrolled(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enrolledVersion = version
}

// Withdraw ends this process's enrollment. The router admits and sends no writes to mapped ranges from then on.
func (r *Router) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdraw()
}

// withdraw ends the enrollment and abandons all writes, because moves do not wait for this process any more. The caller holds the mutex.
func (r *Router) withdraw() {
	r.enrolledVersion = 0
	for w := range r.writes {
		w.abandoned = true
	}
}

// Apply replaces the map by that of a replica with a version. It does nothing if the version is older than that of the last call. enrolled
// reports whether the pooler's router document in the replica names this process. If it does not, although the replica is at least as new as
// this process's enrollment, then another process has replaced this one or the operators have retired it, and Apply ends the enrollment.
func (r *Router) Apply(d Document, version uint64, enrolled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version {
		return
	}
	if !enrolled && version >= r.enrolledVersion {
		r.withdraw()
	}
	wasEnrolled := r.isEnrolled()
	r.document = d
	r.version = version
	r.updateMoves(wasEnrolled)
}

// updateMoves determines which active moves need the write lease, and until when writes in flight to fenced ranges may be answered. A move
// that begins while the process is enrolled needs no write lease until the process has one, because the move can't leave its first state
// before that. The caller holds the mutex.
func (r *Router) updateMoves(wasEnrolled bool) {
	needsWriteLease := map[string]bool{}
	fenceDeadlines := map[string]time.Time{}
	hasWriteLease := time.Now().Before(r.writeLeaseEnd)
	for _, m := range r.document.Moves {
		if !m.State.beforeSwitch() {
			continue
		}
		beganBefore := m.State != Prepared || !wasEnrolled
		needsWriteLease[m.Name] = r.needsWriteLease[m.Name] || beganBefore || hasWriteLease
		if m.State == Fenced {
			deadline, seen := r.fenceDeadlines[m.Name]
			if !seen {
				deadline = r.writeLeaseEnd
			}
			fenceDeadlines[m.Name] = deadline
		}
	}
	r.needsWriteLease = needsWriteLease
	r.fenceDeadlines = fenceDeadlines
}

// isEnrolled reports whether this process is enrolled and its replica is at least as new as its router document. A process that has started
// from an old replica can't know which moves it has missed until then. Moves that begin after its document was written wait for its
// acknowledgement. The caller holds the mutex.
func (r *Router) isEnrolled() bool {
	if !r.disabled.inForce(ruleEnrolled) {
		return true
	}
	return r.enrolledVersion > 0 && r.version >= r.enrolledVersion
}

// Home returns the home of a key, which is the cluster that the map assigns the key to, and the epoch of the map. ok is false if there is
// no map.
func (r *Router) Home(key string) (cluster int, epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cluster, ok = r.document.Home(key)
	return cluster, r.document.Epoch, ok
}

// BeginWrite admits a write that must be answered by a deadline. If the write may not be sent now, it returns nil and the delay after which
// the client may retry.
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

// retryAfter returns the delay after which a client may retry a rejected write. Without faults, a fence lasts only until all routers have
// applied and acknowledged it, and write leases are requested several times per term.
func (r *Router) retryAfter() time.Duration { return r.Term / requestsPerTerm }

// AuthorizeSend reports whether a write may be sent to its home now, and returns the epoch of the map.
func (r *Router) AuthorizeSend(w *Write) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayWrite(w) {
		return 0, false
	}
	w.sent = true
	return r.document.Epoch, true
}

// mayWrite reports whether a write may be sent now. The process must be enrolled and the home of the write unchanged. If the range of the
// write is in an active move, the process must also be exempt from the move, or the range not be fenced and the process have a write lease.
// The caller holds the mutex.
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
	return !r.disabled.inForce(ruleWriteLease) || time.Now().Before(r.writeLeaseEnd)
}

// isExempt reports whether writes to the range of a move do not need the write lease yet. The caller holds the mutex.
func (r *Router) isExempt(m Move) bool { return m.State == Prepared && !r.needsWriteLease[m.Name] }

// sameHome reports whether a write may still be sent to the home that it was admitted for. Since the write may have been executed there, it
// may be sent to no other home, nor to the same one after the range has been moved away and back. The caller holds the mutex.
func (r *Router) sameHome(w *Write) bool {
	if !r.disabled.inForce(ruleOneHome) {
		return true
	}
	home, ok := r.document.Home(w.Key)
	return ok && home == w.Home && !w.abandoned && !r.document.movedSince(w.Key, w.admittedEpoch)
}

// IsAnswerValid reports whether the answer to a write, which has just arrived, may be passed to the client. If the answer arrives after the
// write lease has expired, the write may have been executed after the last copy of its range, and may be lost; the client must then be
// told that the result is unknown.
func (r *Router) IsAnswerValid(w *Write) bool {
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
	return time.Now().Before(r.writeLeaseEnd)
}

// EndWrite records the final answer to a write. last reports whether it was the last write in flight to a fenced range.
func (r *Router) EndWrite(w *Write) (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.writes, w)
	m, moving := r.document.activeMoveOf(w.Key)
	return moving && m.State == Fenced && !r.hasWritesInFlight(m.Range)
}

// hasWritesInFlight reports whether a write to a range has been sent and has not ended. It removes writes whose deadline has passed, because
// their clients have disconnected. The caller holds the mutex.
func (r *Router) hasWritesInFlight(writeRange Range) bool {
	found := false
	for w := range r.writes {
		switch {
		case !time.Now().Before(w.deadline):
			w.abandoned = true
			delete(r.writes, w)
		case w.sent && writeRange.Contains(w.Key):
			found = true
		}
	}
	return found
}
