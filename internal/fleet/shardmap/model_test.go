package shardmap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	term   = 900 * time.Millisecond
	drift  = 100 * time.Millisecond
	office = 1500 * time.Millisecond // a tenure from its last renewal
)

// copied is the shared documents as of a version.
type copied struct {
	version uint64
	doc     Document
	routers map[string]string
}

// client is a write on its way: taken in, sent, run or not, answered or not.
type client struct {
	id, router int
	life       string
	w          *Write
	ran        []int // clusters
	out        bool  // at a server, or on the way there
	answer     bool
	ended      bool
	served     bool
	resent     bool
}

// candidate is a process that stands for the duty.
type candidate struct {
	h     Coordinator
	until time.Time // its own view of its tenure
	acted map[string]Act
	since map[string]uint64
	step  *Step // decided, and not written or done yet
	token uint64
}

// world is two clusters, some routers and candidates, and the stewards' log between them.
type world struct {
	out     disabledRules
	pick    func(n int) int // one of n
	log     []copied
	held    int // the candidate that the stewards hold to be in office
	free    time.Time
	token   uint64
	routers []*Router
	seen    []int // what each router's copy is as of, an index in log
	lives   int
	cands   []*candidate
	asks    []Request
	grants  []Grant
	writes  []*client
	data    [2]map[int]bool // the writes that a cluster has of the range
	acts    []Instruction
	last    Instruction // the newest act carried out
	trace   []string
	broken  string // a fault found on the way
}

func (w *world) say(f string, args ...any) {
	w.trace = append(w.trace, time.Now().Format("05.000 ")+fmt.Sprintf(f, args...))
}

func (w *world) between(least, most int) int { return least + w.pick(most-least+1) }

func oneOf[T any](w *world, from []T) T { return from[w.pick(len(from))] }

func (w *world) now() copied { return w.log[len(w.log)-1] }

func (w *world) commit(change func(c *copied)) uint64 {
	c := w.now()
	c.version++
	c.routers = map[string]string{}
	for k, v := range w.now().routers {
		c.routers[k] = v
	}
	change(&c)
	w.log = append(w.log, c)
	return c.version
}

// off is a clock's fault: to leave the drift out is to have a clock that is off by all of it.
func (w *world) off() time.Duration {
	return oneOf(w, []time.Duration{0, drift})
}

// start is a new life of a router, from a copy that may be old.
func (w *world) start(i int, from int) {
	w.lives++
	w.routers[i] = &Router{Name: fmt.Sprint("r", i), Instance: fmt.Sprint("life", w.lives), Term: term, MaxClockDrift: w.off(), disabled: w.out}
	w.seen[i] = from
	w.apply(i)
}

func (w *world) apply(i int) {
	c := w.log[w.seen[i]]
	r := w.routers[i]
	r.Apply(c.doc, c.version, c.routers[r.Name] == r.Instance)
}

func (w *world) enrol(i int) {
	r := w.routers[i]
	v := w.commit(func(c *copied) { c.routers[r.Name] = r.Instance })
	r.SetEnrolled(v)
}

func (w *world) enrolledAt(at int) Enrollment {
	return Enrollment{Version: w.log[at].version, Instances: w.log[at].routers}
}

// take has a candidate win the duty, if the stewards may give it.
func (w *world) take(k int) {
	c := w.cands[k]
	if k != w.held {
		if time.Now().Before(w.free) {
			return
		}
		w.token++
		w.held = k
		c.token = w.token
		c.step, c.acted, c.since = nil, map[string]Act{}, map[string]uint64{}
		n := w.now()
		c.h.BeginTerm(c.token, n.doc, n.version)
		w.say("holder %d takes office, token %d", k, c.token)
	}
	c.until = time.Now().Add(office - drift)
	w.free = time.Now().Add(office + drift)
}

// release has whoever is in office leave it early, as at its end.
func (w *world) release() {
	if w.held >= 0 {
		w.cands[w.held].until, w.free, w.held = time.Now(), time.Now(), -1
	}
}

// exchange is an ask of a router, heard and answered at once.
func (w *world) exchange(i, k int) {
	if a, _, ok := w.routers[i].NextRequest(); ok {
		if g, ok := w.cands[k].h.HandleRequest(a, w.cands[k].until); ok {
			w.routers[i].ApplyGrant(g)
		}
	}
}

// decide has a candidate that thinks itself in office find the next step.
func (w *world) decide(k int) {
	c := w.cands[k]
	d, _ := c.h.Document()
	if c.step != nil || w.out.inForce(ruleLeaderOnly) && !time.Now().Before(c.until) || c.token == 0 {
		return
	}
	for _, m := range d.Moves {
		if c.since[m.Name] != m.SinceEpoch {
			c.since[m.Name], c.acted[m.Name] = m.SinceEpoch, ActNone
		}
		if s, ok := c.h.NextStep(m.Name, w.enrolledAt(len(w.log)-1), c.acted[m.Name]); ok {
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

// carry writes a step, or tells its act; it may come long after the decision.
func (w *world) carry(k int) {
	c := w.cands[k]
	if c.step == nil {
		return
	}
	s := *c.step
	c.step = nil
	if s.Next == nil {
		i := c.h.Instruct(s)
		w.acts = append(w.acts, i)
		if w.pick(2) == 0 {
			w.acts = append(w.acts, i)
		}
		return
	}
	_, version := c.h.Document()
	if w.out.inForce(ruleToken) && (c.token != w.token || version != w.now().version && w.docVersion() != version) {
		w.say("holder %d: step fenced", k)
		return
	}
	v := w.commit(func(n *copied) { n.doc = *s.Next })
	w.say("holder %d writes epoch %d: %v", k, s.Next.Epoch, states(*s.Next))
	if w.pick(5) > 0 {
		c.h.DocumentWritten(*s.Next, v)
	} else if c.token == w.token { // an answer that never came: it reads anew
		n := w.now()
		c.h.BeginTerm(c.token, n.doc, n.version)
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

// perform is an act that reaches the clusters. Each holder that still is in the state takes it for done.
func (w *world) perform(n int) {
	i := w.acts[n]
	w.acts = slices.Delete(w.acts, n, n+1)
	if w.out.inForce(ruleActOrder) && !i.Newer(w.last) {
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
		w.say("%s of %s by token %d: %d writes", i.Act, i.Move.Name, i.Token, len(to))
	}
	for _, c := range w.cands {
		if c.token == i.Token && c.since[i.Move.Name] == i.Move.SinceEpoch {
			c.acted[i.Move.Name] = i.Act
		}
	}
}

// request takes one more write in at a router.
func (w *world) request(i int) *client {
	r := w.routers[i]
	wr, _ := r.BeginWrite("k", time.Now().Add(2*term))
	if wr == nil {
		return nil
	}
	c := &client{id: len(w.writes), router: i, life: r.Instance, w: wr}
	w.writes = append(w.writes, c)
	return c
}

// alive tells whether a write's router is the process that took it in.
func (w *world) alive(c *client) bool { return w.routers[c.router].Instance == c.life }

func (w *world) send(c *client) {
	if c.ended || c.out || c.answer || !w.alive(c) {
		return
	}
	if _, ok := w.routers[c.router].AuthorizeSend(c.w); ok {
		c.out = true
		home, _ := w.now().doc.Home("k")
		if w.out.inForce(ruleOneHome) && home != c.w.Home {
			w.broken = fmt.Sprintf("write %d was sent to %d when its range had moved to %d", c.id, c.w.Home, home)
		}
	} else {
		c.ended = true
		w.routers[c.router].EndWrite(c.w)
	}
}

// run is a server that carries a write out, whenever it comes.
func (w *world) run(c *client) {
	if !c.out {
		return
	}
	c.out, c.answer = false, true
	home := c.w.Home
	if !w.out.inForce(ruleOneHome) {
		home, _, _ = w.routers[c.router].Home("k")
	}
	w.data[home][c.id] = true
	c.ran = append(c.ran, home)
	w.say("write %d of %s runs at %d", c.id, c.life, home)
}

// hear is an answer that reaches its router: served if it is believed; or it was lost, and a write that is dropped where it is
// repeated goes out again.
func (w *world) hear(c *client, lost bool) {
	if !c.answer || c.ended || !w.alive(c) {
		return
	}
	c.answer = false
	if lost && !c.resent {
		c.resent = true
		return
	}
	c.ended = true
	c.served = !lost && w.routers[c.router].AnswerCounts(c.w)
	w.routers[c.router].EndWrite(c.w)
	if c.served {
		w.say("write %d is served", c.id)
	}
}

// fault is what must never be.
func (w *world) fault() string {
	if w.broken != "" {
		return w.broken
	}
	home, _ := w.now().doc.Home("k")
	for _, c := range w.writes {
		if c.served && !w.data[home][c.id] {
			return fmt.Sprintf("write %d was served and is not in its home %d", c.id, home)
		}
		if slices.Contains(c.ran, 0) && slices.Contains(c.ran, 1) {
			return fmt.Sprintf("write %d ran in both clusters", c.id)
		}
	}
	return ""
}

// play is one history of small size, and the fault that it ends in.
func play(pick func(int) int, out disabledRules, steps int) (fault string, w *world) {
	w = &world{out: out, pick: pick, held: -1, data: [2]map[int]bool{{}, {}}, routers: make([]*Router, 2), seen: make([]int, 2)}
	w.log = []copied{{version: 1, doc: Document{Epoch: 1, Ranges: []Range{{Cluster: 0}}}, routers: map[string]string{}}}
	for range 2 {
		w.cands = append(w.cands, &candidate{h: Coordinator{Term: term, MaxClockDrift: w.off(), MaxPrepared: 6 * term, MaxFenced: 3 * term, disabled: out}})
	}
	for i := range w.routers {
		w.start(i, 0)
		w.enrol(i)
		w.seen[i] = len(w.log) - 1
		w.apply(i)
	}
	w.take(0)
	w.decide(0)
	w.carry(0)
	works := func(k int) { // a holder does its work without a fault
		if w.held >= 0 {
			k = w.held
		}
		w.take(k)
		w.decide(k)
		w.carry(k)
		if len(w.acts) > 0 {
			w.perform(len(w.acts) - 1)
		}
	}
	hears := func(i, k int) { // and a router
		w.seen[i] = len(w.log) - 1
		w.apply(i)
		if w.held >= 0 {
			k = w.held
		}
		w.exchange(i, k)
	}
	for range w.pick(3) { // begin further on: known to all, or fenced and known to none
		hears(0, 0)
		hears(1, 0)
		works(0)
		works(0)
	}
	acts := []struct {
		weight int
		do     func(i, k int)
	}{
		{4, func(int, int) {
			time.Sleep(oneOf(w, []time.Duration{term / 10, term / 3, term, 2 * term}))
		}},
		{1, func(_, k int) { w.take(k) }},
		{1, func(_, k int) {
			if w.held >= 0 && w.pick(2) == 0 { // with a step decided, and not carried out yet
				w.decide(w.held)
			}
			w.release()
			if w.pick(2) == 0 {
				w.take(k)
			}
		}},
		{14, func(_, k int) { works(k) }},
		{1, func(_, k int) { w.decide(k) }},
		{1, func(_, k int) { w.carry(k) }},
		{1, func(int, int) {
			if len(w.acts) > 0 {
				w.perform(w.pick(len(w.acts)))
			}
		}},
		{12, hears},
		{4, func(i, k int) {
			if w.held >= 0 && w.pick(2) == 0 {
				k = w.held
			}
			w.exchange(i, k)
		}},
		{1, func(i, _ int) {
			w.seen[i] = w.between(w.seen[i], len(w.log)-1)
			w.apply(i)
		}},
		{2, func(i, _ int) {
			if a, _, ok := w.routers[i].NextRequest(); ok {
				w.asks = append(w.asks, a)
			}
		}},
		{2, func(_, k int) {
			if len(w.asks) > 0 {
				if g, ok := w.cands[k].h.HandleRequest(w.asks[max(0, len(w.asks)-1-w.pick(4))], w.cands[k].until); ok {
					w.grants = append(w.grants, g)
				}
			}
		}},
		{2, func(i, _ int) {
			if len(w.grants) > 0 {
				w.routers[i].ApplyGrant(w.grants[max(0, len(w.grants)-1-w.pick(4))])
			}
		}},
		{1, func(i, _ int) {
			w.start(i, w.between(max(0, len(w.log)-5), len(w.log)-1))
			w.say("%s starts from version %d", w.routers[i].Instance, w.log[w.seen[i]].version)
		}},
		{2, func(i, _ int) {
			if w.now().routers[w.routers[i].Name] != w.routers[i].Instance {
				w.enrol(i)
			}
		}},
		{6, func(i, _ int) { // a write without a fault
			if c := w.request(i); c != nil {
				w.send(c)
				w.run(c)
				w.hear(c, false)
			}
		}},
		{2, func(i, _ int) {
			if c := w.request(i); c != nil && (w.pick(2) == 0) {
				w.send(c)
			}
		}},
		{4, func(int, int) {
			if len(w.writes) == 0 {
				return
			}
			c := w.writes[max(0, len(w.writes)-1-w.pick(4))]
			w.send(c)
			if w.pick(2) == 0 {
				w.run(c)
			}
			if w.pick(2) == 0 {
				w.hear(c, w.pick(4) == 0)
			}
		}},
	}
	var deck []int
	for n, a := range acts {
		for range a.weight {
			deck = append(deck, n)
		}
	}
	for range steps {
		i, k := w.pick(2), w.pick(2)
		acts[oneOf(w, deck)].do(i, k)
		if fault := w.fault(); fault != "" {
			return fault, w
		}
	}
	return "", w
}

// drawn picks by rapid's single bits: its integers prefer small ones.
func drawn(t *rapid.T) func(int) int {
	return func(n int) (at int) {
		for range 10 {
			at <<= 1
			if rapid.Bool().Draw(t, "bit") {
				at++
			}
		}
		return at % n
	}
}

// bubble plays a history on a clock of its own; rapid draws within it, and what its draws panic with has to come out of it.
func bubble(outer *testing.T, pick func(int) int, out disabledRules, steps int) (fault string, w *world) {
	var thrown any
	synctest.Test(outer, func(*testing.T) {
		defer func() { thrown = recover() }()
		fault, w = play(pick, out, steps)
	})
	if thrown != nil {
		panic(thrown)
	}
	return fault, w
}

// No history of two routers, two holders and moves to and fro loses a served write or runs one in both clusters.
func TestMoves(t *testing.T) {
	reached := map[State]int{}
	served := 0
	for range 10 {
		rapid.Check(t, func(rt *rapid.T) {
			fault, w := bubble(t, drawn(rt), 0, 200)
			if fault != "" {
				rt.Fatalf("%s\n%s", fault, strings.Join(w.trace, "\n"))
			}
			for _, m := range w.now().doc.Moves {
				reached[m.State]++
			}
			for _, c := range w.writes {
				if c.served {
					served++
				}
			}
		})
	}
	t.Logf("moves by their last state: %v; %d writes served", reached, served)
	if reached[Done] == 0 || reached[Undone] == 0 || served == 0 {
		t.Error("the histories reach too little")
	}
}

// Each rule is needed: without it some history ends in a fault.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, r := range map[string]rule{"enrolled": ruleEnrolled, "armed": ruleAllAcknowledge, "right": ruleRight, "fence": ruleFence, "asked": ruleRightFromRequest,
		"newest": ruleNewestEpoch, "office": ruleLeaderOnly, "wait": ruleDrain, "anew": ruleFreshWait, "inFlight": ruleInFlight, "late": ruleLateAnswer,
		"home": ruleOneHome, "token": ruleToken, "acts": ruleActOrder} {
		t.Run(name, func(t *testing.T) {
			found, plays := "", 0
			for ; plays < 20000 && found == ""; plays++ {
				found, _ = bubble(t, rand.New(rand.NewPCG(uint64(plays), 30)).IntN, disabledRules(r), 200)
			}
			if found == "" {
				t.Fatalf("no fault in %d histories", plays)
			}
			t.Logf("after %d histories: %s", plays, found)
		})
	}
}
