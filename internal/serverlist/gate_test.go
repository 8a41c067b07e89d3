package serverlist_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/serverlist"
)

const s = time.Second

var gatePolicy = serverlist.Policy{SettleTime: s, RemovalSettleTime: 2 * s, HoldTime: 30 * s, MaxLossShare: 0.4, MaxGenerations: 3}

// inForce is the list against which candidates are judged.
var inForce = list("a", "b", "c", "d", "e", "x/1")

// judgement is a candidate, and what becomes of it.
type judgement struct {
	to       []serverlist.Server
	change   func(*serverlist.Candidate)
	outcome  serverlist.Outcome
	reason   string
	acceptAt time.Duration
}

var judgements = map[string]judgement{
	"the same":                   {inForce, nil, serverlist.Unchanged, "", 0},
	"one more":                   {list("a", "b", "c", "d", "e", "f", "x/1"), nil, serverlist.Held, "it has no seal", s},
	"one more, cut":              {list("a", "b", "c", "d", "e", "f", "x/1"), truncated, serverlist.Held, "it has no seal, and line 9 has no line end", 0},
	"one more, cut in its seal":  {list("a", "b", "c", "d", "e", "f", "x/1"), truncatedButSealed, serverlist.Accepted, "", 0},
	"one changes its cluster":    {list("a", "b", "c", "d", "e/1", "x/1"), nil, serverlist.Held, "it has no seal, and moves e from cluster 0 to cluster 1", 0},
	"the same, sealed":           {list("a", "b", "c", "d", "e/1", "x/1"), sealed, serverlist.Accepted, "", 0},
	"one more, sealed":           {list("a", "b", "c", "d", "e", "f", "x/1"), sealed, serverlist.Accepted, "", 0},
	"one less":                   {list("a", "b", "c", "d", "x/1"), nil, serverlist.Held, "it has no seal, and may not be whole", 2 * s},
	"one less, sealed":           {list("a", "b", "c", "d", "x/1"), sealed, serverlist.Accepted, "", 0},
	"one moves":                  {list("a", "b", "c", "d", "e@y", "x/1"), nil, serverlist.Held, "it has no seal, and may not be whole", 2 * s},
	"three less, sealed":         {list("a", "b", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
	"three move, sealed":         {list("a", "b", "c@1x", "d@1y", "e@1z", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
	"three drain, sealed":        {list("a", "b", "c!", "d!", "e!", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
	"three less, confirmed":      {list("a", "b", "x/1"), confirms(inForce), serverlist.Accepted, "", 0},
	"confirmed against another":  {list("a", "b", "x/1"), confirms(list("a")), serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
	"a cluster emptied":          {list("a", "b", "c", "d", "e"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
	"a cluster all drained":      {list("a", "b", "c", "d", "e", "x/1!"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
	"a cluster's only one moves": {list("a", "b", "c", "d", "e", "x@y/1"), sealed, serverlist.Accepted, "", 0},
	"a cluster moves":            {list("a", "b", "c", "d", "e", "x/2"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
	"nobody":                     {list(), sealed, serverlist.Held, "no server is listed", 0},
	"nobody, confirmed":          {list(), confirms(inForce), serverlist.Accepted, "", 0},
	"wrong":                      {nil, func(c *serverlist.Candidate) { c.Err = errors.New("line 3") }, serverlist.Rejected, "line 3", 0},
}

// What is done with a candidate depends on what it removes and on what vouches for it.
func TestGateJudges(t *testing.T) {
	for name, c := range judgements {
		t.Run(name, func(t *testing.T) {
			g := serverlist.NewGate(gatePolicy)
			if d := g.Offer(0, offer(inForce, nil)); d.Outcome != serverlist.Accepted || d.Generation.Number != 1 {
				t.Fatalf("the first list is %v", d.Outcome)
			}
			candidate := offer(c.to, c.change)
			d := g.Offer(0, candidate)
			if d.Outcome != c.outcome || d.Reason != c.reason || d.AcceptAt != c.acceptAt || g.NextTimer() != c.acceptAt {
				t.Errorf("got %v (%s) until %v, due %v", d.Outcome, d.Reason, d.AcceptAt, g.NextTimer())
			}
			want := inForce
			if c.outcome == serverlist.Accepted {
				want = c.to
			}
			if diff := cmp.Diff(want, g.Current().Servers); diff != "" {
				t.Error(diff)
			}
			if c.outcome == serverlist.Held {
				checkHeld(t, g, candidate, c.acceptAt)
			}
		})
	}
}

// checkHeld checks that a candidate is accepted at its time and not before; 0: never.
func checkHeld(t *testing.T, g *serverlist.Gate, candidate serverlist.Candidate, acceptAt time.Duration) {
	t.Helper()
	if acceptAt == 0 {
		if d := g.HandleTimer(1000 * time.Hour); d.Outcome != serverlist.Idle {
			t.Errorf("it is %v by waiting", d.Outcome)
		}
		return
	}
	if d := g.HandleTimer(acceptAt - 1); d.Outcome != serverlist.Idle {
		t.Errorf("it is %v before its time", d.Outcome)
	}
	if d := g.Offer(acceptAt-1, candidate); d.Outcome != serverlist.Held || d.AcceptAt != acceptAt {
		t.Errorf("read again it is %v until %v", d.Outcome, d.AcceptAt)
	}
	if d := g.HandleTimer(acceptAt); d.Outcome != serverlist.Accepted || d.Generation.Number != 2 {
		t.Errorf("at its time it is %v", d.Outcome)
	}
}

// A held candidate must be gone once its file holds something else, whatever that is.
func TestHeldGivesWay(t *testing.T) {
	base := list("a", "b", "c")
	for name, next := range map[string]func(*serverlist.Gate) serverlist.Decision{
		"another": func(g *serverlist.Gate) serverlist.Decision { return g.Offer(1, offer(list("a", "b", "c", "e"), nil)) },
		"a bad one": func(g *serverlist.Gate) serverlist.Decision {
			return g.Offer(1, offer(nil, func(c *serverlist.Candidate) { c.Err = errors.New("bad") }))
		},
		"the one in force": func(g *serverlist.Gate) serverlist.Decision { return g.Offer(1, offer(base, nil)) },
		"none":             func(g *serverlist.Gate) serverlist.Decision { return g.Withdraw(1, "no such file") },
		"seals wanted": func(g *serverlist.Gate) serverlist.Decision {
			return g.SetPolicy(1, serverlist.Policy{RequireSeal: true})
		},
	} {
		g := serverlist.NewGate(gatePolicy)
		g.Offer(0, offer(base, nil))
		g.Offer(0, offer(list("a", "b"), nil))
		if _, held := g.Pending(); !held {
			t.Fatal("nothing is held")
		}
		next(g)
		if d := g.HandleTimer(2 * s); d.Outcome == serverlist.Accepted && len(d.Generation.Servers) == 2 {
			t.Errorf("%s: the held list is taken all the same", name)
		}
	}
}

// gateModel is what a test knows of a gate that it drives.
type gateModel struct {
	gate     *serverlist.Gate
	now      time.Duration
	number   uint64 // of the generation in force
	servers  []serverlist.Server
	standing *serverlist.Candidate // that the file holds; nil: there is no file
	since    time.Duration         // the candidate stands
}

// Whatever comes in whatever order: the list in force is one that was offered whole; no list empties a cluster unless it is
// confirmed; an unsealed one has stood for its time; numbers only grow and the history is bounded.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{gate: serverlist.NewGate(gatePolicy)}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if d := m.step(t); d.Outcome == serverlist.Accepted {
				m.checkAccepted(t, d.Generation)
				m.servers, m.number = d.Generation.Servers, d.Generation.Number
			}
			current, history := m.gate.Current(), m.gate.History()
			if current != nil && cmp.Diff(m.servers, current.Servers) != "" || len(history) > gatePolicy.MaxGenerations {
				t.Fatalf("in force is %v, and should be %v; %d are kept", current, m.servers, len(history))
			}
		}
	})
}

// step offers a candidate, lets time pass, or removes the file.
func (m *gateModel) step(t *rapid.T) serverlist.Decision {
	names := []string{"a", "b", "c", "d/1", "e/1", "f@x", "f@y", "g@z/2"}
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0, 1:
		m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
		pick := rapid.SliceOfDistinct(rapid.SampledFrom(names), func(w string) string { return w[:1] }).Draw(t, "list")
		c := offer(list(pick...), nil)
		switch rapid.IntRange(0, 3).Draw(t, "seal") {
		case 0:
			sealed(&c)
		case 1:
			confirms(m.servers)(&c)
		}
		m.standing, m.since = &c, m.now
		return m.gate.Offer(m.now, c)
	case 2:
		m.now += time.Duration(rapid.IntRange(0, 40000).Draw(t, "wait")) * time.Millisecond
		return m.gate.HandleTimer(m.now)
	}
	m.standing = nil
	return m.gate.Withdraw(m.now, "gone")
}

// checkAccepted checks a generation that has just replaced the one in force.
func (m *gateModel) checkAccepted(t *rapid.T, next *serverlist.Generation) {
	switch {
	case m.standing == nil || cmp.Diff(m.standing.Servers, next.Servers) != "":
		t.Fatalf("%v is taken, which no file holds", next.Servers)
	case !m.standing.Sealed && m.number > 0 && m.now < m.since+gatePolicy.SettleTime:
		t.Fatalf("an unsealed list is taken after %v", m.now-m.since)
	case next.Number <= m.number:
		t.Fatalf("generation %d follows %d", next.Number, m.number)
	case m.standing.Sealed && m.standing.Confirms == serverlist.Digest(m.servers):
		return // confirmed: it may empty a cluster
	}
	left := map[int]int{}
	for _, x := range next.Servers {
		left[x.Cluster]++
	}
	for _, x := range m.servers {
		if left[x.Cluster] == 0 {
			t.Fatalf("cluster %d is emptied", x.Cluster)
		}
	}
}
