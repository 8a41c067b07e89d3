// Package lease decides who holds a duty of the fleet (the list poller, the all-member round of a group, the warm-up
// budget of a server) and for how long: terms, renewal, fencing tokens and hand-over. It does no I/O and reads no clock.
//
// Three parts, each owned by one side:
//   - Table is the stewards' replicated state. The consensus engine applies commands to it in log order on every steward;
//     a command carries the proposer's time, so that every copy decides alike. Its tokens are log indices: they only grow.
//   - Holder is a pooler's view of its own lease. It counts from the moment it asked, on its own monotonic clock, and stops
//     acting a drift bound before the stewards can think the term over, so that two holders never act at once.
//   - Fence is kept by whoever receives the acts of a duty: an act with a token older than one already seen is refused.
//
// A pooler that hears of no holder acts alone within its share, as it does without leases (Alone): a lease never halts
// service.
package lease

import "time"

// Duty names a duty: "lists", "round/GROUP", "warm/SERVER".
type Duty string

// Grant is a lease as the stewards committed it.
type Grant struct {
	Duty   Duty
	Holder string        // the pooler's instance id
	Token  uint64        // fencing token: the log index of the command that gave the lease to this holder
	Term   time.Duration // from the holder's asking
}

// Command is what a pooler proposes to the stewards.
type Command struct {
	Release bool // give the lease up, once the holder has stopped acting (Holder.Lost); else acquire or renew it
	Duty    Duty
	Holder  string
	Term    time.Duration
	Now     time.Time // the proposer's wall time, carried so that every steward decides alike
}

// entry is one duty's lease. Invariant: Token is that of the command that gave it to Holder; renewals keep it.
type entry struct {
	holder  string
	token   uint64
	expires time.Time
}

// Table is the stewards' state. The zero Table holds no lease. Drift is the most by which two poolers' clocks may differ
// over a term, from the operators' file; a lease is given to another only after its term and the drift are over.
type Table struct {
	Drift  time.Duration
	leases map[Duty]entry
	latest time.Time // the latest proposer's time applied: time never goes back in the table
}

// Apply carries out a command committed at a log index, and returns the lease that is in force for its duty afterwards;
// ok tells whether the command's holder has it.
func (t *Table) Apply(c Command, index uint64) (g Grant, ok bool) {
	if t.leases == nil {
		t.leases = map[Duty]entry{}
	}
	if c.Now.After(t.latest) {
		t.latest = c.Now
	}
	now := t.latest
	e, held := t.leases[c.Duty]
	free := !held || !now.Before(e.expires.Add(t.Drift))
	switch {
	case c.Release:
		if held && e.holder == c.Holder {
			delete(t.leases, c.Duty)
		}
		return Grant{Duty: c.Duty}, false
	case !free && e.holder != c.Holder: // another holds it
		return Grant{Duty: c.Duty, Holder: e.holder, Token: e.token, Term: e.expires.Sub(now)}, false
	case free:
		e.token = index // a new holder, or the same after its lease had run out: a new token
	}
	e.holder, e.expires = c.Holder, now.Add(c.Term)
	t.leases[c.Duty] = e
	return Grant{Duty: c.Duty, Holder: c.Holder, Token: e.token, Term: c.Term}, true
}

// Holder of the duty, and its token, as the table stands; "" if none holds it at the table's latest time.
func (t *Table) Holder(d Duty) (string, uint64) {
	e, ok := t.leases[d]
	if !ok || !t.latest.Before(e.expires.Add(t.Drift)) {
		return "", 0
	}
	return e.holder, e.token
}

// Holder is one pooler's own lease of one duty. Times are on the pooler's monotonic clock, as durations since any origin
// it keeps. The zero Holder holds nothing.
type Holder struct {
	Drift time.Duration // as in the Table
	asked time.Duration // when the pending or last granted request was sent
	grant Grant
	until time.Duration // acting ends here: asked + term - drift
	has   bool
}

// Asked notes that a request to acquire or renew was sent at now.
func (h *Holder) Asked(now time.Duration) { h.asked = now }

// Granted takes the stewards' answer to the request sent last. The term is counted from the asking, not the answer, so
// that a slow answer shortens the lease instead of stretching it.
func (h *Holder) Granted(g Grant, ok bool) {
	if !ok {
		h.has = false
		return
	}
	h.grant, h.has = g, true
	h.until = h.asked + g.Term - h.Drift
}

// MayAct tells whether the duty may be carried out at now, and with which token.
func (h *Holder) MayAct(now time.Duration) (token uint64, ok bool) {
	if !h.has || now >= h.until {
		return 0, false
	}
	return h.grant.Token, true
}

// RenewAt is when to ask again: a third of the term in, so that two answers may be lost before acting must stop.
func (h *Holder) RenewAt() time.Duration {
	if !h.has {
		return h.asked
	}
	return h.asked + h.grant.Term/3
}

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
