package policy

import "time"

// Role is what a server is in its group.
type Role uint8

// The roles of a server.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// MemberState is what the endpoint list says of a server.
type MemberState uint8

// The states of a listed server.
const (
	Removed MemberState = iota
	Ready
	Draining
)

// NoReads is the ReadWeight of a member that takes no reads by turns and may still be primary.
const NoReads = -1

// Member is one entry of the endpoint list.
type Member struct {
	ID         uint32 // the server, the same at all poolers
	Zone       int
	Group      int
	State      MemberState
	Primary    bool          // the list names it as its group's primary
	StartedAt  time.Duration // clock time of its last start; 0 for long ago
	ReadWeight int           // its share of the group's reads against the other members'; 0 counts as 1
}

// ListKind says how a list relates to the one before it.
type ListKind uint8

// The kinds of a list.
const (
	ListDelta  ListKind = iota // only the entries that changed
	ListFull                   // all entries
	ListCached                 // all entries, as a pooler that was restarted had stored them
	ListFailed                 // no entries: the poll failed or the subscription ended
)

// Request is a request of a client.
type Request struct {
	ID             uint32
	Class          int // index into Settings.Classes
	Group          int
	Session        uint64        // 0 for none
	Timeout        time.Duration // span until the client gives up this try
	SinceLastWrite time.Duration // age of the session's last write, as the request carries it; 0 for none
}

// ServerStatus is what a server last reported of its own load and state.
type ServerStatus struct {
	HasPosition   bool
	Position      time.Duration // clock time up to which the server has applied everything
	HasRole       bool
	IsPrimary     bool
	RoleIsCurrent bool    // the role is as of the report itself, not of Position
	Utilization   float64 // share of its cores in use, from 0 to 1; 0 where it was not reported
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. NotExecuted tells which of them prove that the request had no effect.
const (
	OK              Result = iota
	Misdirected            // the server is not the primary, or is too far behind
	ServerError            // an error, which may have come after an effect
	Overloaded             // turned away before it was looked at
	TimedOut               // no answer in time
	ConnectFailed          // no connection in time
	ConnectionReset        // the connection broke
	Cancelled              // cancelled by the pooler
	NotSent                // never sent
)

// NotExecuted reports whether r proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Misdirected || r == Overloaded || r == ConnectFailed || r == NotSent
}

// Outcome is the end of an attempt.
type Outcome struct {
	RequestID   uint32
	Attempt     int // 0, 1, 2 and so on, in the order of the sends
	Server      uint32
	Result      Result
	Answered    bool // the client has its final answer
	Role        Role // the server's role, as the answer reports it
	HasPosition bool
	Position    time.Duration // of a write that was executed its commit time; else as ServerStatus.Position
	Status      ServerStatus
}

// ProbeResult is the end of a probe.
type ProbeResult struct {
	Server uint32
	Result Result
	Status ServerStatus
}
