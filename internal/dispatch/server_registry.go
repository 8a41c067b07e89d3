package dispatch

import (
	"hash/fnv"
	"time"

	"threadsail/internal/policy"
)

const (
	// maxKnownServers is the maximum number of server names that are kept. Any valid list has fewer.
	maxKnownServers = 1 << 16
	// removedServerRetention is how long the name of a removed server is kept. It is longer than the policy's own retention.
	removedServerRetention = 3 * time.Minute
)

// serverRegistry holds the ids, addresses, groups and states of the servers that lists have named. A server keeps its id as
// long as its name is known.
type serverRegistry struct {
	ids         map[string]uint32 // by name
	addresses   map[uint32]string
	listed      map[uint32]bool          // servers that the current list names as ready or draining
	readyGroups map[uint32]int           // groups of the servers that are listed as ready
	removedAt   map[uint32]time.Duration // Unix times at which the servers that are to be forgotten were removed
	knownGroups map[int]bool             // groups that any list has named
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

// assignID returns the id of a listed server, and assigns one if the server is new. The id is a hash of the name, so that all
// poolers order the servers alike; a collision is resolved by the next free id. assignID returns false for an unknown server
// that is listed as removed, and when the registry is full.
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

// name returns the name of a server, or "" if it is not known. It searches all names, in linear time.
func (s *serverRegistry) name(id uint32) string {
	for name, knownID := range s.ids {
		if knownID == id {
			return name
		}
	}
	return ""
}

// nameAt returns the name of the server at an address. It searches all addresses, in linear time.
func (s *serverRegistry) nameAt(address string) (name string, found bool) {
	for id, knownAddress := range s.addresses {
		if knownAddress == address {
			return s.name(id), true
		}
	}
	return "", false
}

// markListed records a server that a list names as ready or draining.
func (s *serverRegistry) markListed(id uint32, member Member) {
	s.listed[id] = true
	s.knownGroups[member.Group] = true
	s.addresses[id] = member.Address
	delete(s.removedAt, id)
	delete(s.readyGroups, id)
	if member.State == policy.Ready {
		s.readyGroups[id] = member.Group
	}
}

// markUnlisted records that a server is no longer in the list.
func (s *serverRegistry) markUnlisted(id uint32) {
	delete(s.listed, id)
	delete(s.readyGroups, id)
}

// forget deletes the name and the address of a server.
func (s *serverRegistry) forget(name string, id uint32) {
	delete(s.ids, name)
	delete(s.addresses, id)
}
