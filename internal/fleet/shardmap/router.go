package shardmap

import (
	"sync"
	"time"
)

// askEvery is the part of a right's term after which a router asks again: two answers may be lost before it ends.
const askEvery = 3

// maxAsked bounds the asks whose answers are waited for.
const maxAsked = 8

// Ask is what a router says to the holder while a move is under way: that it wants its right to write anew, and how much it knows.
type Ask struct {
	ID       uint64 `json:"id"`
	Name     string `json:"name"`
	Instance string `json:"instance"`
	// Known is the epoch that the router keeps to in all it sends, and has kept to in all that is still under way.
	Known uint64 `json:"known"`
}

// Grant is a right to write, for as long as a term from its ask, to a router that has seen its epoch.
type Grant struct {
	ID       uint64 `json:"id"`
	Instance string `json:"instance"`
	Epoch    uint64 `json:"epoch"`
}

// Write is a write that a router has taken in. It is the router's own.
type Write struct {
	Key   string
	Home  int    // the cluster that it came in for
	epoch uint64 // when it came in
	until time.Time
	sent  bool
	lost  bool // nothing more may be said of it
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
	Drift          time.Duration // the most by which two monotonic clocks differ over a term

	mu       sync.Mutex
	out      without
	doc      Document
	version  uint64 // of the copy that doc is from
	enrolled uint64 // the version of this process's document; 0: it has not enrolled
	lastID   uint64
	asked    map[uint64]time.Time
	said     said
	until    time.Time            // the end of the right
	armed    map[string]bool      // moves for which this process needs a right
	fences   map[string]time.Time // of fenced moves: the end of the right that the writes still under way were sent by
	writes   map[*Write]bool
}

// Enrolled takes in that this process's document is in the log, at a version.
func (r *Router) Enrolled(version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enrolled = version
}

// Leave ends this process's part: it sends no write any more.
func (r *Router) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leave()
}

// leave takes back that this process has enrolled: moves may pass it by from now on. The caller holds the mutex.
func (r *Router) leave() {
	r.enrolled = 0
	for w := range r.writes {
		w.lost = true
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
	if !mine && version >= r.enrolled {
		r.leave()
	}
	before := r.mayWriteAnything()
	known := map[string]bool{}
	for _, m := range r.doc.Moves {
		known[m.Name] = true
	}
	r.doc, r.version = d, version
	armed, fences := map[string]bool{}, map[string]time.Time{}
	for _, m := range d.Moves {
		if !m.State.beforeSwitch() {
			continue
		}
		// A move that begins under this process's eyes needs no right until there is one: it can't leave its first state before.
		late := m.State != Prepared || !before || known[m.Name] && r.armed[m.Name]
		armed[m.Name] = r.armed[m.Name] || late || time.Now().Before(r.until)
		if m.State == Fenced {
			if end, seen := r.fences[m.Name]; seen {
				fences[m.Name] = end
			} else {
				fences[m.Name] = r.until
			}
		}
	}
	r.armed, r.fences = armed, fences
}

// mayWriteAnything is the rule of enrolment: a process that starts, perhaps from an old copy, can't know what moves it has missed
// until its copy is as new as its own document, which every move that begins later waits for. The caller holds the mutex.
func (r *Router) mayWriteAnything() bool {
	if !r.out.holds(ruleEnrolled) {
		return true
	}
	return r.enrolled > 0 && r.version >= r.enrolled
}

// Home is the cluster of a key, and the epoch as of which it is; ok: there is a map.
func (r *Router) Home(key string) (cluster int, epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cluster, ok = r.doc.Home(key)
	return cluster, r.doc.Epoch, ok
}

// Begin takes a write in that has until to be answered. nil: it may not be sent now, and its client may come again after a time.
func (r *Router) Begin(key string, until time.Time) (*Write, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	home, _ := r.doc.Home(key)
	w := &Write{Key: key, Home: home, epoch: r.doc.Epoch, until: until}
	if !r.mayWrite(w) {
		return nil, r.again()
	}
	if r.writes == nil {
		r.writes = map[*Write]bool{}
	}
	r.writes[w] = true
	return w, 0
}

// again is when a client may come again: a fence without faults lasts as long as all routers take to see it, and a right is asked
// for three times a term.
func (r *Router) again() time.Duration { return r.Term / askEvery }

// Send tells whether a write may be sent to its home right now, and as of which epoch.
func (r *Router) Send(w *Write) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.mayWrite(w) {
		return 0, false
	}
	w.sent = true
	return r.doc.Epoch, true
}

// mayWrite is the rule of writing. The caller holds the mutex.
func (r *Router) mayWrite(w *Write) bool {
	if !r.mayWriteAnything() || !r.sameHome(w) {
		return false
	}
	m, moving := r.doc.moving(w.Key)
	switch {
	case !moving || !r.armed[m.Name] && m.State == Prepared:
		return true
	case m.State == Fenced && r.out.holds(ruleFence):
		return false
	}
	return !r.out.holds(ruleRight) || time.Now().Before(r.until)
}

// sameHome is the rule of one home: what came in for one, and may have run there, goes to no other, nor there again once the
// range has been elsewhere. The caller holds the mutex.
func (r *Router) sameHome(w *Write) bool {
	if !r.out.holds(ruleHome) {
		return true
	}
	home, ok := r.doc.Home(w.Key)
	return ok && home == w.Home && !w.lost && !r.doc.movedSince(w.Key, w.epoch)
}

// Counts tells whether the answer to a write, which has come now, is to be believed. One that comes after the right has ended may
// be of a write that ran behind the last copy of its range: nobody knows, so the client must be told that.
func (r *Router) Counts(w *Write) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.out.holds(ruleLate) {
		return true
	}
	m, moving := r.doc.moving(w.Key)
	switch {
	case !r.sameHome(w) || !r.mayWriteAnything():
		return false
	case !moving || !r.armed[m.Name] && m.State == Prepared:
		return true
	case m.State == Fenced:
		return time.Now().Before(r.fences[m.Name])
	}
	return time.Now().Before(r.until)
}

// End takes in a write's final answer.
func (r *Router) End(w *Write) (last bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.writes, w)
	m, moving := r.doc.moving(w.Key)
	return moving && m.State == Fenced && !r.underWay(m.Range)
}

// underWay tells whether a write to a range has been sent and not ended. One whose client has gone ends with its time. The caller
// holds the mutex.
func (r *Router) underWay(in Range) (some bool) {
	for w := range r.writes {
		if !time.Now().Before(w.until) {
			w.lost = true // it is not waited for any more
			delete(r.writes, w)
		} else if w.sent && in.Holds(w.Key) {
			some = true
		}
	}
	return some
}

// known is the epoch that all keeps to that this process sends or has under way. The caller holds the mutex.
func (r *Router) known() uint64 {
	epoch := r.doc.Epoch
	for _, m := range r.doc.Moves {
		unarmed := m.State == Prepared && !r.armed[m.Name]
		unended := m.State == Fenced && r.underWay(m.Range) && r.out.holds(ruleInFlight)
		if unarmed || unended {
			epoch = min(epoch, m.Since-1)
		}
	}
	return epoch
}

// said is what the last ask was made of.
type said struct {
	at     time.Time
	epoch  uint64
	known  uint64
	holder string
}

// Due tells whether there is something to ask or say: other documents change too, and hundreds of poolers that ask at each change of
// each other's would be a storm.
func (r *Router) Due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.said
	return last.epoch != r.doc.Epoch || last.known != r.known() || last.holder != r.doc.Holder || time.Since(last.at) >= r.Term/askEvery
}

// Ask is this process's next word to the holder, and who that is; ok: there is a move under way, so there is one to say.
func (r *Router) Ask() (a Ask, holder string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.underWay(Range{}) // forgets what is over
	if !r.mayWriteAnything() || !r.doc.active() {
		return a, "", false
	}
	if r.asked == nil {
		r.asked = map[uint64]time.Time{}
	}
	r.lastID++
	r.said = said{at: time.Now(), epoch: r.doc.Epoch, known: r.known(), holder: r.doc.Holder}
	r.asked[r.lastID] = r.said.at
	delete(r.asked, r.lastID-maxAsked)
	return Ask{ID: r.lastID, Name: r.Name, Instance: r.Instance, Known: r.said.known}, r.said.holder, true
}

// Granted takes the holder's answer in. The right counts from the asking, not the answer, and ends a drift bound early, so that it
// is over when the holder, who counts from later, thinks so; only who has seen the grant's epoch has it. It tells whether this
// process knows more now than it has said.
func (r *Router) Granted(g Grant) (news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from, ok := r.asked[g.ID]
	if !ok || g.Instance != r.Instance || g.Epoch > r.doc.Epoch && r.out.holds(ruleNewest) {
		return false
	}
	if !r.out.holds(ruleAsked) {
		from = time.Now()
	}
	if end := from.Add(r.Term - r.Drift); end.After(r.until) {
		r.until = end
	}
	if !time.Now().Before(r.until) {
		return false
	}
	for _, m := range r.doc.Moves {
		if m.State == Prepared && !r.armed[m.Name] {
			r.armed[m.Name], news = true, true
		}
	}
	return news
}
