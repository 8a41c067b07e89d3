package policy

import (
	"maps"
	"slices"
	"time"

	"threadsail/internal/rendezvous"
)

// group is the state that a Router keeps for one group of replicated servers.
type group struct {
	id               int
	members          []*server
	primary          *server // the recorded primary; nil if there is none
	outage           primaryOutage
	ping             pingSchedule
	round            probeRound
	queue            requestQueue
	ranking          replicaRanking
	lastRequestAt    time.Duration
	roundRobinOffset int  // index of the member at which the next read starts its search, modulo the members
	weightsDiffer    bool // whether the members differ in ReadWeight
}

// replicaRanking caches the order in which this pooler prefers the ready replicas of a group. It is
// valid until the set of ready replicas or the settings change.
type replicaRanking struct {
	replicas []*server // the ready replicas that were ranked, in member order
	ranked   []*server // the same replicas, most preferred first
}

func (k *replicaRanking) invalidate() { k.replicas = nil }

// groupFor returns the group with the given ID, creating it if it does not exist.
func (r *Router) groupFor(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id, roundRobinOffset: int(r.random.next() * (1 << 24))}
		r.groups[id] = g
	}
	return g
}

// sortedGroups returns all groups, sorted by ID.
func (r *Router) sortedGroups() []*group {
	sorted := make([]*group, 0, len(r.groups))
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		sorted = append(sorted, r.groups[id])
	}
	return sorted
}

// addMember adds a server to the members of its group unless it is one already.
func (r *Router) addMember(s *server) {
	if s.listed {
		return
	}
	s.listed = true
	g := r.groupFor(s.Group)
	g.members = append(g.members, s)
}

// removeMember removes a server from the members of its group.
func (r *Router) removeMember(s *server) {
	s.listed = false
	g := r.groupFor(s.Group)
	if i := slices.Index(g.members, s); i >= 0 {
		// A caller may be iterating over the members, so that the slice must not be modified in place.
		g.members = append(g.members[:i:i], g.members[i+1:]...)
	}
}

// updateWeightsDiffer recomputes weightsDiffer, which selects weighted round robin for reads.
func (g *group) updateWeightsDiffer() {
	g.weightsDiffer = slices.ContainsFunc(g.members, func(s *server) bool {
		return max(s.ReadWeight, 1) != max(g.members[0].ReadWeight, 1)
	})
}

// isReadyReplica reports whether a member is listed as ready and is not the recorded primary.
func (g *group) isReadyReplica(s *server) bool { return s != g.primary && s.State == Ready }

// mostLaggedReplica returns the replica with the lowest known position among those that are ready and
// not ejected, or nil if there is none.
func (g *group) mostLaggedReplica() *server {
	var mostLagged *server
	for _, s := range g.members {
		if !g.isReadyReplica(s) || s.ejection.ejected {
			continue
		}
		if mostLagged == nil || s.replication.position < mostLagged.replication.position {
			mostLagged = s
		}
	}
	return mostLagged
}

// rankedReplicas returns the ready replicas of a group in the order in which this pooler prefers
// them. The assignment spreads the homes of all poolers evenly over the replicas (see
// rendezvous.Order).
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
