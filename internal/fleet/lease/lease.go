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

// Name names a duty: "lists", "round/GROUP", "warm/SERVER".
type Name string

// Lease is a lease as the stewards committed it.
type Lease struct {
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"` // the pooler's instance id
	Token    uint64        `json:"Token"`  // fencing token: the log index of the command that gave the lease to this holder
	Duration time.Duration `json:"Term"`   // from the holder's asking
}

// Command is what a pooler proposes to the stewards, as their leader stamps it.
type Command struct {
	Release  bool          `json:"Release"` // give the lease up, once the holder has stopped acting (Holder.Lost); else acquire or renew it
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"`
	Duration time.Duration `json:"Term"`
	Now      time.Duration `json:"Now"`   // the table's time at the leader, taken after the pooler asked (Clock.At)
	RaftTerm uint64        `json:"Epoch"` // the leader's term of office at the stamp
}

// Clock is how one leader tells the table's time: from the latest time that it found there when it came to office, on by
// its own monotonic clock. The table's time therefore never runs ahead of real time, and stands still without a leader:
// a lease may last longer than its term, never shorter. Each term of office has its own clock.
type Clock struct {
	RaftTerm               uint64
	lessorTime, leaderTime time.Duration
}

// StartClock begins a term of office at mono, a time on the leader's monotonic clock. The caller owes that all commands of
// earlier epochs have been applied (a barrier).
func (t *Lessor) StartClock(epoch uint64, mono time.Duration) Clock {
	return Clock{RaftTerm: epoch, lessorTime: t.latestTime, leaderTime: mono}
}

// At is the table's time at mono.
func (c Clock) At(mono time.Duration) time.Duration { return c.lessorTime + mono - c.leaderTime }

// entry is one duty's lease. Invariant: Token is that of the command that gave it to Holder; renewals keep it.
type entry struct {
	Holder    string        `json:"Holder"`
	Token     uint64        `json:"Token"`
	ExpiresAt time.Duration `json:"Expires"`
}

// Lessor is the stewards' state. The zero Table holds no lease. Drift is the most by which two monotonic clocks may differ
// over a term, from the operators' file; a lease is given to another only after its term and the drift are over.
type Lessor struct {
	MaxClockDrift time.Duration
	leases        map[Name]entry
	latestTime    time.Duration // the latest stamp applied: time never goes back in the table
}

// Apply carries out a command committed at a log index in an epoch, and returns the lease that is in force for its duty
// afterwards; ok tells whether the command's holder has it. A command stamped in another epoch than it was committed in
// changes nothing: its leader's clock had stopped counting.
func (t *Lessor) Apply(c Command, index, epoch uint64) (g Lease, ok bool) {
	if t.leases == nil {
		t.leases = map[Name]entry{}
	}
	if c.RaftTerm != epoch {
		return Lease{Name: c.Name}, false
	}
	t.latestTime = max(t.latestTime, c.Now)
	now := t.latestTime
	e, held := t.leases[c.Name]
	free := !held || now >= e.ExpiresAt+t.MaxClockDrift
	switch {
	case c.Release:
		if held && e.Holder == c.Holder {
			delete(t.leases, c.Name)
		}
		return Lease{Name: c.Name}, false
	case !free && e.Holder != c.Holder: // another holds it
		return Lease{Name: c.Name, Holder: e.Holder, Token: e.Token, Duration: e.ExpiresAt - now}, false
	case free:
		e.Token = index // a new holder, or the same after its lease had run out: a new token
	}
	e.Holder, e.ExpiresAt = c.Holder, max(e.ExpiresAt, now+c.Duration)
	t.leases[c.Name] = e
	return Lease{Name: c.Name, Holder: c.Holder, Token: e.Token, Duration: c.Duration}, true
}

// AdvanceTime moves the table's time on to a stamp of a command of another kind, and tells whether the stamp counts: not in another
// epoch than the command was committed in.
func (t *Lessor) AdvanceTime(now time.Duration, stamped, epoch uint64) bool {
	if stamped != epoch {
		return false
	}
	t.latestTime = max(t.latestTime, now)
	return true
}

// WouldDeny tells whether an ask for a duty at now can only be denied: another holds it. A leader that has applied all that came
// before its office may answer so by itself, as a denial that is out of date delays but grants nothing.
func (t *Lessor) WouldDeny(d Name, holder string, now time.Duration) (g Lease, denied bool) {
	now = max(now, t.latestTime)
	e, held := t.leases[d]
	if !held || e.Holder == holder || now >= e.ExpiresAt+t.MaxClockDrift {
		return Lease{}, false
	}
	return Lease{Name: d, Holder: e.Holder, Token: e.Token, Duration: e.ExpiresAt - now}, true
}

// lessorSnapshot is a Table as a snapshot keeps it.
type lessorSnapshot struct {
	LatestTime time.Duration  `json:"Latest"`
	Leases     map[Name]entry `json:"Leases"`
}

// MarshalJSON gives the state for a snapshot; Drift is the operators' and not part of it.
func (t *Lessor) MarshalJSON() ([]byte, error) {
	return json.Marshal(lessorSnapshot{t.latestTime, t.leases})
}

// UnmarshalJSON takes a snapshot's state over; a text that can't be read changes nothing.
func (t *Lessor) UnmarshalJSON(text []byte) error {
	var s lessorSnapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	t.latestTime, t.leases = s.LatestTime, s.Leases
	return nil
}

// Holder of the duty, and its token, as the table stands; "" if none holds it at the table's latest time.
func (t *Lessor) Holder(d Name) (string, uint64) {
	e, ok := t.leases[d]
	if !ok || t.latestTime >= e.ExpiresAt+t.MaxClockDrift {
		return "", 0
	}
	return e.Holder, e.Token
}

// LocalLease is one pooler's own lease of one duty. Times are on the pooler's monotonic clock, as durations since any origin
// it keeps. The zero Holder holds nothing.
type LocalLease struct {
	MaxClockDrift time.Duration // as in the Table
	requestedAt   time.Duration // of the request that was granted last
	lease         Lease
	renewDeadline time.Duration // acting ends here: asked + term - drift
	granted       bool
}

// HandleResponse takes the stewards' answer to a request that was sent at asked. The term is counted from the asking, not the
// answer, so that a slow answer shortens the lease instead of stretching it; an answer that was overtaken by a newer one
// changes nothing.
func (h *LocalLease) HandleResponse(asked time.Duration, g Lease, ok bool) {
	switch {
	case asked < h.requestedAt || ok && g.Token < h.lease.Token:
	case !ok:
		h.granted = false
	default:
		h.requestedAt, h.lease, h.granted = asked, g, true
		h.renewDeadline = asked + g.Duration - h.MaxClockDrift
	}
}

// ValidToken tells whether the duty may be carried out at now, and with which token.
func (h *LocalLease) ValidToken(now time.Duration) (token uint64, ok bool) {
	if !h.granted || now >= h.renewDeadline {
		return 0, false
	}
	return h.lease.Token, true
}

// RenewDeadline is when acting must stop; 0 while nothing is held.
func (h *LocalLease) RenewDeadline() time.Duration {
	if !h.granted {
		return 0
	}
	return h.renewDeadline
}

// RenewAt is when to ask again: a third of the term in, so that two answers may be lost before acting must stop.
func (h *LocalLease) RenewAt() time.Duration { return h.requestedAt + h.lease.Duration/3 }

// Drop drops the lease at once: the pooler stalled, was cut off, or is shutting down.
func (h *LocalLease) Drop() { h.granted = false }

// Fence keeps the newest token seen for each duty by a receiver of its acts. The zero Fence admits everything once.
type Fence struct{ newestToken map[Name]uint64 }

// Admit tells whether an act with token may be taken, and remembers the token if it is the newest.
func (f *Fence) Admit(d Name, token uint64) bool {
	if f.newestToken == nil {
		f.newestToken = map[Name]uint64{}
	}
	if token < f.newestToken[d] {
		return false
	}
	f.newestToken[d] = token
	return true
}

// ShouldActAlone tells a pooler whether to carry out a duty itself, within its share, as without leases: no holder has been heard
// of since heard (a time on its monotonic clock) for a term and a backoff that its own seed spreads over a term.
func ShouldActAlone(now, heard, term time.Duration, spread float64) bool {
	return now >= heard+term+time.Duration(spread*float64(term))
}
