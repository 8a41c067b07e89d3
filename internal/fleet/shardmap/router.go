package shardmap

import (
	"sync"
	"time"
)

// requestsPerTerm is the part of a right's term after which a router asks again: two answers may be lost before it ends.
const requestsPerTerm = 3

// maxPendingRequests bounds the asks whose answers are waited for.
const maxPendingRequests = 8

// Request is what a router says to the holder while a move is under way: that it wants its right to write anew, and how much it knows.
type Request struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"`
	Instance string `json:"instance"`
	// AcknowledgedEpoch is the epoch that the router keeps to in all it sends, and has kept to in all that is still under way.
	AcknowledgedEpoch uint64 `json:"known"`
}

// Grant is a right to write, for as long as a term from its ask, to a router that has seen its epoch.
type Grant struct {
	ID       uint64 `json:"id"`
	Instance string `json:"instance"`
	Epoch    uint64 `json:"epoch"`
}

// Write is a write that a router has taken in. It is the router's own.
type Write struct {
	Key           string
	Home          int    // the cluster that it came in for
	admittedEpoch uint64 // when it came in
	deadline      time.Time
	sent          bool
	abandoned     bool // nothing more may be said of it
}

// Router is one process's right to write, and what it has under way. It owns its mutex; all of its methods may be called from any
// goroutine and none waits.
//
// A process may write to a range that is in no move for as long as it runs, once it has enrolled: a move waits in its first state
// for every enrolled process, so none that is cut off misses one, and lost stewards halt nothing. From then on, and until the
// move's end, it needs a right, which ends by itself.
type Router struct {
	Name, Instance string
	Term           time.Duration // of a right
	MaxClockDrift  time.Duration // the most by which two monotonic clocks differ over a term

	mu              sync.Mutex
	disabled        disabledRules
	document        Document
	version         uint64 // of the copy that doc is from
	enrolledVersion uint64 // the version of this process's document; 0: it has not enrolled
	lastRequestID   uint64
	requestedAt     map[uint64]time.Time
	lastRequest     sentRequest
	rightUntil      time.Time            // the end of the right
	needsRight      map[string]bool      // moves for which this process needs a right
	fenceDeadlines  map[string]time.Time // of fenced moves: the end of the right that the writes still under way were sent by
	writes          map[*Write]bool
}

// SetEnrolled takes in that this process's document is in the log, at a version.
func (r *Router) SetEnrolled(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enrolledVersion = version
}

// Withdraw ends this process's part: it sends no write any more.
func (r *Router) Withdraw() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withdraw()
}

// withdraw takes back that this process has enrolled: moves may pass it by from now on. The caller holds the mutex.
func (r *Router) withdraw() {
	r.enrolledVersion = 0
	for w := range r.writes {
		w.abandoned = true
	}
}

// Apply takes the map over from a copy of the shared documents as of a version. mine: the copy's document of this pooler names
// this process, or the copy is older than that; if not, another process has taken its place, or the operators have struck it out.
func (r *Router) Apply(d Document, version uint64, mine bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version {
		return
	}
	if !mine && version >= r.enrolledVersion {
		r.withdraw()
	}
	before := r.isEnrolled()
	known := map[string]bool{}
	for _, m := range r.document.Moves {
		known[m.Name] = true
	}
	r.document, r.version = d, version
	armed, fences := map[string]bool{}, map[string]time.Time{}
	for _, m := range d.Moves {
		if !m.State.beforeSwitch() {
			continue
		}
		// A move that begins under this process's eyes needs no right until there is one: it can't leave its first state before.
		late := m.State != Prepared || !before || known[m.Name] && r.needsRight[m.Name]
		armed[m.Name] = r.needsRight[m.Name] || late || time.Now().Before(r.rightUntil)
		if m.State == Fenced {
			if end, seen := r.fenceDeadlines[m.Name]; seen {
				fences[m.Name] = end
			} else {
				fences[m.Name] = r.rightUntil
			}
		}
	}
	r.needsRight, r.fenceDeadlines = armed, fences
}

// isEnrolled is the rule of enrolment: a process that starts, perhaps from an old copy, can't know what moves it has missed
// until its copy is as new as its own document, which every move that begins later waits for. The caller holds the mutex.
func (r *Router) isEnrolled() bool {
	if !r.disabled.inForce(ruleEnrolled) {
		return true
	}
	return r.enrolledVersion > 0 && r.version >= r.enrolledVersion
}

// Home is the cluster of a key, and the epoch as of which it is; ok: there is a map.
func (r *Router) Home(key string) (cluster int, epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cluster, ok = r.document.Home(key)
	return cluster, r.document.Epoch, ok
}

// BeginWrite takes a write in that has until to be answered. nil: it may not be sent now, and its client may come again after a time.
func (r *Router) BeginWrite(key string, until time.Time) (*Write, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	home, _ := r.document.Home(key)
	w := &Write{Key: key, Home: home, admittedEpoch: r.document.Epoch, deadline: until}
	if !r.mayWrite(w) {
		return nil, r.retryAfter()
	}
	if r.writes == nil {
		r.writes = map[*Write]bool{}
	}
	r.writes[w] = true
	return w, 0
}

// retryAfter is when a client may come again: a fence without faults lasts as long as all routers take to see it, and a right is asked
// for three times a term.
func (r *Router) retryAfter() time.Duration { return r.Term / requestsPerTerm }

// AuthorizeSend tells whether a write may be sent to its home right now, and as of which epoch.
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
	case !moving || !r.needsRight[m.Name] && m.State == Prepared:
		return true
	case m.State == Fenced && r.disabled.inForce(ruleFence):
		return false
	}
	return !r.disabled.inForce(ruleRight) || time.Now().Before(r.rightUntil)
}

// sameHome is the rule of one home: what came in for one, and may have run there, goes to no other, nor there again once the
// range has been elsewhere. The caller holds the mutex.
func (r *Router) sameHome(w *Write) bool {
	if !r.disabled.inForce(ruleOneHome) {
		return true
	}
	home, ok := r.document.Home(w.Key)
	return ok && home == w.Home && !w.abandoned && !r.document.movedSince(w.Key, w.admittedEpoch)
}

// AnswerCounts tells whether the answer to a write, which has come now, is to be believed. One that comes after the right has ended may
// be of a write that ran behind the last copy of its range: nobody knows, so the client must be told that.
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
	case !moving || !r.needsRight[m.Name] && m.State == Prepared:
		return true
	case m.State == Fenced:
		return time.Now().Before(r.fenceDeadlines[m.Name])
	}
	return time.Now().Before(r.rightUntil)
}

// EndWrite takes in a write's final answer.
func (r *Router) EndWrite(w *Write) (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.writes, w)
	m, moving := r.document.activeMoveOf(w.Key)
	return moving && m.State == Fenced && !r.hasWritesInFlight(m.Range)
}

// hasWritesInFlight tells whether a write to a range has been sent and not ended. One whose client has gone ends with its time. The caller
// holds the mutex.
func (r *Router) hasWritesInFlight(in Range) (some bool) {
	for w := range r.writes {
		if !time.Now().Before(w.deadline) {
			w.abandoned = true // it is not waited for any more
			delete(r.writes, w)
		} else if w.sent && in.Holds(w.Key) {
			some = true
		}
	}
	return some
}

// acknowledgedEpoch is the epoch that all keeps to that this process sends or has under way. The caller holds the mutex.
func (r *Router) acknowledgedEpoch() uint64 {
	epoch := r.document.Epoch
	for _, m := range r.document.Moves {
		unarmed := m.State == Prepared && !r.needsRight[m.Name]
		unended := m.State == Fenced && r.hasWritesInFlight(m.Range) && r.disabled.inForce(ruleInFlight)
		if unarmed || unended {
			epoch = min(epoch, m.SinceEpoch-1)
		}
	}
	return epoch
}

// sentRequest is what the last ask was made of.
type sentRequest struct {
	sentAt       time.Time
	epoch        uint64
	acknowledged uint64
	coordinator  string
}

// RequestDue tells whether there is something to ask or say: other documents change too, and hundreds of poolers that ask at each change of
// each other's would be a storm.
func (r *Router) RequestDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastRequest
	return last.epoch != r.document.Epoch || last.acknowledged != r.acknowledgedEpoch() || last.coordinator != r.document.Holder || time.Since(last.sentAt) >= r.Term/requestsPerTerm
}

// NextRequest is this process's next word to the holder, and who that is; ok: there is a move under way, so there is one to say.
func (r *Router) NextRequest() (a Request, holder string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasWritesInFlight(Range{}) // forgets what is over
	if !r.isEnrolled() || !r.document.hasActiveMove() {
		return a, "", false
	}
	if r.requestedAt == nil {
		r.requestedAt = map[uint64]time.Time{}
	}
	r.lastRequestID++
	r.lastRequest = sentRequest{sentAt: time.Now(), epoch: r.document.Epoch, acknowledged: r.acknowledgedEpoch(), coordinator: r.document.Holder}
	r.requestedAt[r.lastRequestID] = r.lastRequest.sentAt
	delete(r.requestedAt, r.lastRequestID-maxPendingRequests)
	return Request{ID: r.lastRequestID, Name: r.Name, Instance: r.Instance, AcknowledgedEpoch: r.lastRequest.acknowledged}, r.lastRequest.coordinator, true
}

// ApplyGrant takes the holder's answer in. The right counts from the asking, not the answer, and ends a drift bound early, so that it
// is over when the holder, who counts from later, thinks so; only who has seen the grant's epoch has it. It tells whether this
// process knows more now than it has said.
func (r *Router) ApplyGrant(g Grant) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, ok := r.requestedAt[g.ID]
	if !ok || g.Instance != r.Instance || g.Epoch > r.document.Epoch && r.disabled.inForce(ruleNewestEpoch) {
		return false
	}
	if !r.disabled.inForce(ruleRightFromRequest) {
		from = time.Now()
	}
	if end := from.Add(r.Term - r.MaxClockDrift); end.After(r.rightUntil) {
		r.rightUntil = end
	}
	if !time.Now().Before(r.rightUntil) {
		return false
	}
	for _, m := range r.document.Moves {
		if m.State == Prepared && !r.needsRight[m.Name] {
			r.needsRight[m.Name], news = true, true
		}
	}
	return news
}
