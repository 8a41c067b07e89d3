package shardmap

import (
	"fmt"
	"slices"
	"time"
)

const (
	term           = 900 * time.Millisecond
	drift          = 100 * time.Millisecond
	leadershipTerm = 1500 * time.Millisecond // from its last renewal
)

// documents is the shared documents as of a version.
type documents struct {
	version uint64
	doc     Document
	routers map[string]string
}

// clientWrite is a write and what has become of it.
type clientWrite struct {
	id, router int
	instance   string
	write      *Write
	ranAt      []int // clusters
	inFlight   bool  // at a server, or on the way there
	answered   bool  // by the server; the router has not received it
	ended      bool
	served     bool
	resent     bool
}

// candidate is a process that campaigns for the leadership.
type candidate struct {
	coordinator Coordinator
	until       time.Time         // of its leadership, as it takes it
	done        map[string]Act    // by move: the last act that has succeeded
	stateEpoch  map[string]uint64 // by move: the state that done is of
	step        *Step             // decided, and not written or done yet
	token       uint64
}

// world is two clusters, some routers and candidates, and the voters' log between them.
type world struct {
	disabled     disabledRules
	pick         func(n int) int // one of n
	log          []documents
	leader       int       // the candidate that the voters take to lead; -1: none
	freeAt       time.Time // when the voters may give the lease to another
	token        uint64
	routers      []*Router
	seen         []int // by router: the index in log that its replica is as of
	instances    int
	candidates   []*candidate
	requests     []Request
	grants       []Grant
	writes       []*clientWrite
	data         [2]map[int]bool // by cluster: the writes of the range that it has
	instructions []Instruction   // on their way
	last         Instruction     // the newest that was carried out
	trace        []string
	violation    string // of an invariant, found on the way
}

func (w *world) logf(f string, args ...any) {
	w.trace = append(w.trace, time.Now().Format("05.000 ")+fmt.Sprintf(f, args...))
}

func (w *world) between(least, most int) int { return least + w.pick(most-least+1) }

func oneOf[T any](w *world, from []T) T { return from[w.pick(len(from))] }

func (w *world) newest() documents { return w.log[len(w.log)-1] }

func (w *world) commit(change func(c *documents)) uint64 {
	c := w.newest()
	c.version++
	c.routers = map[string]string{}
	for k, v := range w.newest().routers {
		c.routers[k] = v
	}
	change(&c)
	w.log = append(w.log, c)
	return c.version
}

// assumedDrift is the drift that a process allows for: one that allows for none has a clock that is off by all of it.
func (w *world) assumedDrift() time.Duration {
	return oneOf(w, []time.Duration{0, drift})
}

// start starts a router's next process, from a replica that may be old.
func (w *world) start(i int, from int) {
	w.instances++
	w.routers[i] = &Router{Name: fmt.Sprint("r", i), Instance: fmt.Sprint("process", w.instances), Term: term, MaxClockDrift: w.assumedDrift(), disabled: w.disabled}
	w.seen[i] = from
	w.apply(i)
}

func (w *world) apply(i int) {
	c := w.log[w.seen[i]]
	r := w.routers[i]
	r.Apply(c.doc, c.version, c.routers[r.Name] == r.Instance)
}

func (w *world) enroll(i int) {
	r := w.routers[i]
	v := w.commit(func(c *documents) { c.routers[r.Name] = r.Instance })
	r.SetEnrolled(v)
}

func (w *world) enrolledAt(at int) Enrollment {
	return Enrollment{Version: w.log[at].version, Instances: w.log[at].routers}
}

// win makes a candidate win the leadership, or renew it, if the voters may give it.
func (w *world) win(k int) {
	c := w.candidates[k]
	if k != w.leader {
		if time.Now().Before(w.freeAt) {
			return
		}
		w.token++
		w.leader = k
		c.token = w.token
		c.step, c.done, c.stateEpoch = nil, map[string]Act{}, map[string]uint64{}
		n := w.newest()
		c.coordinator.BeginTerm(c.token, n.doc, n.version)
		w.logf("candidate %d leads, token %d", k, c.token)
	}
	c.until = time.Now().Add(leadershipTerm - drift)
	w.freeAt = time.Now().Add(leadershipTerm + drift)
}

// release ends the leadership early.
func (w *world) release() {
	if w.leader >= 0 {
		w.candidates[w.leader].until, w.freeAt, w.leader = time.Now(), time.Now(), -1
	}
}

// exchange sends a router's request, and delivers the grant at once.
func (w *world) exchange(i, k int) {
	if a, _, ok := w.routers[i].NextRequest(); ok {
		if g, ok := w.candidates[k].coordinator.HandleRequest(a, w.candidates[k].until); ok {
			w.routers[i].ApplyGrant(g)
		}
	}
}

// decide makes a candidate that takes itself to lead decide the next step.
func (w *world) decide(k int) {
	c := w.candidates[k]
	d, _ := c.coordinator.Document()
	if c.step != nil || w.disabled.inForce(ruleLeaderOnly) && !time.Now().Before(c.until) || c.token == 0 {
		return
	}
	for _, m := range d.Moves {
		if c.stateEpoch[m.Name] != m.SinceEpoch {
			c.stateEpoch[m.Name], c.done[m.Name] = m.SinceEpoch, ActNone
		}
		if s, ok := c.coordinator.NextStep(m.Name, w.enrolledAt(len(w.log)-1), c.done[m.Name]); ok {
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

// carryOut writes a step, or sends its instruction; that may be long after the decision.
func (w *world) carryOut(k int) {
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
	if w.disabled.inForce(ruleToken) && (c.token != w.token || version != w.newest().version && w.docVersion() != version) {
		w.logf("candidate %d: step fenced", k)
		return
	}
	v := w.commit(func(n *documents) { n.doc = *s.Next })
	w.logf("candidate %d writes epoch %d: %v", k, s.Next.Epoch, states(*s.Next))
	if w.pick(5) > 0 {
		c.coordinator.DocumentWritten(*s.Next, v)
	} else if c.token == w.token { // the answer is lost: the candidate reads anew
		n := w.newest()
		c.coordinator.BeginTerm(c.token, n.doc, n.version)
	}
}

// docVersion is the version of the map's document alone.
func (w *world) docVersion() uint64 {
	for i := len(w.log) - 1; i > 0; i-- {
		if w.log[i].doc.Epoch != w.log[i-1].doc.Epoch {
			return w.log[i].version
		}
	}
	return w.log[0].version
}

func states(d Document) (out []string) {
	for _, m := range d.Moves {
		out = append(out, m.Name+" "+string(m.State))
	}
	return out
}

// perform delivers an instruction to the clusters. Each candidate that has the move in that state takes the act to be done.
func (w *world) perform(n int) {
	i := w.instructions[n]
	w.instructions = slices.Delete(w.instructions, n, n+1)
	if w.disabled.inForce(ruleActOrder) && !i.Newer(w.last) {
		return
	}
	if i.Newer(w.last) {
		w.last = i
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

// beginWrite admits one more write at a router; nil: it was rejected.
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

// alive reports whether a write's router still is the process that admitted it.
func (w *world) alive(c *clientWrite) bool { return w.routers[c.router].Instance == c.instance }

func (w *world) send(c *clientWrite) {
	if c.ended || c.inFlight || c.answered || !w.alive(c) {
		return
	}
	if _, ok := w.routers[c.router].AuthorizeSend(c.write); ok {
		c.inFlight = true
		home, _ := w.newest().doc.Home("k")
		if w.disabled.inForce(ruleOneHome) && home != c.write.Home {
			w.violation = fmt.Sprintf("write %d was sent to %d when its range had moved to %d", c.id, c.write.Home, home)
		}
	} else {
		c.ended = true
		w.routers[c.router].EndWrite(c.write)
	}
}

// run makes a server carry a write out, whenever it arrives.
func (w *world) run(c *clientWrite) {
	if !c.inFlight {
		return
	}
	c.inFlight, c.answered = false, true
	home := c.write.Home
	if !w.disabled.inForce(ruleOneHome) {
		home, _, _ = w.routers[c.router].Home("k")
	}
	w.data[home][c.id] = true
	c.ranAt = append(c.ranAt, home)
	w.logf("write %d of %s runs at %d", c.id, c.instance, home)
}

// answer delivers the answer to a write to its router: the write is served if the answer counts. If the answer is lost, the write is sent
// once more, as a write that servers recognize when it is repeated.
func (w *world) answer(c *clientWrite, lost bool) {
	if !c.answered || c.ended || !w.alive(c) {
		return
	}
	c.answered = false
	if lost && !c.resent {
		c.resent = true
		return
	}
	c.ended = true
	c.served = !lost && w.routers[c.router].AnswerCounts(c.write)
	w.routers[c.router].EndWrite(c.write)
	if c.served {
		w.logf("write %d is served", c.id)
	}
}

// violated returns which invariant is violated; "": none.
func (w *world) violated() string {
	if w.violation != "" {
		return w.violation
	}
	home, _ := w.newest().doc.Home("k")
	for _, c := range w.writes {
		if c.served && !w.data[home][c.id] {
			return fmt.Sprintf("write %d was served and is not in its home %d", c.id, home)
		}
		if slices.Contains(c.ranAt, 0) && slices.Contains(c.ranAt, 1) {
			return fmt.Sprintf("write %d ran in both clusters", c.id)
		}
	}
	return ""
}

// newWorld returns a world of two routers that have enrolled, and two candidates of which the first leads.
func newWorld(pick func(int) int, disabled disabledRules) *world {
	w := &world{disabled: disabled, pick: pick, leader: -1, data: [2]map[int]bool{{}, {}}, routers: make([]*Router, 2), seen: make([]int, 2)}
	w.log = []documents{{version: 1, doc: Document{Epoch: 1, Ranges: []Range{{Cluster: 0}}}, routers: map[string]string{}}}
	for range 2 {
		w.candidates = append(w.candidates, &candidate{coordinator: Coordinator{Term: term, MaxClockDrift: w.assumedDrift(), MaxPrepared: 6 * term, MaxFenced: 3 * term, disabled: disabled}})
	}
	for i := range w.routers {
		w.start(i, 0)
		w.enroll(i)
		w.seen[i] = len(w.log) - 1
		w.apply(i)
	}
	w.win(0)
	w.decide(0)
	w.carryOut(0)
	return w
}

// leaderOr returns the candidate that leads, or the kth if none does.
func (w *world) leaderOr(k int) int {
	if w.leader >= 0 {
		return w.leader
	}
	return k
}

// work makes the leader do its work without a fault.
func (w *world) work(k int) {
	k = w.leaderOr(k)
	w.win(k)
	w.decide(k)
	w.carryOut(k)
	if len(w.instructions) > 0 {
		w.perform(len(w.instructions) - 1)
	}
}

// follow makes a router follow the documents, and exchange a request and its grant, without a fault.
func (w *world) follow(i, k int) {
	w.seen[i] = len(w.log) - 1
	w.apply(i)
	w.exchange(i, w.leaderOr(k))
}
