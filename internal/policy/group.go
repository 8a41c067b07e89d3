package policy

import (
	"maps"
	"slices"
	"time"

	"threadsail/internal/rendezvous"
)

// group is what a Router knows of one group of replicated servers.
type group struct {
	id               int
	members          []*server
	primary          *server // the recorded primary, nil for none
	outage           primaryOutage
	ping             pingSchedule
	round            probeRound
	queue            requestQueue
	ranking          replicaRanking
	lastRequestAt    time.Duration
	roundRobinOffset int  // the member that the next read's turn starts at
	weightsDiffer    bool // its members differ in ReadWeight
}

// replicaRanking is the order in which this pooler prefers the ready replicas of a group. It holds
// until these, or the settings, change.
type replicaRanking struct {
	replicas []*server // the ready replicas that were ranked, in the order of the members
	ranked   []*server
}

func (k *replicaRanking) invalidate() { k.replicas = nil }

// groupFor returns the group of a number and creates it if need be.
func (r *Router) groupFor(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id, roundRobinOffset: int(r.random.next() * (1 << 24))}
		r.groups[id] = g
	}
	return g
}

// sortedGroups returns all groups by their numbers.
func (r *Router) sortedGroups() []*group {
	sorted := make([]*group, 0, len(r.groups))
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		sorted = append(sorted, r.groups[id])
	}
	return sorted
}

// addMember makes a server a member of its group.
func (r *Router) addMember(s *server) {
	if s.listed {
		return
	}
	s.listed = true
	g := r.groupFor(s.Group)
	g.members = append(g.members, s)
}

// removeMember takes a server out of its group.
func (r *Router) removeMember(s *server) {
	s.listed = false
	g := r.groupFor(s.Group)
	if i := slices.Index(g.members, s); i >= 0 {
		// A loop over the members may be under way: they are copied to a new slice.
		g.members = append(g.members[:i:i], g.members[i+1:]...)
	}
}

// updateWeightsDiffer finds out whether the members differ in weight: where they do, reads go by
// weighted turns.
func (g *group) updateWeightsDiffer() {
	g.weightsDiffer = slices.ContainsFunc(g.members, func(s *server) bool {
		return max(s.ReadWeight, 1) != max(g.members[0].ReadWeight, 1)
	})
}

// isReadyReplica reports whether a member is listed as ready and is not the recorded primary.
func (g *group) isReadyReplica(s *server) bool { return s != g.primary && s.State == Ready }

// mostLaggedReplica returns the replica with the lowest known position of those that are ready and
// not ejected.
func (g *group) mostLaggedReplica() *server {
	var last *server
	for _, s := range g.members {
		if !g.isReadyReplica(s) || s.ejection.ejected {
			continue
		}
		if last == nil || s.replication.position < last.replication.position {
			last = s
		}
	}
	return last
}

// rankedReplicas returns the ready replicas of a group in the order in which this pooler prefers
// them: first its home, of which each replica is given as many poolers, then the others by the
// pooler's own ranking.
func (r *Router) rankedReplicas(g *group) []*server {
	ready := r.servers.scratch[:0]
	for _, s := range g.members {
		if g.isReadyReplica(s) {
			ready = append(ready, s)
		}
	}
	r.servers.scratch = ready
	if slices.Equal(ready, g.ranking.replicas) {
		return g.ranking.ranked
	}
	ids := make([]uint32, len(ready))
	for i, s := range ready {
		ids[i] = s.ID
	}
	g.ranking.replicas = slices.Clone(ready)
	g.ranking.ranked = nil
	for _, i := range rendezvous.Order(r.settings.PoolerIndex, r.settings.Poolers, ids) {
		g.ranking.ranked = append(g.ranking.ranked, ready[i])
	}
	return g.ranking.ranked
}
