package shardmap

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Holder is what the process that holds Duty decides about the moves. It owns its mutex; its methods may be called from any
// goroutine and none waits. The zero Holder is out of office.
type Holder struct {
	Name  string
	Term  time.Duration // of a router's right
	Drift time.Duration
	// PreparedMost and FencedMost bound how long this holder lets a move stand prepared, and fenced, before it undoes it.
	PreparedMost, FencedMost time.Duration

	mu      sync.Mutex
	out     without
	token   uint64 // 0: out of office
	doc     Document
	version uint64
	seq     uint64               // of the last act told
	since   map[string]time.Time // when this holder learned of a move's state
	known   map[string]Ask       // the last word of each router, by its name
}

// Enrolled is the poolers whose processes may write, as a copy of the shared documents has them.
type Enrolled struct {
	Version   uint64
	Instances map[string]string // processes by their poolers' names
}

// Take begins a time in office by a token, with the document as the stewards have it then. Rights that earlier holders gave were
// asked for before, so a wait that begins now is over after all of them.
func (h *Holder) Take(token uint64, d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token != h.token {
		h.known = map[string]Ask{}
	}
	h.token, h.doc, h.version, h.since = token, d, version, map[string]time.Time{}
	from := time.Now()
	if !h.out.holds(ruleAnew) {
		from = from.Add(-h.Term - h.Drift)
	}
	for _, m := range d.Moves {
		h.since[m.Name] = from
	}
}

// Leave ends the time in office.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.token = 0
}

// Wrote takes in that a document has been written, and has the clocks of the moves that it takes on begin now.
func (h *Holder) Wrote(d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range d.Moves {
		if old, ok := h.doc.Move(m.Name); !ok || old.Since != m.Since {
			h.since[m.Name] = time.Now()
		}
	}
	h.doc, h.version = d, version
}

// Document is what this holder has read or written last.
func (h *Holder) Document() (d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doc, h.version
}

// Heard takes a router's word in, and gives it its right. until is the end of the tenure: rights are given only in office, so that
// the next holder's wait covers them.
func (h *Holder) Heard(a Ask, until time.Time) (g Grant, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out.holds(ruleOffice) && (h.token == 0 || !time.Now().Before(until)) || h.known == nil {
		return g, false
	}
	if last := h.known[a.Name]; last.Instance != a.Instance || last.ID < a.ID {
		h.known[a.Name] = a
	}
	return Grant{ID: a.ID, Instance: a.Instance, Epoch: h.doc.Epoch}, true
}

// allKnow is the rule of who counts: every process that has enrolled, as of a copy that is not older than the move's state, has
// said that it keeps to that state's epoch. Who enrols later begins with it; so does a process that came after one that has said
// so under the same name, as it has enrolled behind that. The caller holds the mutex.
func (h *Holder) allKnow(m Move, e Enrolled) bool {
	if e.Version < h.version {
		return false
	}
	return len(h.missing(m, e)) == 0
}

// quiet is the rule of the switch: no router writes to a fenced range any more, as all have said so, or as all rights from before
// the fence have ended: they were asked for before this holder learned of it, and last a term less the drift on their routers'
// clocks, a term and the drift on this one. The caller holds the mutex.
func (h *Holder) quiet(m Move, e Enrolled) bool {
	if !h.out.holds(ruleWait) || h.allKnow(m, e) {
		return true
	}
	return !time.Now().Before(h.since[m.Name].Add(h.Term + h.Drift))
}

// Act is what the range's data needs before a move's next step.
type Act string

// The acts, by the state that they are done in. Each may come again, from another holder, at any time.
const (
	None   Act = ""
	Copy   Act = "copy"   // copying: bring the target up to the source, nearly
	Fence  Act = "fence"  // fenced: the source refuses writes of older epochs (the second line)
	Finish Act = "finish" // fenced, and quiet: bring the target up to the source, wholly
	Close  Act = "close"  // switched: the source refuses all writes for good, the target takes those of this epoch or newer
)

// Instruction is an act as whoever copies is told it. Token and Seq put all that any holder ever tells in an order: an act behind
// which a newer one has been carried out is refused, for it may have been on its way since before the switch.
type Instruction struct {
	Act    Act    `json:"act"`
	Move   Move   `json:"move"`
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"` // of the document when it was told
	Token  uint64 `json:"token"`
	Seq    uint64 `json:"seq"`
}

// Newer tells whether an instruction may be carried out behind another, or behind none.
func (i Instruction) Newer(last Instruction) bool {
	return i.Token > last.Token || i.Token == last.Token && i.Seq > last.Seq
}

// Instruct is the act of a step as it is told now, each time anew.
func (h *Holder) Instruct(s Step) Instruction {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seq++
	return Instruction{Act: s.Act, Move: s.Move, Holder: h.Name, Epoch: h.doc.Epoch, Token: h.token, Seq: h.seq}
}

// Step is what is to be done next about a move: the act, then, if it has succeeded, the write of Next. Without Next the act alone.
type Step struct {
	Move Move
	Act  Act
	Next *Document
}

// Next is the step that a move can take now; ok: it can take one. acted: the acts that have succeeded since its state began.
func (h *Holder) Next(name string, e Enrolled, acted Act) (s Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, found := h.doc.Move(name)
	if !found || h.token == 0 {
		return s, false
	}
	waited := time.Since(h.since[name])
	to := func(d Document) (Step, bool) { return Step{Move: m, Next: &d}, true }
	switch m.State {
	case Prepared:
		switch {
		case !h.out.holds(ruleArmed) || h.allKnow(m, e):
			return to(h.doc.Advance(name))
		case waited >= h.PreparedMost:
			return to(h.doc.Undo(name, fmt.Sprintf("not all routers knew of it after %v: %v", h.PreparedMost, h.missing(m, e))))
		}
	case Copying:
		if acted == Copy {
			return to(h.doc.Advance(name))
		}
		return Step{Move: m, Act: Copy}, true
	case Fenced:
		switch {
		case acted == Finish:
			return to(h.doc.Advance(name))
		case waited >= h.FencedMost:
			return to(h.doc.Undo(name, fmt.Sprintf("fenced for %v", h.FencedMost)))
		case acted != Fence:
			return Step{Move: m, Act: Fence}, true
		case h.quiet(m, e):
			return Step{Move: m, Act: Finish}, true
		}
	case Switched:
		if acted == Close {
			return to(h.doc.Advance(name))
		}
		return Step{Move: m, Act: Close}, true
	}
	return s, false
}

// Waits is the processes whose word a move still waits for, once it has waited for a term: until then most are on their way.
func (h *Holder) Waits(name string, e Enrolled) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.doc.Move(name)
	if !ok || time.Since(h.since[name]) < h.Term {
		return nil
	}
	return h.missing(m, e)
}

func (h *Holder) missing(m Move, e Enrolled) (names []string) {
	for name, instance := range e.Instances {
		if h.known[name].Known < m.Since {
			names = append(names, instance)
		}
	}
	slices.Sort(names)
	return names
}
