// Package lease implements named leases: it decides which pooler holds a lease (of the discovery leader, of the probe rounds of a
// group, or of the slow-start budget of a server), for how long, and when another pooler may acquire it. It covers duration,
// renewal, fencing tokens and release.
//
// Its three types are used by different parties:
//   - Lessor is the replicated state of the voters. Each voter applies committed commands to it in log order. A command carries
//     the lessor's time as its leader computed it, so that every replica makes the same decision. Tokens are log indices, so
//     they only increase. No wall clock is read: Clock derives the lessor's time from each leader's monotonic clock.
//   - LocalLease is a pooler's view of its own lease. Its duration counts from the time of the request, on the pooler's monotonic
//     clock. It becomes invalid earlier than at the voters, by the maximum clock drift, so that two holders never act at the
//     same time.
//   - Fence is used by the receiver of a holder's actions. It refuses an action with a token older than one already seen.
//
// A pooler that knows of no holder acts alone within its share, as it does without leases (ShouldActAlone), so that leases never
// interrupt service.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are not safe for concurrent use; callers must
// synchronize access.
package lease

import "time"

// Name identifies a lease: "lists", "round/GROUP", "warm/SERVER".
type Name string

// Lease is a lease as committed by the voters. It is sent to poolers as JSON.
type Lease struct {
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"` // instance id of the pooler that holds the lease
	Token    uint64        `json:"Token"`  // fencing token: log index of the command that granted the lease to this holder
	Duration time.Duration `json:"Term"`   // length of the lease, counted from the holder's request
}

// Command is a pooler's request to acquire, renew or release a lease, with the time stamp of the voters' leader. It is stored in
// the log as JSON.
type Command struct {
	Release  bool          `json:"Release"` // releases the lease, after the holder has stopped acting (LocalLease.Drop); false: acquires or renews it
	Name     Name          `json:"Duty"`
	Holder   string        `json:"Holder"`
	Duration time.Duration `json:"Term"`
	Now      time.Duration `json:"Now"`   // time stamp: the lessor's time at the leader when the request had arrived (Clock.At)
	RaftTerm uint64        `json:"Epoch"` // raft term in which the leader stamped the command
}
