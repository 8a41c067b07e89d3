package shardmap

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Coordinator decides about the moves for the pooler that holds LeaseName. It is safe for concurrent use, and no method blocks. A
// Coordinator does not lead until BeginTerm.
type Coordinator struct {
	Name          string        // of the pooler
	Term          time.Duration // of a router's right
	MaxClockDrift time.Duration // the most by which two monotonic clocks differ over a term
	// MaxPrepared and MaxFenced bound how long a move may stay prepared, and fenced, before the coordinator undoes it.
	MaxPrepared, MaxFenced time.Duration

	mu           sync.Mutex // guards the fields below
	disabled     disabledRules
	token        uint64 // 0: the pooler does not lead
	document     Document
	version      uint64               // of the document
	sequence     uint64               // of the last instruction
	stateSince   map[string]time.Time // by move: when this coordinator learned of its state
	lastRequests map[string]Request   // by router; nil: no term has begun
}

// Enrollment is which processes may write, as a replica of the shared documents has them.
type Enrollment struct {
	Version   uint64            // of the replica
	Instances map[string]string // by pooler
}

// BeginTerm begins a term of leadership by a token, with the document as the voters have it then. Rights that earlier coordinators granted
// were requested before, so a wait that begins now ends after all of them.
func (c *Coordinator) BeginTerm(token uint64, d Document, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token != c.token {
		c.lastRequests = map[string]Request{}
	}
	c.token = token
	c.document = d
	c.version = version
	c.stateSince = map[string]time.Time{}
	since := time.Now()
	if !c.disabled.inForce(ruleFreshWait) {
		since = since.Add(-c.maxRight())
	}
	for _, m := range d.Moves {
		c.stateSince[m.Name] = since
	}
}

// EndTerm ends the term of leadership.
func (c *Coordinator) EndTerm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.token = 0
}

// DocumentWritten records that a document has been written. The time of the states that it begins counts from now.
func (c *Coordinator) DocumentWritten(d Document, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range d.Moves {
		if old, ok := c.document.Move(m.Name); !ok || old.SinceEpoch != m.SinceEpoch {
			c.stateSince[m.Name] = time.Now()
		}
	}
	c.document = d
	c.version = version
}

// Document returns the document that was read or written last, and its version.
func (c *Coordinator) Document() (d Document, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.version
}

// maxRight is how long a right may last on any clock after it was requested.
func (c *Coordinator) maxRight() time.Duration { return c.Term + c.MaxClockDrift }

// HandleRequest records a router's request, and grants its right. until is the end of the leadership: rights are granted only before it,
// so that the wait of the next coordinator covers them.
func (c *Coordinator) HandleRequest(r Request, until time.Time) (g Grant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leads := c.token != 0 && time.Now().Before(until)
	if c.lastRequests == nil || c.disabled.inForce(ruleLeaderOnly) && !leads {
		return Grant{}, false
	}
	if last := c.lastRequests[r.Name]; last.Instance != r.Instance || last.ID < r.ID {
		c.lastRequests[r.Name] = r
	}
	return Grant{ID: r.ID, Instance: r.Instance, Epoch: c.document.Epoch}, true
}

// allAcknowledged is the rule of who counts: every process that has enrolled, as of a replica that is not older than the move's state,
// has acknowledged that state's epoch. A process that enrolls later begins with the epoch; so does one that follows, under the same name,
// a process that has acknowledged, as it has enrolled after that. The caller holds the mutex.
func (c *Coordinator) allAcknowledged(m Move, e Enrollment) bool {
	return e.Version >= c.version && len(c.unacknowledged(m, e)) == 0
}

// unacknowledged returns the enrolled processes that have not acknowledged a move's state, sorted. The caller holds the mutex.
func (c *Coordinator) unacknowledged(m Move, e Enrollment) []string {
	var instances []string
	for pooler, instance := range e.Instances {
		if c.lastRequests[pooler].AcknowledgedEpoch < m.SinceEpoch {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	return instances
}

// isDrained is the rule of the switch: no router writes to a fenced range any more, as all have acknowledged the fence, or as all rights
// from before the fence have ended. Those were requested before this coordinator learned of the fence, and last a term less the drift on
// their routers' clocks, which is a term and the drift on this one at most. The caller holds the mutex.
func (c *Coordinator) isDrained(m Move, e Enrollment) bool {
	if !c.disabled.inForce(ruleDrain) || c.allAcknowledged(m, e) {
		return true
	}
	return time.Since(c.stateSince[m.Name]) >= c.maxRight()
}

// WaitingFor returns the processes whose acknowledgement a move waits for, once it has waited for a term. Before that most
// acknowledgements are on their way.
func (c *Coordinator) WaitingFor(name string, e Enrollment) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.document.Move(name)
	if !ok || time.Since(c.stateSince[name]) < c.Term {
		return nil
	}
	return c.unacknowledged(m, e)
}

// Instruct returns the instruction of a step's act. Each call returns a newer one.
func (c *Coordinator) Instruct(s Step) Instruction {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return Instruction{Act: s.Act, Move: s.Move, Holder: c.Name, Epoch: c.document.Epoch, Token: c.token, Sequence: c.sequence}
}

// NextStep decides the step that a move can take now; ok is false if it can take none. done is the last act that has succeeded since the
// move's state began.
func (c *Coordinator) NextStep(name string, e Enrollment, done Act) (s Step, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, found := c.document.Move(name)
	if !found || c.token == 0 {
		return Step{}, false
	}
	switch m.State {
	case Prepared:
		return c.nextOfPrepared(m, e)
	case Copying:
		return c.nextOfAct(m, ActCopy, done), true
	case Fenced:
		return c.nextOfFenced(m, e, done)
	case Switched:
		return c.nextOfAct(m, ActClose, done), true
	}
	return Step{}, false
}

// nextOfPrepared advances a move that all processes have acknowledged, and undoes one that has waited too long. The caller holds the
// mutex.
func (c *Coordinator) nextOfPrepared(m Move, e Enrollment) (s Step, ok bool) {
	switch {
	case !c.disabled.inForce(ruleAllAcknowledge) || c.allAcknowledged(m, e):
		return c.advance(m), true
	case time.Since(c.stateSince[m.Name]) >= c.MaxPrepared:
		return c.undo(m, fmt.Sprintf("not all routers knew of it after %v: %v", c.MaxPrepared, c.unacknowledged(m, e))), true
	}
	return Step{}, false
}

// nextOfFenced fences the source, waits for the routers, finishes the copy and advances; it undoes a move that takes too long. The caller
// holds the mutex.
func (c *Coordinator) nextOfFenced(m Move, e Enrollment, done Act) (s Step, ok bool) {
	switch {
	case done == ActFinish:
		return c.advance(m), true
	case time.Since(c.stateSince[m.Name]) >= c.MaxFenced:
		return c.undo(m, fmt.Sprintf("fenced for %v", c.MaxFenced)), true
	case done != ActFence:
		return Step{Move: m, Act: ActFence}, true
	case c.isDrained(m, e):
		return Step{Move: m, Act: ActFinish}, true
	}
	return Step{}, false
}

// nextOfAct advances a move whose act is done, and has it done otherwise. The caller holds the mutex.
func (c *Coordinator) nextOfAct(m Move, needed, done Act) Step {
	if done == needed {
		return c.advance(m)
	}
	return Step{Move: m, Act: needed}
}

// advance is the step that takes a move to its next state. The caller holds the mutex.
func (c *Coordinator) advance(m Move) Step {
	next := c.document.Advance(m.Name)
	return Step{Move: m, Next: &next}
}

// undo is the step that undoes a move. The caller holds the mutex.
func (c *Coordinator) undo(m Move, reason string) Step {
	next := c.document.Undo(m.Name, reason)
	return Step{Move: m, Next: &next}
}
