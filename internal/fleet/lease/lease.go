// Package lease decides which pooler holds a named lease (of the discovery leader, of the all-member round of a group, of the
// warm-up budget of a server), for how long, and when the lease passes on: duration, renewal, fencing tokens and release.
//
// The package has three parts, each owned by one side:
//   - Lessor is the voters' replicated state. The consensus engine applies commands to it in log order on every voter. A
//     command carries the leader's time on the lessor's own clock, so that every replica decides alike. Tokens are log indices:
//     they only grow. No wall clock is read: Clock says how the lessor's time follows each leader's monotonic clock.
//   - LocalLease is a pooler's view of its own lease. It counts from the moment of the request, on the pooler's monotonic
//     clock, and becomes invalid a clock drift before the voters can consider the lease over, so that two holders never act at
//     the same time.
//   - Fence belongs to whoever receives the actions of a lease holder: an action with a token older than one already seen is
//     refused.
//
// A pooler that hears of no holder acts alone within its share, as it does without leases (ShouldActAlone): a lease never
// halts service.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are not safe for use by several goroutines;
// their owners guard them.
package lease

import "time"

// Name identifies a lease: "lists", "round/GROUP", "warm/SERVER".
type Name string

// Lease is a lease as the voters committed it. Its form is sent to the poolers as JSON, under the tags below.
type Lease struct {
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"` // the instance id of the pooler that holds the lease
	Token    uint64        `json:"Token"`  // fencing token: the log index of the command that gave the lease to this holder
	Duration time.Duration `json:"Term"`   // counted from the holder's request
}

// Command is what a pooler proposes to the voters, as their leader stamps it. Its form is stored in the log as JSON, under
// the tags below.
type Command struct {
	Release  bool          `json:"Release"` // release the lease, after the holder has stopped acting (LocalLease.Drop); else acquire or renew it
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"`
	Duration time.Duration `json:"Term"`
	Now      time.Duration `json:"Now"`   // the lessor's time at the leader, taken after the pooler's request came (Clock.At)
	RaftTerm uint64        `json:"Epoch"` // the raft term in which the leader stamped the command
}
