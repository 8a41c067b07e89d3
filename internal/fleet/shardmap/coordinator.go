package shardmap

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Coordinator is what the process that holds Duty decides about the moves. It owns its mutex; its methods may be called from any
// goroutine and none waits. The zero Holder is out of office.
type Coordinator struct {
	Name          string
	Term          time.Duration // of a router's right
	MaxClockDrift time.Duration
	// MaxPrepared and FencedMost bound how long this holder lets a move stand prepared, and fenced, before it undoes it.
	MaxPrepared, MaxFenced time.Duration

	mu           sync.Mutex
	disabled     disabledRules
	token        uint64 // 0: out of office
	document     Document
	version      uint64
	sequence     uint64               // of the last act told
	stateSince   map[string]time.Time // when this holder learned of a move's state
	lastRequests map[string]Request   // the last word of each router, by its name
}

// Enrollment is the poolers whose processes may write, as a copy of the shared documents has them.
type Enrollment struct {
	Version   uint64
	Instances map[string]string // processes by their poolers' names
}

// BeginTerm begins a time in office by a token, with the document as the stewards have it then. Rights that earlier holders gave were
// asked for before, so a wait that begins now is over after all of them.
func (h *Coordinator) BeginTerm(token uint64, d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if token != h.token {
		h.lastRequests = map[string]Request{}
	}
	h.token, h.document, h.version, h.stateSince = token, d, version, map[string]time.Time{}
	from := time.Now()
	if !h.disabled.inForce(ruleFreshWait) {
		from = from.Add(-h.Term - h.MaxClockDrift)
	}
	for _, m := range d.Moves {
		h.stateSince[m.Name] = from
	}
}

// EndTerm ends the time in office.
func (h *Coordinator) EndTerm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.token = 0
}

// DocumentWritten takes in that a document has been written, and has the clocks of the moves that it takes on begin now.
func (h *Coordinator) DocumentWritten(d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range d.Moves {
		if old, ok := h.document.Move(m.Name); !ok || old.SinceEpoch != m.SinceEpoch {
			h.stateSince[m.Name] = time.Now()
		}
	}
	h.document, h.version = d, version
}

// Document is what this holder has read or written last.
func (h *Coordinator) Document() (d Document, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document, h.version
}

// HandleRequest takes a router's word in, and gives it its right. until is the end of the tenure: rights are given only in office, so that
// the next holder's wait covers them.
func (h *Coordinator) HandleRequest(a Request, until time.Time) (g Grant, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.disabled.inForce(ruleLeaderOnly) && (h.token == 0 || !time.Now().Before(until)) || h.lastRequests == nil {
		return g, false
	}
	if last := h.lastRequests[a.Name]; last.Instance != a.Instance || last.ID < a.ID {
		h.lastRequests[a.Name] = a
	}
	return Grant{ID: a.ID, Instance: a.Instance, Epoch: h.document.Epoch}, true
}

// allAcknowledged is the rule of who counts: every process that has enrolled, as of a copy that is not older than the move's state, has
// said that it keeps to that state's epoch. Who enrols later begins with it; so does a process that came after one that has said
// so under the same name, as it has enrolled behind that. The caller holds the mutex.
func (h *Coordinator) allAcknowledged(m Move, e Enrollment) bool {
	if e.Version < h.version {
		return false
	}
	return len(h.unacknowledged(m, e)) == 0
}

// isDrained is the rule of the switch: no router writes to a fenced range any more, as all have said so, or as all rights from before
// the fence have ended: they were asked for before this holder learned of it, and last a term less the drift on their routers'
// clocks, a term and the drift on this one. The caller holds the mutex.
func (h *Coordinator) isDrained(m Move, e Enrollment) bool {
	if !h.disabled.inForce(ruleDrain) || h.allAcknowledged(m, e) {
		return true
	}
	return !time.Now().Before(h.stateSince[m.Name].Add(h.Term + h.MaxClockDrift))
}

// Act is what the range's data needs before a move's next step.
type Act string

// The acts, by the state that they are done in. Each may come again, from another holder, at any time.
const (
	ActNone   Act = ""
	ActCopy   Act = "copy"   // copying: bring the target up to the source, nearly
	ActFence  Act = "fence"  // fenced: the source refuses writes of older epochs (the second line)
	ActFinish Act = "finish" // fenced, and quiet: bring the target up to the source, wholly
	ActClose  Act = "close"  // switched: the source refuses all writes for good, the target takes those of this epoch or newer
)

// Instruction is an act as whoever copies is told it. Token and Seq put all that any holder ever tells in an order: an act behind
// which a newer one has been carried out is refused, for it may have been on its way since before the switch.
type Instruction struct {
	Act      Act    `json:"act"`
	Move     Move   `json:"move"`
	Holder   string `json:"holder"`
	Epoch    uint64 `json:"epoch"` // of the document when it was told
	Token    uint64 `json:"token"`
	Sequence uint64 `json:"seq"`
}

// Newer tells whether an instruction may be carried out behind another, or behind none.
func (i Instruction) Newer(last Instruction) bool {
	return i.Token > last.Token || i.Token == last.Token && i.Sequence > last.Sequence
}

// Instruct is the act of a step as it is told now, each time anew.
func (h *Coordinator) Instruct(s Step) Instruction {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return Instruction{Act: s.Act, Move: s.Move, Holder: h.Name, Epoch: h.document.Epoch, Token: h.token, Sequence: h.sequence}
}

// Step is what is to be done next about a move: the act, then, if it has succeeded, the write of Next. Without Next the act alone.
type Step struct {
	Move Move
	Act  Act
	Next *Document
}

// NextStep is the step that a move can take now; ok: it can take one. acted: the acts that have succeeded since its state began.
func (h *Coordinator) NextStep(name string, e Enrollment, acted Act) (s Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, found := h.document.Move(name)
	if !found || h.token == 0 {
		return s, false
	}
	waited := time.Since(h.stateSince[name])
	to := func(d Document) (Step, bool) { return Step{Move: m, Next: &d}, true }
	switch m.State {
	case Prepared:
		switch {
		case !h.disabled.inForce(ruleAllAcknowledge) || h.allAcknowledged(m, e):
			return to(h.document.Advance(name))
		case waited >= h.MaxPrepared:
			return to(h.document.Undo(name, fmt.Sprintf("not all routers knew of it after %v: %v", h.MaxPrepared, h.unacknowledged(m, e))))
		}
	case Copying:
		if acted == ActCopy {
			return to(h.document.Advance(name))
		}
		return Step{Move: m, Act: ActCopy}, true
	case Fenced:
		switch {
		case acted == ActFinish:
			return to(h.document.Advance(name))
		case waited >= h.MaxFenced:
			return to(h.document.Undo(name, fmt.Sprintf("fenced for %v", h.MaxFenced)))
		case acted != ActFence:
			return Step{Move: m, Act: ActFence}, true
		case h.isDrained(m, e):
			return Step{Move: m, Act: ActFinish}, true
		}
	case Switched:
		if acted == ActClose {
			return to(h.document.Advance(name))
		}
		return Step{Move: m, Act: ActClose}, true
	}
	return s, false
}

// WaitingFor is the processes whose word a move still waits for, once it has waited for a term: until then most are on their way.
func (h *Coordinator) WaitingFor(name string, e Enrollment) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.document.Move(name)
	if !ok || time.Since(h.stateSince[name]) < h.Term {
		return nil
	}
	return h.unacknowledged(m, e)
}

func (h *Coordinator) unacknowledged(m Move, e Enrollment) (names []string) {
	for name, instance := range e.Instances {
		if h.lastRequests[name].AcknowledgedEpoch < m.SinceEpoch {
			names = append(names, instance)
		}
	}
	slices.Sort(names)
	return names
}
