package serverlist

import (
	"fmt"
	"slices"
	"time"
)

// Candidate is a list that might come into force.
type Candidate struct {
	Source      string
	ContentHash uint64 // of the bytes that it was read from
	Err         error  // what is wrong with it, which makes the gate reject it
	Servers     []Server
	Sealed      bool   // a valid seal proves that it is complete
	Truncation  string // why the text may lack its end, unless it is sealed; empty: nothing suggests it
	Confirms    string // digest of the list in force with which whoever sealed the candidate compared it
}

// Policy is how careful a gate is.
type Policy struct {
	SettleTime        time.Duration // for which an unsealed candidate must stand unchanged
	RemovalSettleTime time.Duration // the same for one that removes a server
	HoldTime          time.Duration // the same for one that removes too much, sealed or not; 0: it must be confirmed
	MaxLossShare      float64       // of a cluster's ready servers: to remove more than that, and more than one, is too much
	RequireSeal       bool
	MaxGenerations    int // that are kept, the one in force included; at least 1
}

// Outcome is what a gate makes of a candidate.
type Outcome uint8

// The outcomes.
const (
	Idle      Outcome = iota // there is nothing to judge
	Unchanged                // the candidate is the list in force
	Accepted                 // the candidate is the list in force from now on
	Held                     // the candidate may be accepted later
	Rejected                 // the candidate can't be used
	Withdrawn                // the candidate that was held is no longer there
)

var outcomeNames = [...]string{"idle", "same", "taken", "held", "turned down", "withdrawn"}

func (o Outcome) String() string { return outcomeNames[o] }

// Decision is what follows from an event.
type Decision struct {
	Outcome    Outcome
	Reason     string        // for operators; empty: Accepted or Unchanged
	AcceptAt   time.Duration // Held: when the candidate is accepted if it still stands; 0: once it is confirmed or sealed
	AwaitsSeal bool          // Held: a seal that confirms nothing is enough, or another text of the file
	Generation *Generation   // Accepted: the new list, which must not be modified
	Diff       Diff          // Accepted, Held: against the list in force before
}

// Gate keeps the list in force and decides which candidate replaces it. Invariants: the list in force is one that was offered, or that
// the gate began with, as a whole; its number only grows; no candidate that is held is accepted before its time, nor one whose bytes
// have changed since; none that may be truncated is accepted without a seal.
type Gate struct {
	policy  Policy
	now     time.Duration
	history []*Generation // the newest last
	pending *pendingCandidate
}

// pendingCandidate is a candidate that is held.
type pendingCandidate struct {
	Candidate
	diff       Diff
	since      time.Duration
	acceptAt   time.Duration // 0: once it is confirmed, or sealed if awaitsSeal is set
	awaitsSeal bool
	reason     string
}

// NewGate returns a gate that begins with generations, the newest last. Without any, the first valid candidate is accepted.
func NewGate(p Policy, history ...*Generation) *Gate {
	g := &Gate{history: slices.Clone(history)}
	g.usePolicy(p)
	return g
}

// SetPolicy replaces the policy. A candidate that is held is judged anew, as of when it came.
func (g *Gate) SetPolicy(now time.Duration, p Policy) Decision {
	g.advance(now)
	g.usePolicy(p)
	if g.pending == nil {
		return Decision{}
	}
	return g.judge(g.pending.Candidate, g.pending.since)
}

func (g *Gate) usePolicy(p Policy) {
	p.MaxGenerations = max(p.MaxGenerations, 1)
	g.policy = p
	g.trim()
}

// Current returns the generation in force; nil: there is none yet.
func (g *Gate) Current() *Generation {
	if len(g.history) == 0 {
		return nil
	}
	return g.history[len(g.history)-1]
}

// History returns the generations that are kept, the newest last.
func (g *Gate) History() []*Generation { return slices.Clone(g.history) }

// Pending returns the decision on the candidate that is held, if there is one.
func (g *Gate) Pending() (d Decision, ok bool) {
	if g.pending == nil {
		return d, false
	}
	return g.pending.decision(), true
}

// NextTimer returns when HandleTimer is to be called; 0: not at all.
func (g *Gate) NextTimer() time.Duration {
	if g.pending == nil {
		return 0
	}
	return g.pending.acceptAt
}

// advance takes over the time, which never goes back.
func (g *Gate) advance(now time.Duration) { g.now = max(g.now, now) }

// Offer judges a candidate. It replaces the one that is held, which its file no longer has.
func (g *Gate) Offer(now time.Duration, c Candidate) Decision {
	g.advance(now)
	since := g.now
	if p := g.pending; p != nil && p.ContentHash == c.ContentHash && p.Source == c.Source {
		since = p.since
	}
	return g.judge(c, since)
}

// Withdraw drops the candidate that is held: its file can't be read any more.
func (g *Gate) Withdraw(now time.Duration, reason string) Decision {
	g.advance(now)
	if g.pending == nil {
		return Decision{}
	}
	g.pending = nil
	return Decision{Outcome: Withdrawn, Reason: reason}
}

// HandleTimer accepts the candidate that has been held for long enough.
func (g *Gate) HandleTimer(now time.Duration) Decision {
	g.advance(now)
	if p := g.pending; p != nil && p.due(g.now) {
		return g.accept(p.Candidate, p.diff)
	}
	return Decision{}
}

// judge decides on a candidate that has stood unchanged since a time.
func (g *Gate) judge(c Candidate, since time.Duration) Decision {
	g.pending = nil
	current := g.Current()
	if reason := g.rejects(c, current); reason != "" {
		return Decision{Outcome: Rejected, Reason: reason}
	}
	if current == nil {
		return g.accept(c, Diff{Added: c.Servers})
	}
	diff := Compare(current.Servers, c.Servers)
	if diff.Empty() {
		return Decision{Outcome: Unchanged}
	}
	loss := excessiveLoss(current.Servers, c.Servers, g.policy.MaxLossShare)
	confirmed := c.Sealed && c.Confirms == current.Digest
	if confirmed || c.Sealed && loss.reason == "" {
		return g.accept(c, diff)
	}
	p := g.hold(c, diff, since, loss)
	if p.due(g.now) {
		return g.accept(c, diff)
	}
	g.pending = p
	return p.decision()
}

// rejects returns why a candidate can't be used; empty: it can.
func (g *Gate) rejects(c Candidate, current *Generation) (reason string) {
	switch {
	case c.Err != nil:
		return c.Err.Error()
	case g.policy.RequireSeal && !c.Sealed:
		return "it has no seal, and only sealed files are taken"
	case current == nil && len(c.Servers) == 0:
		return reasonNoServers
	case current == nil:
		return c.doubt(nil)
	}
	return ""
}

// doubt returns why an unsealed candidate may not be what its writer meant, so that no waiting makes it usable; empty: nothing
// suggests it. A part of a file can name a server of another cluster than the whole does, and requests must never reach one.
func (c *Candidate) doubt(moved []Change) string {
	if c.Sealed {
		return ""
	}
	if c.Truncation != "" {
		return "it has no seal, and " + c.Truncation
	}
	for _, change := range moved {
		if change.Before.Cluster != change.After.Cluster {
			return fmt.Sprintf("it has no seal, and moves %s from cluster %d to cluster %d", change.After.Name, change.Before.Cluster,
				change.After.Cluster)
		}
	}
	return ""
}

// hold returns a candidate as it is held: why, and until when.
func (g *Gate) hold(c Candidate, diff Diff, since time.Duration, loss loss) *pendingCandidate {
	p := &pendingCandidate{Candidate: c, diff: diff, since: since}
	doubt := c.doubt(diff.Moved)
	switch {
	case doubt != "":
		p.reason = doubt
		p.awaitsSeal = true
	case loss.reason != "":
		p.reason = loss.reason
		if !loss.permanent && g.policy.HoldTime > 0 {
			p.acceptAt = since + max(g.policy.HoldTime, g.policy.SettleTime, g.policy.RemovalSettleTime)
		}
	case diff.RemovesServers():
		p.reason = "it has no seal, and may not be whole"
		p.acceptAt = since + max(g.policy.RemovalSettleTime, g.policy.SettleTime)
	default:
		p.reason = "it has no seal"
		p.acceptAt = since + g.policy.SettleTime
	}
	return p
}

// due tells whether the candidate has been held for long enough.
func (p *pendingCandidate) due(now time.Duration) bool { return p.acceptAt > 0 && now >= p.acceptAt }

func (p *pendingCandidate) decision() Decision {
	return Decision{Outcome: Held, Reason: p.reason, AcceptAt: p.acceptAt, AwaitsSeal: p.awaitsSeal, Diff: p.diff}
}

// accept puts a candidate into force.
func (g *Gate) accept(c Candidate, diff Diff) Decision {
	g.pending = nil
	next := &Generation{Number: 1, Digest: Digest(c.Servers), Source: c.Source, AcceptedAt: g.now, Sealed: c.Sealed, Servers: c.Servers}
	if current := g.Current(); current != nil {
		next.Number = current.Number + 1
	}
	g.history = append(g.history, next)
	g.trim()
	return Decision{Outcome: Accepted, Generation: next, Diff: diff}
}

// trim drops the oldest generations that are too many.
func (g *Gate) trim() {
	if n := len(g.history) - g.policy.MaxGenerations; n > 0 {
		g.history = slices.Delete(g.history, 0, n)
	}
}
