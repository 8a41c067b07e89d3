package policy

import "time"

// Role is the replication role of a server in its group.
type Role uint8

// The roles of a server.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// MemberState is the state of a server in the endpoint list.
type MemberState uint8

// The states of a server in the endpoint list.
const (
	Removed MemberState = iota
	Ready
	Draining
)

// NoReads is the ReadWeight of a member that is not used as a read replica. It may become primary.
const NoReads = -1

// Member is one entry of the endpoint list.
type Member struct {
	ID         uint32 // identifier of the server, the same at all poolers
	Zone       int
	Group      int
	State      MemberState
	Primary    bool          // whether the list names the server as its group's primary
	StartedAt  time.Duration // clock time of the server's last start; 0 if that is long ago
	ReadWeight int           // weight of the server among the group's read replicas; 0 counts as 1

	AnswersStaleReads bool // whether the server answers a read that it is too far behind for, whatever Settings.StaleReads is
}

// ListKind is the kind of an endpoint list: how it relates to the previous one.
type ListKind uint8

// The kinds of an endpoint list.
const (
	ListDelta  ListKind = iota // only the entries that have changed
	ListFull                   // all entries
	ListCached                 // all entries, as stored by the pooler before its restart
	ListFailed                 // no entries: the poll failed or the subscription ended
)

// Request is a request of a client.
type Request struct {
	ID             uint32
	Class          int // index into Settings.Classes
	Group          int
	Sessions       []uint64      // identifiers of the sessions that the request may belong to; none if they are unknown
	Timeout        time.Duration // time until the client gives up this request
	SinceLastWrite time.Duration // age of the session's last write, if the request carries it; 0 for none, negative if it is ahead of the clock
}

// ServerStatus is a server's latest report of its replication state and load.
type ServerStatus struct {
	HasPosition   bool
	Position      time.Duration // clock time up to which the server has applied all writes
	HasRole       bool
	IsPrimary     bool
	RoleIsCurrent bool    // whether the role is as of the report itself rather than as of Position
	Utilization   float64 // share of the server's cores in use, from 0 to 1; 0 if not reported
}

// Result is the result of an attempt or a probe.
type Result uint8

// The results of an attempt or a probe. Result.NotExecuted reports which of them prove that the
// request had no effect.
const (
	OK              Result = iota // the attempt was served or the probe answered
	Misdirected                   // the server is not the primary, or is too far behind
	ServerError                   // the server returned an error; the request may have had an effect
	Overloaded                    // the server rejected the attempt without executing it
	TimedOut                      // no answer in time
	ConnectFailed                 // no connection was established in time
	ConnectionReset               // the connection broke
	Cancelled                     // cancelled by the pooler
	NotSent                       // the attempt was not sent
)

// NotExecuted reports whether r proves that the attempt had no effect.
func (r Result) NotExecuted() bool {
	return r == Misdirected || r == Overloaded || r == ConnectFailed || r == NotSent
}

// Outcome reports the end of an attempt.
type Outcome struct {
	RequestID   uint32
	Attempt     int // number of the attempt within its request, from 0
	Server      uint32
	Result      Result
	Answered    bool // whether the client has its final answer
	Role        Role // role of the server according to the answer
	HasPosition bool
	Position    time.Duration // commit time of an executed write; otherwise as ServerStatus.Position
	Status      ServerStatus
}

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Server uint32
	Result Result
	Status ServerStatus
}
