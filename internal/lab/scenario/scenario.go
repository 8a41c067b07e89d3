// Package scenario reads the laboratory's scenario files: how large a fleet is played, under which load, and which faults it meets when.
// It checks them, completes them by defaults and names the file, the line and the key of what is wrong. It plays nothing.
package scenario

import (
	"time"

	"threadsail/internal/config"
	"threadsail/internal/lab/faults"
)

// Scenario is an experiment of the fleet laboratory: its size, its load and its faults.
type Scenario struct {
	Size
	RolesListed bool          // the lists tell who is primary
	Direct      bool          // no relays between poolers and servers: for fleets that are too large for one a link
	Length      time.Duration // of the run
	Seed        uint64        // draws shares of poolers and the clients' choices
	Traffic
	ServiceTime      time.Duration // a server takes over a statement, half of it to one and a half
	Machines         int           // poolers are on so many machines, by turns; 0: each on its own
	Plan             *faults.Plan
	Fleet            Fleet
	PushLists        bool          // lists are pushed to an agent on each pooler's machine
	DrainGracePeriod time.Duration // of a drain; 0: as the stand-ins' settings have it
	Unkeyed          bool          // writes carry no key, and must never run twice
	ReplicationLog   ReplicationLog
}

// Size is how many of what there are.
type Size struct {
	Poolers int // processes of the pooler
	Servers int // stand-in servers; the first is primary
	Groups  int // of servers, in order and of about one size; the first of each is its primary
}

// Traffic is what the clients do.
type Traffic struct {
	Clients    int           // of each pooler, each with one request at a time
	Hot        []int         // poolers that have HotClients instead: traffic is uneven
	HotClients int           // of each of these
	ThinkTime  time.Duration // between a client's answer and its next request
	WriteShare float64       // share of the requests that are keyed writes
	Timeout    time.Duration // a request's deadline
}

// ReplicationLog is how replicas follow their primary's log; Wait 0: they answer from what they have.
type ReplicationLog struct {
	MaxWait      time.Duration // a bounded read waits so long for a replica that is too far behind
	MaxStaleness time.Duration // how old such a read's data may be
	ReportShare  float64       // share of the reads that any member answers and that stop a replica's log meanwhile
	ReportTime   time.Duration // how long those take
}

// Fleet is how the poolers of a scenario work together; without Voters each is on its own.
type Fleet struct {
	Voters          int           // the first so many poolers are the voters of the consensus
	Distributors    int           // the first so many bring what all share, the voters among them; 0: by gossip
	Regions         int           // poolers are in so many regions, by turns; 0: one
	Term            time.Duration // as config.Fleet.Term; the drift is 3% of it, the election a third
	Relays          bool          // a relay on each link between two poolers, for faults
	SharedAddresses bool          // as config.Fleet.SharedAddresses
	MinBuild        string        // as config.Fleet.LeastBuild, at all poolers
	Zones           int           // poolers are in so many zones, by turns; 0: one
	Outliers        bool          // they find bad servers out together
	Limits          config.Limits // as config.Fleet.Limits, at all poolers
	Purges          Purges
	Shards          Shards
}

// Shards is the rows that a scenario's clients write and read by key, in a map of as many ranges as there are groups; without Keys
// clients use one row, and there is no map.
type Shards struct {
	Keys    int
	Lenient bool // servers take writes of any epoch: routers alone keep order
	Faults  []MoveFault
}

// MoveFault is a fault that meets a move in a state.
type MoveFault struct {
	Move        int    // the first is 1
	On          string // "prepared", or the instruction that servers are receiving
	Act         faults.Act
	Coordinator bool  // the fault meets whoever carries the move out,
	Poolers     []int // or these
	Duration    time.Duration
}

// Purges is how the poolers of a scenario cache answers, and purge them; without Sites they cache none. Poolers are assigned to sites
// in turn. Reads are of a row of Rows, some rows more often than others.
type Purges struct {
	Sites, Rows                  int
	Guard, MaxReplicaAge, Settle time.Duration // as config.PurgesPart
}

// Machine returns the poolers that are on the machines of a set of poolers.
func (s *Scenario) Machine(poolers []int) (out []int) {
	if s.Machines == 0 {
		return poolers
	}
	down := map[int]bool{}
	for _, i := range poolers {
		down[i%s.Machines] = true
	}
	for i := range s.Poolers {
		if down[i%s.Machines] {
			out = append(out, i)
		}
	}
	return out
}

// GroupOf returns the group of the server in place j, and whether that server is its group's first.
func (s *Scenario) GroupOf(j int) (group int, first bool) {
	group = j * s.Groups / s.Servers
	return group, j == 0 || (j-1)*s.Groups/s.Servers != group
}

const (
	driftPercent    = 3 // of the term
	electionsOfTerm = 3
)

// ClockDrift returns the drift of clocks that a scenario's poolers reckon with over a term.
func (f Fleet) ClockDrift() time.Duration { return f.Term * driftPercent / 100 }

// ElectionTimeout returns the timeout after which the voters of a scenario stand for election.
func (f Fleet) ElectionTimeout() time.Duration { return f.Term / electionsOfTerm }
