package lease

import (
	"encoding/json"
	"time"
)

// Clock computes the lessor's time at the leader of one raft term. It starts from the lessor's latest time at the start of the
// term and advances with the leader's monotonic clock. The lessor's time therefore never runs ahead of real time, and stands
// still while there is no leader: a lease may last longer than its duration, but never shorter.
type Clock struct {
	RaftTerm   uint64        // raft term of the leader; 0: not a leader's clock
	lessorTime time.Duration // the lessor's time at the start of the raft term
	leaderTime time.Duration // the leader's monotonic time at the start of the raft term
}

// At returns the lessor's time at a time on the leader's monotonic clock.
func (c Clock) At(monotonic time.Duration) time.Duration {
	return c.lessorTime + monotonic - c.leaderTime
}

// Lessor is the voters' table of leases. The zero Lessor has granted none. Invariant: its time never decreases, and a lease is
// granted to another holder only when its duration and the clock drift have passed, or after its release.
type Lessor struct {
	// MaxClockDrift is the maximum difference between two monotonic clocks over the duration of a lease. It comes from the
	// operators' configuration and is not part of the replicated state.
	MaxClockDrift time.Duration

	leases     map[Name]entry
	latestTime time.Duration // latest time stamp of an applied command
}

// entry is one granted lease. Invariant: Token is the log index of the command that granted the lease to Holder; renewals keep
// it.
type entry struct {
	Holder    string        `json:"Holder"`
	Token     uint64        `json:"Token"`
	ExpiresAt time.Duration `json:"Expires"` // on the lessor's clock
}

// StartClock returns the clock of the leader of a raft term, starting at a time on the leader's monotonic clock. All commands of
// earlier raft terms must have been applied before (a barrier).
func (l *Lessor) StartClock(raftTerm uint64, monotonic time.Duration) Clock {
	return Clock{RaftTerm: raftTerm, lessorTime: l.latestTime, leaderTime: monotonic}
}

// Apply applies a command that was committed at a log index in a raft term. It returns the lease that is then in force under the
// command's name, and whether it is granted to the command's holder. A command that was stamped in another raft term than it
// was committed in changes nothing, because the clock that stamped it is no longer valid.
func (l *Lessor) Apply(c Command, index, raftTerm uint64) (lease Lease, granted bool) {
	if l.leases == nil { // even if nothing is granted, so that snapshots contain {} and not null after the first command
		l.leases = map[Name]entry{}
	}
	if !l.AdvanceTime(c.Now, c.RaftTerm, raftTerm) {
		return Lease{Name: c.Name}, false
	}
	current, reserved := l.lookup(c.Name, l.latestTime)
	switch {
	case c.Release:
		l.release(c.Name, c.Holder)
		return Lease{Name: c.Name}, false
	case reserved && current.Holder != c.Holder:
		return l.denial(c.Name, current, l.latestTime), false
	case !reserved: // a new holder, or the same holder after the expiry of its lease, gets a new token
		current.Token = index
	}
	current.Holder = c.Holder
	current.ExpiresAt = max(current.ExpiresAt, l.latestTime+c.Duration)
	l.leases[c.Name] = current
	return Lease{Name: c.Name, Holder: c.Holder, Token: current.Token, Duration: c.Duration}, true
}

// AdvanceTime advances the lessor's time to the time stamp of a command of any kind. It returns false and changes nothing if the
// command was stamped in another raft term than it was committed in.
func (l *Lessor) AdvanceTime(now time.Duration, stampedIn, committedIn uint64) bool {
	if stampedIn != committedIn {
		return false
	}
	l.latestTime = max(l.latestTime, now)
	return true
}

// WouldDeny reports whether a request for a lease at now must be denied because another pooler holds it, and returns that
// pooler's lease. A leader that has applied all commands of earlier raft terms may deny a request without a log entry: an
// outdated denial only delays the requester and grants nothing.
func (l *Lessor) WouldDeny(name Name, holder string, now time.Duration) (lease Lease, denied bool) {
	now = max(now, l.latestTime)
	current, reserved := l.lookup(name, now)
	if !reserved || current.Holder == holder {
		return Lease{}, false
	}
	return l.denial(name, current, now), true
}

// Holder returns the holder of a lease and its token at the lessor's latest time, or "" if nobody holds the lease.
func (l *Lessor) Holder(name Name) (holder string, token uint64) {
	current, reserved := l.lookup(name, l.latestTime)
	if !reserved {
		return "", 0
	}
	return current.Holder, current.Token
}

// lookup returns the entry of a lease, and whether the lease is reserved for its holder at now. It is, until the maximum clock
// drift has passed after its expiry.
func (l *Lessor) lookup(name Name, now time.Duration) (e entry, reserved bool) {
	e, found := l.leases[name]
	return e, found && now < e.ExpiresAt+l.MaxClockDrift
}

// release removes a lease if the given holder has it.
func (l *Lessor) release(name Name, holder string) {
	if e, found := l.leases[name]; found && e.Holder == holder {
		delete(l.leases, name)
	}
}

// denial returns the response to a request for a lease that another pooler holds: that pooler's lease with its remaining time.
func (*Lessor) denial(name Name, e entry, now time.Duration) Lease {
	return Lease{Name: name, Holder: e.Holder, Token: e.Token, Duration: e.ExpiresAt - now}
}

// lessorSnapshot is a Lessor as a raft snapshot stores it.
type lessorSnapshot struct {
	LatestTime time.Duration  `json:"Latest"`
	Leases     map[Name]entry `json:"Leases"`
}

// MarshalJSON encodes the replicated state for a snapshot, without MaxClockDrift.
func (l *Lessor) MarshalJSON() ([]byte, error) {
	return json.Marshal(lessorSnapshot{l.latestTime, l.leases})
}

// UnmarshalJSON replaces the replicated state with that of a snapshot. If the data can't be decoded, it changes nothing and
// returns an error.
func (l *Lessor) UnmarshalJSON(data []byte) error {
	var s lessorSnapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	l.latestTime, l.leases = s.LatestTime, s.Leases
	return nil
}
