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

// weightedEvent is a possible event of a history. do executes it for router i and candidate k; weight is its relative frequency.
type weightedEvent struct {
	weight int
	do     func(i, k int)
}

// events returns all possible events.
func (w *world) events() []weightedEvent {
	return slices.Concat(w.candidateEvents(), w.messageEvents(), w.routerEvents(), w.writeEvents())
}

// candidateEvents returns the passing of time and the events of candidates.
func (w *world) candidateEvents() []weightedEvent {
	return []weightedEvent{
		{4, func(int, int) {
			time.Sleep(pickElement(w, []time.Duration{term / 10, term / 3, term, 2 * term}))
		}},
		{1, func(_, k int) { w.acquireLeadership(k) }},
		{1, func(_, k int) {
			if w.leader >= 0 && w.pick(2) == 0 { // leaves a step that is decided but not executed
				w.decideStep(w.leader)
			}
			w.releaseLeadership()
			if w.pick(2) == 0 {
				w.acquireLeadership(k)
			}
		}},
		{14, func(_, k int) { w.runLeaderOnce(k) }},
		{1, func(_, k int) { w.decideStep(k) }},
		{1, func(_, k int) { w.executeStep(k) }},
		{1, func(int, int) {
			if len(w.instructions) > 0 {
				w.deliverInstruction(w.pick(len(w.instructions)))
			}
		}},
	}
}

// messageEvents returns the events of messages between routers and candidates.
func (w *world) messageEvents() []weightedEvent {
	return []weightedEvent{
		{12, w.syncRouter},
		{4, func(i, k int) {
			if w.leader >= 0 && w.pick(2) == 0 {
				k = w.leader
			}
			w.exchangeMessages(i, k)
		}},
		{2, func(i, _ int) {
			if request, _, ok := w.routers[i].NextRequest(); ok {
				w.requests = append(w.requests, request)
			}
		}},
		{2, func(_, k int) {
			if len(w.requests) > 0 {
				if g, ok := w.candidates[k].coordinator.HandleRequest(w.requests[max(0, len(w.requests)-1-w.pick(4))], w.candidates[k].leadsUntil); ok {
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

// routerEvents returns the events of single routers.
func (w *world) routerEvents() []weightedEvent {
	return []weightedEvent{
		{1, func(i, _ int) {
			w.replicaIndex[i] = w.pickBetween(w.replicaIndex[i], len(w.log)-1)
			w.applyReplica(i)
		}},
		{1, func(i, _ int) {
			w.startRouter(i, w.pickBetween(max(0, len(w.log)-5), len(w.log)-1))
			w.logf("%s starts from version %d", w.routers[i].Instance, w.log[w.replicaIndex[i]].version)
		}},
		{2, func(i, _ int) {
			if w.latest().routers[w.routers[i].Name] != w.routers[i].Instance {
				w.enrollRouter(i)
			}
		}},
	}
}

// writeEvents returns the events of writes.
func (w *world) writeEvents() []weightedEvent {
	return []weightedEvent{
		{6, func(i, _ int) { // writes without a fault
			if c := w.beginWrite(i); c != nil {
				w.sendWrite(c)
				w.executeWrite(c)
				w.deliverAnswer(c, false)
			}
		}},
		{2, func(i, _ int) {
			if c := w.beginWrite(i); c != nil && (w.pick(2) == 0) {
				w.sendWrite(c)
			}
		}},
		{4, func(int, int) {
			if len(w.writes) == 0 {
				return
			}
			c := w.writes[max(0, len(w.writes)-1-w.pick(4))]
			w.sendWrite(c)
			if w.pick(2) == 0 {
				w.executeWrite(c)
			}
			if w.pick(2) == 0 {
				w.deliverAnswer(c, w.pick(4) == 0)
			}
		}},
	}
}

// runHistory runs one short history and returns the first violation of an invariant, or "" if there is none.
func runHistory(pick func(int) int, disabled disabledRules, steps int) (violation string, w *world) {
	w = newWorld(pick, disabled)
	for range w.pick(3) { // may start the history with a move that all routers know, or with a fenced one that no router knows
		w.syncRouter(0, 0)
		w.syncRouter(1, 0)
		w.runLeaderOnce(0)
		w.runLeaderOnce(0)
	}
	events := w.events()
	var eventIndexes []int // contains each event as often as its weight
	for n, event := range events {
		for range event.weight {
			eventIndexes = append(eventIndexes, n)
		}
	}
	for range steps {
		i := w.pick(2)
		k := w.pick(2)
		events[pickElement(w, eventIndexes)].do(i, k)
		if violation := w.findViolation(); violation != "" {
			return violation, w
		}
	}
	return "", w
}

// pickFromBits returns a picker that combines bits drawn by rapid, because rapid's integers prefer small values.
func pickFromBits(t *rapid.T) func(int) int {
	return func(n int) (value int) {
		for range 10 {
			value <<= 1
			if rapid.Bool().Draw(t, "bit") {
				value++
			}
		}
		return value % n
	}
}

// runHistoryInBubble runs a history on the fake clock of a synctest bubble. rapid draws values within the bubble and may panic while it does;
// the panic is raised again outside the bubble, because it must leave the bubble to reach rapid.
func runHistoryInBubble(outer *testing.T, pick func(int) int, disabled disabledRules, steps int) (violation string, w *world) {
	var panicValue any
	synctest.Test(outer, func(*testing.T) {
		defer func() { panicValue = recover() }()
		violation, w = runHistory(pick, disabled, steps)
	})
	if panicValue != nil {
		panic(panicValue)
	}
	return violation, w
}

// In no history of two routers, two candidates and moves in both directions is a served write lost or a write executed in both clusters.
func TestNoHistoryViolatesInvariants(t *testing.T) {
	movesByState := map[State]int{}
	served := 0
	for range 10 {
		rapid.Check(t, func(rt *rapid.T) {
			violation, w := runHistoryInBubble(t, pickFromBits(rt), 0, 200)
			if violation != "" {
				rt.Fatalf("%s\n%s", violation, strings.Join(w.trace, "\n"))
			}
			for _, m := range w.latest().doc.Moves {
				movesByState[m.State]++
			}
			for _, c := range w.writes {
				if c.served {
					served++
				}
			}
		})
	}
	t.Logf("number of moves by final state: %v; %d writes served", movesByState, served)
	if movesByState[Done] == 0 || movesByState[Undone] == 0 || served == 0 {
		t.Error("histories lack a move that is done, one that is undone, or a served write")
	}
}

// Each rule is necessary: while it is disabled, some history violates an invariant.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, r := range map[string]rule{"enrolled": ruleEnrolled, "allAcknowledge": ruleAllAcknowledge, "writeLease": ruleWriteLease, "fence": ruleFence, "leaseFromRequest": ruleLeaseFromRequest,
		"newestEpoch": ruleNewestEpoch, "leaderOnly": ruleLeaderOnly, "drain": ruleDrain, "freshWait": ruleFreshWait, "inFlight": ruleInFlight, "lateAnswer": ruleLateAnswer,
		"oneHome": ruleOneHome, "token": ruleToken, "actOrder": ruleActOrder} {
		t.Run(name, func(t *testing.T) {
			violation, histories := "", 0
			for ; histories < 20000 && violation == ""; histories++ {
				violation, _ = runHistoryInBubble(t, rand.New(rand.NewPCG(uint64(histories), 30)).IntN, disabledRules(r), 200)
			}
			if violation == "" {
				t.Fatalf("no violation in %d histories with the rule disabled", histories)
			}
			t.Logf("after %d histories: %s", histories, violation)
		})
	}
}
