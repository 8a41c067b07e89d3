package serverlist

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"threadsail/internal/policy"
)

// Candidate is a list that might come into force.
type Candidate struct {
	Source        string
	ContentHash   uint64 // names the bytes it was read from
	Err           error  // what is wrong with it; it is turned down then
	Servers       []Server
	Sealed        bool   // a seal proves that it is whole
	EndsInNewline bool   // its text ends with a line end, as a text written whole does
	Confirms      string // digest of the list in force that whoever sealed it has compared it with
}

// Policy is how careful a gate is.
type Policy struct {
	SettleTime        time.Duration // an unsealed candidate must have stood unchanged for so long
	RemovalSettleTime time.Duration // and so long if a server leaves by it, or its last line has no end
	HoldTime          time.Duration // one that takes away too much, sealed or not; 0: until it is confirmed
	MaxLossShare      float64       // of a cluster's ready servers: more than that, and more than one, is too much
	RequireSeal       bool
	MaxGenerations    int // generations kept, the one in force included; at least 1
}

// Outcome is what a gate makes of a candidate.
type Outcome uint8

// The verdicts.
const (
	Idle      Outcome = iota // there is nothing to judge
	Unchanged                // it is the list in force
	Accepted                 // it is the list in force from now on
	Held                     // it may become that
	Rejected                 // it can't be used
	Withdrawn                // it was held, and is there no more
)

var outcomeNames = [...]string{"idle", "same", "taken", "held", "turned down", "withdrawn"}

func (v Outcome) String() string { return outcomeNames[v] }

// Decision is what follows from an event.
type Decision struct {
	Outcome    Outcome
	Reason     string        // of all but Taken and Same, in words for operators
	AcceptAt   time.Duration // Held: it is taken then, if it still stands; 0: only once it is confirmed
	Generation *Generation   // Taken: must not be changed
	Diff       Diff          // Taken, Held: against the list in force before
}

// Gate keeps the list in force and guards its way. Invariants: the list in force is one that was offered, or begun with,
// as a whole; its number only grows; no held candidate is taken before its time, nor one whose bytes have changed since.
type Gate struct {
	policy  Policy
	now     time.Duration
	history []*Generation // the newest last
	pending *pendingCandidate
}

type pendingCandidate struct {
	Candidate
	diff     Diff
	since    time.Duration
	acceptAt time.Duration // 0: only once it is confirmed
	reason   string
}

// NewGate returns a gate with the generations there were, the newest last; none: the first sound candidate is taken.
func NewGate(p Policy, history ...*Generation) *Gate {
	p.MaxGenerations = max(p.MaxGenerations, 1)
	g := &Gate{policy: p, history: slices.Clone(history)}
	g.trim()
	return g
}

// SetPolicy takes over another policy. What is held is judged by it anew, from when it came.
func (g *Gate) SetPolicy(now time.Duration, p Policy) Decision {
	g.advance(now)
	p.MaxGenerations = max(p.MaxGenerations, 1)
	g.policy = p
	g.trim()
	if h := g.pending; h != nil {
		return g.judge(h.Candidate, h.since)
	}
	return Decision{}
}

// Current is the generation in force; nil: there is none yet.
func (g *Gate) Current() *Generation {
	if len(g.history) == 0 {
		return nil
	}
	return g.history[len(g.history)-1]
}

// History is what is kept, the newest last.
func (g *Gate) History() []*Generation { return slices.Clone(g.history) }

// Pending tells what waits, if anything does.
func (g *Gate) Pending() (d Decision, ok bool) {
	if g.pending == nil {
		return d, false
	}
	return g.pending.decision(), true
}

// NextTimer is when Timer wants to be called; 0: not at all.
func (g *Gate) NextTimer() time.Duration {
	if g.pending == nil {
		return 0
	}
	return g.pending.acceptAt
}

func (g *Gate) advance(now time.Duration) { g.now = max(g.now, now) }

// Offer judges a candidate. It takes the place of what was held: that stands in its file no more.
func (g *Gate) Offer(now time.Duration, c Candidate) Decision {
	g.advance(now)
	since := g.now
	if h := g.pending; h != nil && h.ContentHash == c.ContentHash && h.Source == c.Source {
		since = h.since
	}
	return g.judge(c, since)
}

// Withdraw tells that the file can't be read: nothing in it may be taken any more.
func (g *Gate) Withdraw(now time.Duration, why string) Decision {
	g.advance(now)
	if g.pending == nil {
		return Decision{}
	}
	g.pending = nil
	return Decision{Outcome: Withdrawn, Reason: why}
}

// HandleTimer takes what has stood for long enough.
func (g *Gate) HandleTimer(now time.Duration) Decision {
	g.advance(now)
	if h := g.pending; h != nil && h.acceptAt > 0 && g.now >= h.acceptAt {
		return g.accept(h.Candidate, h.diff)
	}
	return Decision{}
}

func (g *Gate) judge(c Candidate, since time.Duration) Decision {
	g.pending = nil
	cur := g.Current()
	switch {
	case c.Err != nil:
		return Decision{Outcome: Rejected, Reason: c.Err.Error()}
	case g.policy.RequireSeal && !c.Sealed:
		return Decision{Outcome: Rejected, Reason: "it has no seal, and only sealed files are taken"}
	case cur == nil && len(c.Servers) == 0:
		return Decision{Outcome: Rejected, Reason: "no server is listed"}
	case cur == nil:
		return g.accept(c, Diff{Added: c.Servers})
	}
	d := Compare(cur.Servers, c.Servers)
	if d.Empty() {
		return Decision{Outcome: Unchanged}
	}
	h := &pendingCandidate{Candidate: c, diff: d, since: since}
	confirmed := c.Sealed && c.Confirms == cur.Digest
	switch why, forGood := excessiveLoss(cur.Servers, c.Servers, g.policy.MaxLossShare); {
	case confirmed || why == "" && c.Sealed:
		return g.accept(c, d)
	case why != "":
		h.reason = why
		if !forGood && g.policy.HoldTime > 0 {
			h.acceptAt = since + max(g.policy.HoldTime, g.policy.SettleTime, g.policy.RemovalSettleTime)
		}
	case d.RemovesServers() || !c.EndsInNewline:
		h.reason, h.acceptAt = "it has no seal, and may not be whole", since+max(g.policy.RemovalSettleTime, g.policy.SettleTime)
	default:
		h.reason, h.acceptAt = "it has no seal", since+g.policy.SettleTime
	}
	if h.acceptAt > 0 && g.now >= h.acceptAt {
		return g.accept(c, d)
	}
	g.pending = h
	return h.decision()
}

func (h *pendingCandidate) decision() Decision {
	return Decision{Outcome: Held, Reason: h.reason, AcceptAt: h.acceptAt, Diff: h.diff}
}

func (g *Gate) accept(c Candidate, d Diff) Decision {
	g.pending = nil
	next := &Generation{Number: 1, Digest: Digest(c.Servers), Source: c.Source, AcceptedAt: g.now, Sealed: c.Sealed, Servers: c.Servers}
	if cur := g.Current(); cur != nil {
		next.Number = cur.Number + 1
	}
	g.history = append(g.history, next)
	g.trim()
	return Decision{Outcome: Accepted, Generation: next, Diff: d}
}

func (g *Gate) trim() {
	if n := len(g.history) - g.policy.MaxGenerations; n > 0 {
		g.history = slices.Delete(g.history, 0, n)
	}
}

// excessiveLoss tells what a list takes away that is too much to believe at once. forGood: no waiting makes it likelier, since
// nobody who runs the cluster on can mean it. Servers that only drain from now on count as taken away.
func excessiveLoss(before, after []Server, share float64) (why string, forGood bool) {
	if len(after) == 0 {
		return "no server is listed", true
	}
	stays := map[string]bool{}
	left := map[int]int{} // by cluster
	for _, s := range after {
		if s.State == policy.Ready {
			stays[s.Key()] = true
			left[s.Cluster]++
		}
	}
	had, gone := map[int]int{}, map[int]int{}
	for _, s := range before {
		if s.State != policy.Ready {
			continue
		}
		had[s.Cluster]++
		if !stays[s.Key()] {
			gone[s.Cluster]++
		}
	}
	for _, cluster := range slices.Sorted(maps.Keys(gone)) {
		switch n := gone[cluster]; {
		case left[cluster] == 0:
			return fmt.Sprintf("cluster %d is left without a ready server", cluster), true
		case n > 1 && float64(n) > share*float64(had[cluster]):
			why = cmp.Or(why, fmt.Sprintf("it takes %d of %d ready servers of cluster %d away", n, had[cluster], cluster))
		}
	}
	return why, false
}
