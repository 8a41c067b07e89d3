package shardmap

import (
	"fmt"
	"slices"
	"time"
)

const (
	term           = 900 * time.Millisecond
	drift          = 100 * time.Millisecond
	leadershipTerm = 1500 * time.Millisecond // duration of leadership after its last renewal
)

// documents is the content of the shared documents at a version.
type documents struct {
	version uint64
	doc     Document
	routers map[string]string // instances of the enrolled processes, by router name
}

// clientWrite is a client's write and its progress.
type clientWrite struct {
	id, router int
	instance   string
	write      *Write
	executedAt []int // clusters that executed the write
	inFlight   bool  // in transit to a server
	answered   bool  // a server has answered, but the router has not received the answer
	ended      bool  // the router has given the final answer
	served     bool  // the final answer was that the write succeeded
	resent     bool  // the router has lost an answer and may send the write again
}

// candidate is a process that campaigns for the leadership.
type candidate struct {
	coordinator Coordinator
	leadsUntil  time.Time         // end of the leadership on the candidate's own clock
	done        map[string]Act    // by move: the last act that succeeded
	stateEpoch  map[string]uint64 // by move: the epoch of the state that done belongs to
	step        *Step             // decided, but not executed yet
	token       uint64
}

// world is a model of two clusters, several routers and candidates, and the log of the voters.
type world struct {
	disabled        disabledRules
	pick            func(n int) int // returns a number from 0 to n-1
	log             []documents     // all versions of the shared documents
	leader          int             // the candidate that holds the lease according to the voters; -1: none
	leaseFreeAt     time.Time       // the time from which the voters may grant the lease to another candidate
	token           uint64
	routers         []*Router
	replicaIndex    []int // by router: the index in log of its replica
	instances       int   // number of processes started
	candidates      []*candidate
	requests        []Request
	grants          []Grant
	writes          []*clientWrite
	data            [2]map[int]bool // by cluster: ids of the writes that it stores
	instructions    []Instruction   // in transit
	lastInstruction Instruction     // the newest that was executed
	trace           []string
	violation       string // of an invariant, found while sending a write
}

func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// pickBetween returns a number from least to most, both included.
func (w *world) pickBetween(least, most int) int { return least + w.pick(most-least+1) }

func pickElement[T any](w *world, from []T) T { return from[w.pick(len(from))] }

// latest returns the newest version of the shared documents.
func (w *world) latest() documents { return w.log[len(w.log)-1] }

// commit appends a changed copy of the latest documents to the log and returns its version.
func (w *world) commit(change func(c *documents)) uint64 {
	c := w.latest()
	c.version++
	c.routers = map[string]string{}
	for k, v := range w.latest().routers {
		c.routers[k] = v
	}
	change(&c)
	w.log = append(w.log, c)
	return c.version
}

// pickAllowedDrift returns the clock drift that a process allows for. A process that allows for none models one whose clock is off by all of
// the drift.
func (w *world) pickAllowedDrift() time.Duration {
	return pickElement(w, []time.Duration{0, drift})
}

// startRouter starts a router's next process, from a replica that may be old.
func (w *world) startRouter(i int, from int) {
	w.instances++
	w.routers[i] = &Router{Name: fmt.Sprint("r", i), Instance: fmt.Sprint("process", w.instances), Term: term, MaxClockDrift: w.pickAllowedDrift(), disabled: w.disabled}
	w.replicaIndex[i] = from
	w.applyReplica(i)
}

// applyReplica applies the documents of a router's replica to the router.
func (w *world) applyReplica(i int) {
	c := w.log[w.replicaIndex[i]]
	r := w.routers[i]
	r.Apply(c.doc, c.version, c.routers[r.Name] == r.Instance)
}

// enrollRouter writes the router document of a router's process.
func (w *world) enrollRouter(i int) {
	r := w.routers[i]
	v := w.commit(func(c *documents) { c.routers[r.Name] = r.Instance })
	r.SetEnrolled(v)
}

// enrollmentAt returns the enrollment at an index in the log.
func (w *world) enrollmentAt(at int) Enrollment {
	return Enrollment{Version: w.log[at].version, Instances: w.log[at].routers}
}

// acquireLeadership lets a candidate acquire or renew the leadership, if the voters may grant it.
func (w *world) acquireLeadership(k int) {
	c := w.candidates[k]
	if k != w.leader {
		if time.Now().Before(w.leaseFreeAt) {
			return
		}
		w.token++
		w.leader = k
		c.token = w.token
		c.step, c.done, c.stateEpoch = nil, map[string]Act{}, map[string]uint64{}
		n := w.latest()
		c.coordinator.BeginTerm(c.token, n.doc, n.version)
		w.logf("candidate %d leads, token %d", k, c.token)
	}
	c.leadsUntil = time.Now().Add(leadershipTerm - drift)
	w.leaseFreeAt = time.Now().Add(leadershipTerm + drift)
}

// releaseLeadership ends the leadership before its lease expires.
func (w *world) releaseLeadership() {
	if w.leader >= 0 {
		w.candidates[w.leader].leadsUntil, w.leaseFreeAt, w.leader = time.Now(), time.Now(), -1
	}
}

// exchangeMessages sends a router's request and delivers the grant immediately.
func (w *world) exchangeMessages(i, k int) {
	if request, _, ok := w.routers[i].NextRequest(); ok {
		if g, ok := w.candidates[k].coordinator.HandleRequest(request, w.candidates[k].leadsUntil); ok {
			w.routers[i].ApplyGrant(g)
		}
	}
}

// decideStep lets a candidate that considers itself the leader decide its next step. When all moves have ended, the step begins another.
func (w *world) decideStep(k int) {
	c := w.candidates[k]
	d, _ := c.coordinator.Document()
	if c.step != nil || w.disabled.inForce(ruleLeaderOnly) && !time.Now().Before(c.leadsUntil) || c.token == 0 {
		return
	}
	for _, m := range d.Moves {
		if c.stateEpoch[m.Name] != m.SinceEpoch {
			c.stateEpoch[m.Name], c.done[m.Name] = m.SinceEpoch, ActNone
		}
		if s, ok := c.coordinator.NextStep(m.Name, w.enrollmentAt(len(w.log)-1), c.done[m.Name]); ok {
			c.step = &s
			return
		}
	}
	if len(d.Moves) == 0 {
		if next, err := d.Begin(Order{Name: "m1", Range: Range{Cluster: 1}}); err == nil {
			c.step = &Step{Next: &next}
		}
	} else if m := d.Moves[len(d.Moves)-1]; m.State == Done || m.State == Undone {
		home, _ := d.Home("k")
		if next, err := d.Begin(Order{Name: fmt.Sprint("m", len(d.Moves)+1), Source: home, Range: Range{Cluster: 1 - home}}); err == nil {
			c.step = &Step{Next: &next}
		}
	}
}

// executeStep writes the document of a candidate's decided step or sends its instruction. That may happen long after the decision.
func (w *world) executeStep(k int) {
	c := w.candidates[k]
	if c.step == nil {
		return
	}
	s := *c.step
	c.step = nil
	if s.Next == nil {
		i := c.coordinator.Instruct(s)
		w.instructions = append(w.instructions, i)
		if w.pick(2) == 0 {
			w.instructions = append(w.instructions, i)
		}
		return
	}
	_, version := c.coordinator.Document()
	if w.disabled.inForce(ruleToken) && (c.token != w.token || version != w.latest().version && w.mapVersion() != version) {
		w.logf("candidate %d: write of a step rejected", k)
		return
	}
	v := w.commit(func(n *documents) { n.doc = *s.Next })
	w.logf("candidate %d writes epoch %d: %v", k, s.Next.Epoch, states(*s.Next))
	if w.pick(5) > 0 {
		c.coordinator.DocumentWritten(*s.Next, v)
	} else if c.token == w.token { // the answer is lost, and the candidate reads the document again
		n := w.latest()
		c.coordinator.BeginTerm(c.token, n.doc, n.version)
	}
}

// mapVersion returns the version at which the map was last written.
func (w *world) mapVersion() uint64 {
	for i := len(w.log) - 1; i > 0; i-- {
		if w.log[i].doc.Epoch != w.log[i-1].doc.Epoch {
			return w.log[i].version
		}
	}
	return w.log[0].version
}

// states returns the name and the state of each move.
func states(d Document) (out []string) {
	for _, m := range d.Moves {
		out = append(out, m.Name+" "+string(m.State))
	}
	return out
}

// deliverInstruction delivers an instruction to the clusters. A candidate that issued it records the act as done if the move is still in the
// same state.
func (w *world) deliverInstruction(n int) {
	i := w.instructions[n]
	w.instructions = slices.Delete(w.instructions, n, n+1)
	if w.disabled.inForce(ruleActOrder) && !i.Newer(w.lastInstruction) {
		return
	}
	if i.Newer(w.lastInstruction) {
		w.lastInstruction = i
	}
	if i.Act == ActCopy || i.Act == ActFinish {
		to := map[int]bool{}
		for id := range w.data[i.Move.Source] {
			to[id] = true
		}
		w.data[i.Move.Range.Cluster] = to
		w.logf("%s of %s by token %d: %d writes", i.Act, i.Move.Name, i.Token, len(to))
	}
	for _, c := range w.candidates {
		if c.token == i.Token && c.stateEpoch[i.Move.Name] == i.Move.SinceEpoch {
			c.done[i.Move.Name] = i.Act
		}
	}
}

// beginWrite lets a router admit a new write. It returns nil if the write is rejected.
func (w *world) beginWrite(i int) *clientWrite {
	r := w.routers[i]
	admitted, _ := r.BeginWrite("k", time.Now().Add(2*term))
	if admitted == nil {
		return nil
	}
	c := &clientWrite{id: len(w.writes), router: i, instance: r.Instance, write: admitted}
	w.writes = append(w.writes, c)
	return c
}

// isRouterRunning reports whether the process that admitted a write is still running.
func (w *world) isRouterRunning(c *clientWrite) bool {
	return w.routers[c.router].Instance == c.instance
}

// sendWrite sends a write if its router still permits it, and ends it otherwise.
func (w *world) sendWrite(c *clientWrite) {
	if c.ended || c.inFlight || c.answered || !w.isRouterRunning(c) {
		return
	}
	if _, ok := w.routers[c.router].AuthorizeSend(c.write); ok {
		c.inFlight = true
		home, _ := w.latest().doc.Home("k")
		if w.disabled.inForce(ruleOneHome) && home != c.write.Home {
			w.violation = fmt.Sprintf("write %d was sent to %d after its range had moved to %d", c.id, c.write.Home, home)
		}
	} else {
		c.ended = true
		w.routers[c.router].EndWrite(c.write)
	}
}

// executeWrite lets a server execute a write, at any time after it was sent.
func (w *world) executeWrite(c *clientWrite) {
	if !c.inFlight {
		return
	}
	c.inFlight, c.answered = false, true
	home := c.write.Home
	if !w.disabled.inForce(ruleOneHome) {
		home, _, _ = w.routers[c.router].Home("k")
	}
	w.data[home][c.id] = true
	c.executedAt = append(c.executedAt, home)
	w.logf("write %d of %s is executed at %d", c.id, c.instance, home)
}

// deliverAnswer delivers a server's answer to the router. The write is served if the answer is valid. If the answer is lost, the write may be
// sent once more, like a write that servers deduplicate.
func (w *world) deliverAnswer(c *clientWrite, lost bool) {
	if !c.answered || c.ended || !w.isRouterRunning(c) {
		return
	}
	c.answered = false
	if lost && !c.resent {
		c.resent = true
		return
	}
	c.ended = true
	c.served = !lost && w.routers[c.router].IsAnswerValid(c.write)
	w.routers[c.router].EndWrite(c.write)
	if c.served {
		w.logf("write %d is served", c.id)
	}
}

// findViolation returns the invariant that is violated, or "" if there is none.
func (w *world) findViolation() string {
	if w.violation != "" {
		return w.violation
	}
	home, _ := w.latest().doc.Home("k")
	for _, c := range w.writes {
		if c.served && !w.data[home][c.id] {
			return fmt.Sprintf("write %d was served but is not stored in its home %d", c.id, home)
		}
		if slices.Contains(c.executedAt, 0) && slices.Contains(c.executedAt, 1) {
			return fmt.Sprintf("write %d was executed in both clusters", c.id)
		}
	}
	return ""
}

// newWorld returns a world with two enrolled routers and two candidates, the first of which is the leader.
func newWorld(pick func(int) int, disabled disabledRules) *world {
	w := &world{disabled: disabled, pick: pick, leader: -1, data: [2]map[int]bool{{}, {}}, routers: make([]*Router, 2), replicaIndex: make([]int, 2)}
	w.log = []documents{{version: 1, doc: Document{Epoch: 1, Ranges: []Range{{Cluster: 0}}}, routers: map[string]string{}}}
	for range 2 {
		w.candidates = append(w.candidates, &candidate{coordinator: Coordinator{Term: term, MaxClockDrift: w.pickAllowedDrift(), MaxPrepared: 6 * term, MaxFenced: 3 * term, disabled: disabled}})
	}
	for i := range w.routers {
		w.startRouter(i, 0)
		w.enrollRouter(i)
		w.replicaIndex[i] = len(w.log) - 1
		w.applyReplica(i)
	}
	w.acquireLeadership(0)
	w.decideStep(0)
	w.executeStep(0)
	return w
}

// leaderOrDefault returns the index of the leader, or k if there is none.
func (w *world) leaderOrDefault(k int) int {
	if w.leader >= 0 {
		return w.leader
	}
	return k
}

// runLeaderOnce lets the leader, or candidate k if there is none, renew its leadership, decide and execute a step, and have its newest
// instruction delivered.
func (w *world) runLeaderOnce(k int) {
	k = w.leaderOrDefault(k)
	w.acquireLeadership(k)
	w.decideStep(k)
	w.executeStep(k)
	if len(w.instructions) > 0 {
		w.deliverInstruction(len(w.instructions) - 1)
	}
}

// syncRouter brings a router's replica up to date and exchanges a request and its grant.
func (w *world) syncRouter(i, k int) {
	w.replicaIndex[i] = len(w.log) - 1
	w.applyReplica(i)
	w.exchangeMessages(i, w.leaderOrDefault(k))
}
