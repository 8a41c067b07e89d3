// Package rules decides, for one front of replicated database groups, where
// each request goes and when. It is the decision half of a read/write
// splitter: the host owns transport, clock and discovery, tells the Router
// what happened through one method per event, and carries out what the Router
// asks for through Actions.
//
// A Router starts no goroutine, reads no clock and is not safe for concurrent
// use; the host calls it from one goroutine, or locks. The same settings, seed
// and events always give the same actions.
//
// The host owes the Router a clock that does not go back (an earlier time is
// read as the latest one seen), one Outcome for each Attempt, one ProbeResult
// for each Probe, one Timer call for each SetTimer, and, after Watch, one List. A
// List must come before the first Request. The Router promises one final answer
// for each Request, in time: an OK outcome with Closed set, Refuse or Fail; no
// effect twice, no send after a drain's grace, its fair share of a cold store's
// budget, and no read from data older than its class allows. An outcome for an
// attempt that it does not know is ignored.
package policy

import (
	"fmt"
	"time"
)

// Access says how fresh the data behind an answer must be.
type Access uint8

// The needs a class can have.
const (
	ReadAny     Access = iota // every member will do
	ReadBounded               // no older than Class.Bound when sent
	ReadSession               // everything the session has written
	ReadLatest                // everything written before the request came
	Write                     // a write: only the primary takes it
)

// Idempotency says whether a request may run twice.
type Idempotency uint8

// The effects a class can have.
const (
	Idempotent      Idempotency = iota // may be repeated and refused at will
	IdempotentByKey                    // repeats are dropped within Class.Scope for Class.Window
	NotIdempotent                      // must never run twice
)

// DedupScope is the set of stores that drops the repeats of a keyed request.
type DedupScope uint8

// The scopes of a keyed class.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInGroup
)

// Class describes one class of requests.
type Class struct {
	Name               string
	Access             Access
	MaxStaleness       time.Duration // NeedBounded: the age allowed at the send
	Idempotency        Idempotency
	DedupScope         DedupScope    // Keyed
	DedupWindow        time.Duration // Keyed: counted from the first send that may have run
	LatencyObjective   time.Duration // answered within this, a request earns Worth
	TotalTimeout       time.Duration // what a client waits over all its tries
	PriorityWeight     float64
	LateWeightFraction float64 // share of Worth paid between Aim and the deadline
}

// StaleReadHandling says what a store does with a read it is too far behind for.
type StaleReadHandling uint8

// The ways of a store that is behind.
const (
	StaleReadAnswered StaleReadHandling = iota // answers from what it has
	StaleReadRejected                          // Missed, at once
	StaleReadWaits                             // waits up to Settings.BehindWait, then Missed
)

// Settings is what a front is told at its start. A zero limit means none.
type Settings struct {
	Poolers     int // fronts in this tier, this one included; 0 counts as 1
	PoolerIndex int // this front's number among them, from 0
	Zone        int
	Classes     []Class

	StaleReads          StaleReadHandling
	StaleReadWait       time.Duration
	PositionEpoch       time.Duration // the clock time that Position counts from
	TrackSessions       bool          // session writes are remembered here, not carried by the request
	RolesReported       bool          // load reports carry the role
	ProbesAllowed       bool
	CancelAllowed       bool
	HedgingAllowed      bool // one request may have two attempts out
	RetryAfterSupported bool // clients are told how long to stay away
	MaxAttempts         int
	MaxRetryAfter       time.Duration

	PollList        bool          // discovery answers only when asked
	MaxPollInterval time.Duration // ask at least this often when not subscribed
	EventInterval   time.Duration // the shortest time between two events
	IgnoreRemoval   bool          // only a listed drain binds; leaving the list does not

	DrainGracePeriod  time.Duration
	SlowStartCapacity float64       // share of its capacity that a store starts with
	SlowStartDuration time.Duration // a store is warm this long after its start
	OverloadFactor    float64       // of present capacity, sent for ColdSpan, fells a cold store
	OverloadInterval  time.Duration
}

// Role is what a member is in its group.
type Role uint8

// The roles of a member.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// MemberState is what the list says of a member.
type MemberState uint8

// The states of a listed member.
const (
	Removed MemberState = iota
	Ready
	Draining
)

// Member is one entry of a list.
type Member struct {
	ID         uint32
	Zone       int
	Group      int
	State      MemberState
	Primary    bool          // the list takes it for its group's primary
	StartedAt  time.Duration // clock time of its last start; 0 is long ago
	ReadWeight int           // share of its group's reads by turns, against the other members'; 0 counts as 1
}

// NoReads is the weight of a member that takes no reads by turns, yet may be primary.
const NoReads = -1

// ListKind says how a list relates to the one before it.
type ListKind uint8

// The kinds of a list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries
	ListCached                 // all entries, as a restarted front last knew them
	ListFailed                 // the call failed or the subscription dropped; no entries
)

// Request is a client's request.
type Request struct {
	ID             uint32
	Class          int
	Group          int
	Session        uint64        // 0: none
	Timeout        time.Duration // until the client gives this try up
	SinceLastWrite time.Duration // carried tokens: age of the session's last write; 0: none
}

// ServerStatus is what a store last said of its own load and state.
type ServerStatus struct {
	HasPosition   bool
	Position      time.Duration // clock time up to which it had applied everything
	HasRole       bool
	IsPrimary     bool
	RoleIsCurrent bool    // the role is as of the report itself, not of Position
	Utilization   float64 // share of its cores in use; 0 where untold
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. NeverRan tells which prove that nothing ran.
const (
	OK              Result = iota
	Misdirected            // turned away: not the primary, or too far behind
	ServerError            // an error; may have had an effect
	Overloaded             // sent away unseen
	TimedOut               // no answer in time
	ConnectFailed          // no connection in time
	ConnectionReset        // the connection broke
	Cancelled              // cancelled here
	NotSent                // never sent
)

// NotExecuted reports whether r proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Misdirected || r == Overloaded || r == ConnectFailed || r == NotSent
}

// Outcome is the end of an attempt.
type Outcome struct {
	RequestID   uint32
	Attempt     int // 0, 1, 2, in the order of the sends
	Server      uint32
	Result      Result
	Answered    bool // the request has its final answer
	Role        Role // as the answer told it
	HasPosition bool
	Position    time.Duration // for a write that went through, its commit time
	Status      ServerStatus
}

// ProbeResult is what one probe found.
type ProbeResult struct {
	Server uint32
	Result Result
	Status ServerStatus
}

// Actions is what a host does for a Router. No method may call back into it.
type Actions interface {
	// Attempt sends a request to a store; timeout 0 is the client's patience.
	Attempt(id, store uint32, timeout time.Duration)
	// Reject is the final answer that invites a retry, after the given wait if any.
	Reject(id uint32, after time.Duration)
	// Fail is the final answer that promises nothing.
	Fail(id uint32)
	// CancelAttempt stops waiting for one attempt.
	CancelAttempt(id uint32, attempt int)
	// Probe checks a store.
	Probe(store uint32)
	// SetTimer asks for a Timer call after the given time.
	SetTimer(after time.Duration)
	// CloseIdleConnections closes the idle connections to a store.
	CloseIdleConnections(store uint32)
	// WatchList subscribes to changes of the list.
	WatchList()
	// PrimaryChanged tells news of a group's recorded primary; hosts log its Text.
	PrimaryChanged(n PrimaryEvent)
	// Log adds a line to the front's log.
	Log(text string)
}

// PrimaryEventKind is what News tells.
type PrimaryEventKind uint8

// The kinds.
const (
	PrimaryFound    PrimaryEventKind = iota // Store is the record from now on, as of AsOf
	PrimaryDown                             // Store is no longer, for Why
	PrimaryListed                           // the list names Store, which stands until evidence comes
	PrimaryNotFound                         // a round has ended without one; Again: not the first of this outage
)

// PrimaryEvent is a change of a group's record, or a round that led to none.
type PrimaryEvent struct {
	Kind     PrimaryEventKind
	Group    int
	Server   uint32
	AsOf     time.Duration
	Reason   string
	Repeated bool
}

// LogText is the line for the log; empty: nothing that is worth one.
func (n PrimaryEvent) LogText() string {
	switch {
	case n.Kind == PrimaryFound:
		return fmt.Sprintf("group %d: store %d is primary", n.Group, n.Server)
	case n.Kind == PrimaryDown:
		return fmt.Sprintf("group %d: primary %d %s", n.Group, n.Server, n.Reason)
	case n.Kind == PrimaryListed || n.Repeated:
		return ""
	}
	return fmt.Sprintf("group %d: round ends without a primary", n.Group)
}
