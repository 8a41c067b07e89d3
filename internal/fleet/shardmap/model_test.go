package shardmap

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// weightedAct is what may happen next, to a router i and a candidate k, and how often in comparison with others.
type weightedAct struct {
	weight int
	do     func(i, k int)
}

// acts returns what may happen.
func (w *world) acts() []weightedAct {
	return slices.Concat(w.candidateActs(), w.messageActs(), w.routerActs(), w.writeActs())
}

// candidateActs returns the acts of time and of candidates.
func (w *world) candidateActs() []weightedAct {
	return []weightedAct{
		{4, func(int, int) {
			time.Sleep(oneOf(w, []time.Duration{term / 10, term / 3, term, 2 * term}))
		}},
		{1, func(_, k int) { w.win(k) }},
		{1, func(_, k int) {
			if w.leader >= 0 && w.pick(2) == 0 { // with a step decided, and not carried out yet
				w.decide(w.leader)
			}
			w.release()
			if w.pick(2) == 0 {
				w.win(k)
			}
		}},
		{14, func(_, k int) { w.work(k) }},
		{1, func(_, k int) { w.decide(k) }},
		{1, func(_, k int) { w.carryOut(k) }},
		{1, func(int, int) {
			if len(w.instructions) > 0 {
				w.perform(w.pick(len(w.instructions)))
			}
		}},
	}
}

// messageActs returns the acts of messages between routers and candidates.
func (w *world) messageActs() []weightedAct {
	return []weightedAct{
		{12, w.follow},
		{4, func(i, k int) {
			if w.leader >= 0 && w.pick(2) == 0 {
				k = w.leader
			}
			w.exchange(i, k)
		}},
		{2, func(i, _ int) {
			if a, _, ok := w.routers[i].NextRequest(); ok {
				w.requests = append(w.requests, a)
			}
		}},
		{2, func(_, k int) {
			if len(w.requests) > 0 {
				if g, ok := w.candidates[k].coordinator.HandleRequest(w.requests[max(0, len(w.requests)-1-w.pick(4))], w.candidates[k].until); ok {
					w.grants = append(w.grants, g)
				}
			}
		}},
		{2, func(i, _ int) {
			if len(w.grants) > 0 {
				w.routers[i].ApplyGrant(w.grants[max(0, len(w.grants)-1-w.pick(4))])
			}
		}},
	}
}

// routerActs returns the acts of routers alone.
func (w *world) routerActs() []weightedAct {
	return []weightedAct{
		{1, func(i, _ int) {
			w.seen[i] = w.between(w.seen[i], len(w.log)-1)
			w.apply(i)
		}},
		{1, func(i, _ int) {
			w.start(i, w.between(max(0, len(w.log)-5), len(w.log)-1))
			w.logf("%s starts from version %d", w.routers[i].Instance, w.log[w.seen[i]].version)
		}},
		{2, func(i, _ int) {
			if w.newest().routers[w.routers[i].Name] != w.routers[i].Instance {
				w.enroll(i)
			}
		}},
	}
}

// writeActs returns the acts of writes.
func (w *world) writeActs() []weightedAct {
	return []weightedAct{
		{6, func(i, _ int) { // a write without a fault
			if c := w.beginWrite(i); c != nil {
				w.send(c)
				w.run(c)
				w.answer(c, false)
			}
		}},
		{2, func(i, _ int) {
			if c := w.beginWrite(i); c != nil && (w.pick(2) == 0) {
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
				w.answer(c, w.pick(4) == 0)
			}
		}},
	}
}

// play plays one small history, and returns the violation of an invariant that it ends in; "": none.
func play(pick func(int) int, disabled disabledRules, steps int) (violation string, w *world) {
	w = newWorld(pick, disabled)
	for range w.pick(3) { // begin later: known to all, or fenced and known to none
		w.follow(0, 0)
		w.follow(1, 0)
		w.work(0)
		w.work(0)
	}
	acts := w.acts()
	var deck []int // each act as often as its weight
	for n, act := range acts {
		for range act.weight {
			deck = append(deck, n)
		}
	}
	for range steps {
		i := w.pick(2)
		k := w.pick(2)
		acts[oneOf(w, deck)].do(i, k)
		if violation := w.violated(); violation != "" {
			return violation, w
		}
	}
	return "", w
}

// drawn picks by rapid's single bits, as its integers prefer small ones.
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

// bubble plays a history on a clock of its own. rapid draws within the bubble, and a panic of its draws must leave the bubble.
func bubble(outer *testing.T, pick func(int) int, disabled disabledRules, steps int) (fault string, w *world) {
	var thrown any
	synctest.Test(outer, func(*testing.T) {
		defer func() { thrown = recover() }()
		fault, w = play(pick, disabled, steps)
	})
	if thrown != nil {
		panic(thrown)
	}
	return fault, w
}

// No history of two routers, two candidates and moves in both directions loses a served write or runs one in both clusters.
func TestMoves(t *testing.T) {
	reached := map[State]int{}
	served := 0
	for range 10 {
		rapid.Check(t, func(rt *rapid.T) {
			fault, w := bubble(t, drawn(rt), 0, 200)
			if fault != "" {
				rt.Fatalf("%s\n%s", fault, strings.Join(w.trace, "\n"))
			}
			for _, m := range w.newest().doc.Moves {
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

// Each rule is needed: while it is disabled some history violates an invariant.
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
				t.Fatalf("no violation in %d histories", plays)
			}
			t.Logf("after %d histories: %s", plays, found)
		})
	}
}
