package shardmap

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Coordinator decides the steps of moves and grants write leases, for the pooler that holds LeaseName. It does not lead until BeginTerm is
// called. It is safe for concurrent use, and no method blocks.
type Coordinator struct {
	Name          string        // name of this pooler
	Term          time.Duration // duration of a write lease
	MaxClockDrift time.Duration // maximum difference between two monotonic clocks over a term
	// MaxPrepared and MaxFenced are the maximum times that a move may stay prepared and fenced, respectively, before it is undone.
	MaxPrepared, MaxFenced time.Duration

	mu           sync.Mutex // guards the fields below
	disabled     disabledRules
	token        uint64 // fencing token; 0: the pooler is not the leader
	document     Document
	version      uint64               // version of document in the store
	sequence     uint64               // sequence number of the last instruction
	stateSince   map[string]time.Time // by name of the move: when this coordinator learned of its current state
	lastRequests map[string]Request   // by name of the pooler; nil: no term has begun yet
}

// Enrollment lists the processes that are enrolled according to a replica of the shared documents.
type Enrollment struct {
	Version   uint64            // version of the replica
	Instances map[string]string // instance of the enrolled process, by name of the pooler
}

// BeginTerm begins a term of leadership under a token, with the document and its version as read from the voters. Write leases of earlier
// coordinators were requested before this call, so a wait for maxWriteLease that starts now ends after all of them have expired.
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
		since = since.Add(-c.maxWriteLease())
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

// DocumentWritten records a document that has been written, and its version in the store. The time limits of the states that begin with
// the document count from now.
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

// Document returns the document that was read or written last, and its version in the store.
func (c *Coordinator) Document() (d Document, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.version
}

// maxWriteLease returns the longest time, on any clock, from the request of a write lease to its expiry.
func (c *Coordinator) maxWriteLease() time.Duration { return c.Term + c.MaxClockDrift }

// HandleRequest records a router's request and grants a write lease. until is the end of the leadership: write leases are granted only
// before it, so that the wait of the next coordinator covers them. ok is false if the pooler is not the leader.
func (c *Coordinator) HandleRequest(request Request, until time.Time) (g Grant, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leads := c.token != 0 && time.Now().Before(until)
	if c.lastRequests == nil || c.disabled.inForce(ruleLeaderOnly) && !leads {
		return Grant{}, false
	}
	if last := c.lastRequests[request.Name]; last.Instance != request.Instance || last.ID < request.ID {
		c.lastRequests[request.Name] = request
	}
	return Grant{ID: request.ID, Instance: request.Instance, Epoch: c.document.Epoch}, true
}

// allAcknowledged reports whether every enrolled process has acknowledged the epoch of a move's state, according to a replica that is at
// least as new as the document. Processes that enroll later need not be considered: they start with a map of that epoch or a newer one.
// This includes a process that replaces one that has acknowledged, under the same name, because it enrolls after the acknowledgement. The
// caller holds the mutex.
func (c *Coordinator) allAcknowledged(m Move, enrollment Enrollment) bool {
	return enrollment.Version >= c.version && len(c.unacknowledged(m, enrollment)) == 0
}

// unacknowledged returns, sorted, the instances of the enrolled processes that have not acknowledged the epoch of a move's state. The
// caller holds the mutex.
func (c *Coordinator) unacknowledged(m Move, enrollment Enrollment) []string {
	var instances []string
	for pooler, instance := range enrollment.Instances {
		if c.lastRequests[pooler].AcknowledgedEpoch < m.SinceEpoch {
			instances = append(instances, instance)
		}
	}
	slices.Sort(instances)
	return instances
}

// isDrained reports whether no router writes to the range of a fenced move any more, either because all have acknowledged the fence or
// because all write leases from before the fence have expired. Those were requested before this coordinator learned of the fence. They
// last a term minus the drift on their routers' clocks, which is at most a term plus the drift on this pooler's clock. The caller holds the
// mutex.
func (c *Coordinator) isDrained(m Move, enrollment Enrollment) bool {
	if !c.disabled.inForce(ruleDrain) || c.allAcknowledged(m, enrollment) {
		return true
	}
	return time.Since(c.stateSince[m.Name]) >= c.maxWriteLease()
}

// WaitingFor returns the instances of the processes whose acknowledgement a move waits for. It returns nil until the move has been in its
// state for a term, because until then most acknowledgements are still in transit.
func (c *Coordinator) WaitingFor(name string, enrollment Enrollment) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.document.Move(name)
	if !ok || time.Since(c.stateSince[name]) < c.Term {
		return nil
	}
	return c.unacknowledged(m, enrollment)
}

// Instruct returns an instruction for the act of a step. The instruction is newer than all earlier ones of this coordinator.
func (c *Coordinator) Instruct(s Step) Instruction {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return Instruction{Act: s.Act, Move: s.Move, Holder: c.Name, Epoch: c.document.Epoch, Token: c.token, Sequence: c.sequence}
}

// NextStep returns the step that a move can take now. ok is false if there is none. done is the last act that has succeeded in the move's
// current state.
func (c *Coordinator) NextStep(name string, enrollment Enrollment, done Act) (s Step, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, found := c.document.Move(name)
	if !found || c.token == 0 {
		return Step{}, false
	}
	switch m.State {
	case Prepared:
		return c.stepFromPrepared(m, enrollment)
	case Copying:
		return c.stepAfterAct(m, ActCopy, done), true
	case Fenced:
		return c.stepFromFenced(m, enrollment, done)
	case Switched:
		return c.stepAfterAct(m, ActClose, done), true
	}
	return Step{}, false
}

// stepFromPrepared advances a move that all enrolled processes have acknowledged, and undoes one that has been prepared for MaxPrepared.
// The caller holds the mutex.
func (c *Coordinator) stepFromPrepared(m Move, enrollment Enrollment) (s Step, ok bool) {
	switch {
	case !c.disabled.inForce(ruleAllAcknowledge) || c.allAcknowledged(m, enrollment):
		return c.advanceStep(m), true
	case time.Since(c.stateSince[m.Name]) >= c.MaxPrepared:
		return c.undoStep(m, fmt.Sprintf("not all routers knew of it after %v: %v", c.MaxPrepared, c.unacknowledged(m, enrollment))), true
	}
	return Step{}, false
}

// stepFromFenced has the source fenced, waits for the routers to drain, has the copy finished and advances the move. It undoes a move that
// has been fenced for MaxFenced. The caller holds the mutex.
func (c *Coordinator) stepFromFenced(m Move, enrollment Enrollment, done Act) (s Step, ok bool) {
	switch {
	case done == ActFinish:
		return c.advanceStep(m), true
	case time.Since(c.stateSince[m.Name]) >= c.MaxFenced:
		return c.undoStep(m, fmt.Sprintf("fenced for %v", c.MaxFenced)), true
	case done != ActFence:
		return Step{Move: m, Act: ActFence}, true
	case c.isDrained(m, enrollment):
		return Step{Move: m, Act: ActFinish}, true
	}
	return Step{}, false
}

// stepAfterAct advances a move if the needed act is the last that succeeded; otherwise it returns a step that executes the act. The caller
// holds the mutex.
func (c *Coordinator) stepAfterAct(m Move, needed, done Act) Step {
	if done == needed {
		return c.advanceStep(m)
	}
	return Step{Move: m, Act: needed}
}

// advanceStep returns the step that takes a move to its next state. The caller holds the mutex.
func (c *Coordinator) advanceStep(m Move) Step {
	next := c.document.Advance(m.Name)
	return Step{Move: m, Next: &next}
}

// undoStep returns the step that undoes a move for a reason. The caller holds the mutex.
func (c *Coordinator) undoStep(m Move, reason string) Step {
	next := c.document.Undo(m.Name, reason)
	return Step{Move: m, Next: &next}
}
