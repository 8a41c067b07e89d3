// Package lease decides who holds a duty of the fleet (the list poller, the all-member round of a group, the warm-up
// budget of a server) and for how long: terms, renewal, fencing tokens and hand-over. It does no I/O and reads no clock.
//
// Three parts, each owned by one side:
//   - Table is the stewards' replicated state. The consensus engine applies commands to it in log order on every steward;
//     a command carries the leader's time on the table's own clock, so that every copy decides alike. Its tokens are log
//     indices: they only grow. No wall clock is asked: Clock tells how the table's time follows each leader's monotonic one.
//   - Holder is a pooler's view of its own lease. It counts from the moment it asked, on its own monotonic clock, and stops
//     acting a drift bound before the stewards can think the term over, so that two holders never act at once.
//   - Fence is kept by whoever receives the acts of a duty: an act with a token older than one already seen is refused.
//
// A pooler that hears of no holder acts alone within its share, as it does without leases (Alone): a lease never halts
// service.
package lease

import (
	"encoding/json"
	"time"
)

// Duty names a duty: "lists", "round/GROUP", "warm/SERVER".
type Duty string

// Grant is a lease as the stewards committed it.
type Grant struct {
	Duty   Duty          `json:"Duty"`
	Holder string        `json:"Holder"` // the pooler's instance id
	Token  uint64        `json:"Token"`  // fencing token: the log index of the command that gave the lease to this holder
	Term   time.Duration `json:"Term"`   // from the holder's asking
}

// Command is what a pooler proposes to the stewards, as their leader stamps it.
type Command struct {
	Release bool          `json:"Release"` // give the lease up, once the holder has stopped acting (Holder.Lost); else acquire or renew it
	Duty    Duty          `json:"Duty"`
	Holder  string        `json:"Holder"`
	Term    time.Duration `json:"Term"`
	Now     time.Duration `json:"Now"`   // the table's time at the leader, taken after the pooler asked (Clock.At)
	Epoch   uint64        `json:"Epoch"` // the leader's term of office at the stamp
}

// Clock is how one leader tells the table's time: from the latest time that it found there when it came to office, on by
// its own monotonic clock. The table's time therefore never runs ahead of real time, and stands still without a leader:
// a lease may last longer than its term, never shorter. Each term of office has its own clock.
type Clock struct {
	Epoch      uint64
	base, from time.Duration
}

// Lead begins a term of office at mono, a time on the leader's monotonic clock. The caller owes that all commands of
// earlier epochs have been applied (a barrier).
func (t *Table) Lead(epoch uint64, mono time.Duration) Clock {
	return Clock{Epoch: epoch, base: t.latest, from: mono}
}

// At is the table's time at mono.
func (c Clock) At(mono time.Duration) time.Duration { return c.base + mono - c.from }

// entry is one duty's lease. Invariant: Token is that of the command that gave it to Holder; renewals keep it.
type entry struct {
	Holder  string        `json:"Holder"`
	Token   uint64        `json:"Token"`
	Expires time.Duration `json:"Expires"`
}

// Table is the stewards' state. The zero Table holds no lease. Drift is the most by which two monotonic clocks may differ
// over a term, from the operators' file; a lease is given to another only after its term and the drift are over.
type Table struct {
	Drift  time.Duration
	leases map[Duty]entry
	latest time.Duration // the latest stamp applied: time never goes back in the table
}

// Apply carries out a command committed at a log index in an epoch, and returns the lease that is in force for its duty
// afterwards; ok tells whether the command's holder has it. A command stamped in another epoch than it was committed in
// changes nothing: its leader's clock had stopped counting.
func (t *Table) Apply(c Command, index, epoch uint64) (g Grant, ok bool) {
	if t.leases == nil {
		t.leases = map[Duty]entry{}
	}
	if c.Epoch != epoch {
		return Grant{Duty: c.Duty}, false
	}
	t.latest = max(t.latest, c.Now)
	now := t.latest
	e, held := t.leases[c.Duty]
	free := !held || now >= e.Expires+t.Drift
	switch {
	case c.Release:
		if held && e.Holder == c.Holder {
			delete(t.leases, c.Duty)
		}
		return Grant{Duty: c.Duty}, false
	case !free && e.Holder != c.Holder: // another holds it
		return Grant{Duty: c.Duty, Holder: e.Holder, Token: e.Token, Term: e.Expires - now}, false
	case free:
		e.Token = index // a new holder, or the same after its lease had run out: a new token
	}
	e.Holder, e.Expires = c.Holder, max(e.Expires, now+c.Term)
	t.leases[c.Duty] = e
	return Grant{Duty: c.Duty, Holder: c.Holder, Token: e.Token, Term: c.Term}, true
}

// Pass moves the table's time on to a stamp of a command of another kind, and tells whether the stamp counts: not in another
// epoch than the command was committed in.
func (t *Table) Pass(now time.Duration, stamped, epoch uint64) bool {
	if stamped != epoch {
		return false
	}
	t.latest = max(t.latest, now)
	return true
}

// Denied tells whether an ask for a duty at now can only be denied: another holds it. A leader that has applied all that came
// before its office may answer so by itself, as a denial that is out of date delays but grants nothing.
func (t *Table) Denied(d Duty, holder string, now time.Duration) (g Grant, denied bool) {
	now = max(now, t.latest)
	e, held := t.leases[d]
	if !held || e.Holder == holder || now >= e.Expires+t.Drift {
		return Grant{}, false
	}
	return Grant{Duty: d, Holder: e.Holder, Token: e.Token, Term: e.Expires - now}, true
}

// saved is a Table as a snapshot keeps it.
type saved struct {
	Latest time.Duration  `json:"Latest"`
	Leases map[Duty]entry `json:"Leases"`
}

// MarshalJSON gives the state for a snapshot; Drift is the operators' and not part of it.
func (t *Table) MarshalJSON() ([]byte, error) { return json.Marshal(saved{t.latest, t.leases}) }

// UnmarshalJSON takes a snapshot's state over; a text that can't be read changes nothing.
func (t *Table) UnmarshalJSON(text []byte) error {
	var s saved
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	t.latest, t.leases = s.Latest, s.Leases
	return nil
}

// Holder of the duty, and its token, as the table stands; "" if none holds it at the table's latest time.
func (t *Table) Holder(d Duty) (string, uint64) {
	e, ok := t.leases[d]
	if !ok || t.latest >= e.Expires+t.Drift {
		return "", 0
	}
	return e.Holder, e.Token
}

// Holder is one pooler's own lease of one duty. Times are on the pooler's monotonic clock, as durations since any origin
// it keeps. The zero Holder holds nothing.
type Holder struct {
	Drift time.Duration // as in the Table
	asked time.Duration // of the request that was granted last
	grant Grant
	until time.Duration // acting ends here: asked + term - drift
	has   bool
}

// Granted takes the stewards' answer to a request that was sent at asked. The term is counted from the asking, not the
// answer, so that a slow answer shortens the lease instead of stretching it; an answer that was overtaken by a newer one
// changes nothing.
func (h *Holder) Granted(asked time.Duration, g Grant, ok bool) {
	switch {
	case asked < h.asked || ok && g.Token < h.grant.Token:
	case !ok:
		h.has = false
	default:
		h.asked, h.grant, h.has = asked, g, true
		h.until = asked + g.Term - h.Drift
	}
}

// MayAct tells whether the duty may be carried out at now, and with which token.
func (h *Holder) MayAct(now time.Duration) (token uint64, ok bool) {
	if !h.has || now >= h.until {
		return 0, false
	}
	return h.grant.Token, true
}

// Until is when acting must stop; 0 while nothing is held.
func (h *Holder) Until() time.Duration {
	if !h.has {
		return 0
	}
	return h.until
}

// RenewAt is when to ask again: a third of the term in, so that two answers may be lost before acting must stop.
func (h *Holder) RenewAt() time.Duration { return h.asked + h.grant.Term/3 }

// Lost drops the lease at once: the pooler stalled, was cut off, or is shutting down.
func (h *Holder) Lost() { h.has = false }

// Fence keeps the newest token seen for each duty by a receiver of its acts. The zero Fence admits everything once.
type Fence struct{ seen map[Duty]uint64 }

// Admit tells whether an act with token may be taken, and remembers the token if it is the newest.
func (f *Fence) Admit(d Duty, token uint64) bool {
	if f.seen == nil {
		f.seen = map[Duty]uint64{}
	}
	if token < f.seen[d] {
		return false
	}
	f.seen[d] = token
	return true
}

// Alone tells a pooler whether to carry out a duty itself, within its share, as without leases: no holder has been heard
// of since heard (a time on its monotonic clock) for a term and a backoff that its own seed spreads over a term.
func Alone(now, heard, term time.Duration, spread float64) bool {
	return now >= heard+term+time.Duration(spread*float64(term))
}
