package dispatch

import (
	"hash/fnv"
	"time"

	"threadsail/internal/policy"
)

const (
	// maxKnownServers bounds the names that are kept: more than any list names that is not garbage.
	maxKnownServers = 1 << 16
	// forgetServerAfter is how long the name of a removed server is kept. The policy forgets the server sooner.
	forgetServerAfter = 3 * time.Minute
)

// serverRegistry holds what lists have said of servers: numbers, addresses, groups and states. A server keeps its number as
// long as its name is known.
type serverRegistry struct {
	ids         map[string]uint32 // by name
	addresses   map[uint32]string
	listed      map[uint32]bool          // named by the list in force, whatever their state
	readyGroups map[uint32]int           // the groups of those that are listed as ready
	removedAt   map[uint32]time.Duration // those that are to be forgotten
	knownGroups map[int]bool             // named by some list
}

func newServerRegistry() serverRegistry {
	return serverRegistry{
		ids:         map[string]uint32{},
		addresses:   map[uint32]string{},
		listed:      map[uint32]bool{},
		readyGroups: map[uint32]int{},
		removedAt:   map[uint32]time.Duration{},
		knownGroups: map[int]bool{},
	}
}

// assignID returns the number of a listed server, and gives it one if it is new. The number is made from the name alone, so
// that all poolers come to the same order. It reports false for an unknown server that is removed, and when the registry
// is full.
func (s *serverRegistry) assignID(name string, state policy.MemberState) (id uint32, ok bool) {
	if id, known := s.ids[name]; known {
		return id, true
	}
	if state == policy.Removed || len(s.ids) >= maxKnownServers {
		return 0, false
	}
	hash := fnv.New32a()
	hash.Write([]byte(name)) // never fails
	id = hash.Sum32()
	for s.addresses[id] != "" {
		id++
	}
	s.ids[name] = id
	return id, true
}

// name returns what lists call a server; "": its name is not known. It searches all names, and is for rare use.
func (s *serverRegistry) name(id uint32) string {
	for name, other := range s.ids {
		if other == id {
			return name
		}
	}
	return ""
}

// nameAt returns the name of the server at an address.
func (s *serverRegistry) nameAt(address string) (name string, found bool) {
	for id, other := range s.addresses {
		if other == address {
			return s.name(id), true
		}
	}
	return "", false
}

// list enters a server that a list names as ready or draining.
func (s *serverRegistry) list(id uint32, member Member) {
	s.listed[id] = true
	s.knownGroups[member.Group] = true
	s.addresses[id] = member.Address
	delete(s.removedAt, id)
	delete(s.readyGroups, id)
	if member.State == policy.Ready {
		s.readyGroups[id] = member.Group
	}
}

// unlist enters that no list names a server any more.
func (s *serverRegistry) unlist(id uint32) {
	delete(s.listed, id)
	delete(s.readyGroups, id)
}

// forget drops the name and the address of a server.
func (s *serverRegistry) forget(name string, id uint32) {
	delete(s.ids, name)
	delete(s.addresses, id)
}
