package lease

import (
	"encoding/json"
	"time"
)

// Clock is how one leader reads the lessor's time: it starts from the latest time that the leader found when its raft term
// began, and advances with the leader's monotonic clock. The lessor's time therefore never runs ahead of real time, and
// stands still without a leader: a lease may last longer than its duration, never shorter. Each raft term has its own clock.
type Clock struct {
	RaftTerm   uint64        // 0: this is no leader's clock
	lessorTime time.Duration // the lessor's time at the start of the raft term
	leaderTime time.Duration // the leader's monotonic time at the start of the raft term
}

// At is the lessor's time at monotonic, a time on the leader's monotonic clock.
func (c Clock) At(monotonic time.Duration) time.Duration {
	return c.lessorTime + monotonic - c.leaderTime
}

// Lessor is the voters' table of leases. The zero Lessor has granted none. Invariant: its time never goes back, and a lease
// is granted to another holder only after its duration and the clock drift are over, or after its release.
type Lessor struct {
	// MaxClockDrift is the most by which two monotonic clocks may differ over the duration of a lease. It comes from the
	// operators' file and is no part of the replicated state.
	MaxClockDrift time.Duration

	leases     map[Name]entry
	latestTime time.Duration // the latest time that an applied command was stamped with
}

// entry is one granted lease. Invariant: Token is that of the command that gave the lease to Holder; renewals keep the token.
type entry struct {
	Holder    string        `json:"Holder"`
	Token     uint64        `json:"Token"`
	ExpiresAt time.Duration `json:"Expires"` // the lessor's time
}

// StartClock starts the clock of the leader of a raft term, at a time on its monotonic clock. All commands of earlier raft
// terms must have been applied (a barrier).
func (l *Lessor) StartClock(raftTerm uint64, monotonic time.Duration) Clock {
	return Clock{RaftTerm: raftTerm, lessorTime: l.latestTime, leaderTime: monotonic}
}

// Apply carries out a command that was committed at a log index in a raft term, and returns the lease that is in force under
// the command's name afterwards; granted says whether the command's holder has it. A command that was stamped in another raft
// term than it was committed in changes nothing: its leader's clock had stopped counting.
func (l *Lessor) Apply(c Command, index, raftTerm uint64) (lease Lease, granted bool) {
	if l.leases == nil { // also where nothing is granted: a snapshot has {} from the first command on
		l.leases = map[Name]entry{}
	}
	if !l.AdvanceTime(c.Now, c.RaftTerm, raftTerm) {
		return Lease{Name: c.Name}, false
	}
	current, reserved := l.current(c.Name, l.latestTime)
	switch {
	case c.Release:
		l.release(c.Name, c.Holder)
		return Lease{Name: c.Name}, false
	case reserved && current.Holder != c.Holder:
		return l.denial(c.Name, current, l.latestTime), false
	case !reserved: // a new holder, or the same holder after its lease has expired: a new token
		current.Token = index
	}
	current.Holder = c.Holder
	current.ExpiresAt = max(current.ExpiresAt, l.latestTime+c.Duration)
	l.leases[c.Name] = current
	return Lease{Name: c.Name, Holder: c.Holder, Token: current.Token, Duration: c.Duration}, true
}

// AdvanceTime advances the lessor's time to the stamp of a command, a lease's or another kind's, and reports whether the
// stamp counts: it does not if the command was stamped in another raft term than it was committed in.
func (l *Lessor) AdvanceTime(now time.Duration, stampedIn, committedIn uint64) bool {
	if stampedIn != committedIn {
		return false
	}
	l.latestTime = max(l.latestTime, now)
	return true
}

// WouldDeny reports whether a request for a lease at now can only be denied, because another holder has it. A leader that has
// applied all commands of earlier raft terms may answer so by itself: a denial that is out of date delays but grants nothing.
func (l *Lessor) WouldDeny(name Name, holder string, now time.Duration) (lease Lease, denied bool) {
	now = max(now, l.latestTime)
	current, reserved := l.current(name, now)
	if !reserved || current.Holder == holder {
		return Lease{}, false
	}
	return l.denial(name, current, now), true
}

// Holder returns the holder of a lease and its token at the lessor's latest time; "" if nobody holds the lease.
func (l *Lessor) Holder(name Name) (holder string, token uint64) {
	current, reserved := l.current(name, l.latestTime)
	if !reserved {
		return "", 0
	}
	return current.Holder, current.Token
}

// current returns the entry of a lease, and whether it keeps the lease from others at now: until its expiry and the clock
// drift are over.
func (l *Lessor) current(name Name, now time.Duration) (e entry, reserved bool) {
	e, found := l.leases[name]
	return e, found && now < e.ExpiresAt+l.MaxClockDrift
}

// release removes a lease if it is the holder's.
func (l *Lessor) release(name Name, holder string) {
	if e, found := l.leases[name]; found && e.Holder == holder {
		delete(l.leases, name)
	}
}

// denial is the answer to a request for a lease that another holder has: the other's lease, with the time left of it.
func (*Lessor) denial(name Name, e entry, now time.Duration) Lease {
	return Lease{Name: name, Holder: e.Holder, Token: e.Token, Duration: e.ExpiresAt - now}
}

// lessorSnapshot is a Lessor as a raft snapshot stores it.
type lessorSnapshot struct {
	LatestTime time.Duration  `json:"Latest"`
	Leases     map[Name]entry `json:"Leases"`
}

// MarshalJSON encodes the state for a snapshot; MaxClockDrift is the operators' and no part of it.
func (l *Lessor) MarshalJSON() ([]byte, error) {
	return json.Marshal(lessorSnapshot{l.latestTime, l.leases})
}

// UnmarshalJSON takes over the state of a snapshot. A text that can't be decoded changes nothing.
func (l *Lessor) UnmarshalJSON(text []byte) error {
	var s lessorSnapshot
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	l.latestTime, l.leases = s.LatestTime, s.Leases
	return nil
}
