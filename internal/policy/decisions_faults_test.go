package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// disturbance is an external event that affects the servers, the list, the traffic or the router.
type disturbance struct {
	weight int // relative frequency
	begin  func(*simulation)
}

// disturbances are the events that a script draws from, at random by their weights.
var disturbances = []disturbance{
	{6, (*simulation).crashPrimary},
	{5, (*simulation).crashReplica},
	{6, (*simulation).hangServer},
	{6, (*simulation).slowDownServer},
	{2, (*simulation).slowDownAllServers},
	{5, (*simulation).failAttempts},
	{2, (*simulation).failAttemptsEverywhere},
	{4, (*simulation).refuseConnections},
	{3, (*simulation).limitServerQueue},
	{6, (*simulation).increaseLag},
	{5, (*simulation).drainAndRestart},
	{4, (*simulation).switchPrimary},
	{5, (*simulation).partitionServer},
	{3, (*simulation).failList},
	{4, (*simulation).resendList},
	{3, (*simulation).failProbes},
	{4, (*simulation).increaseTraffic},
	{3, (*simulation).reduceTraffic},
	{5, (*simulation).observePrimary},
	{3, (*simulation).reportPrimaryDown},
	{3, (*simulation).toggleRoundLeader},
	{5, (*simulation).ejectByFleet},
	{5, (*simulation).updateSettings},
	{3, (*simulation).slowDownSends},
	{3, (*simulation).replaceServer},
	{2, (*simulation).changeWeights},
	{1, (*simulation).prolongOutage},
	{2, (*simulation).reportUnknownObjects},
}

// beginDisturbance begins a random disturbance and schedules the next one.
func (s *simulation) beginDisturbance() {
	total := 0
	for _, d := range disturbances {
		total += d.weight
	}
	drawn := s.random.IntN(total)
	for _, d := range disturbances {
		if drawn -= d.weight; drawn < 0 {
			d.begin(s)
			break
		}
	}
	s.schedule(s.randomDuration(s.script.disturbanceInterval/4, 2*s.script.disturbanceInterval),
		s.beginDisturbance)
}

func (s *simulation) randomServer() *modelServer { return s.servers[s.random.IntN(len(s.servers))] }

func (s *simulation) randomGroup() int { return 1 + s.random.IntN(s.script.groups) }

// primaryOf returns the running server of a group that accepts writes, or nil if there is none.
func (s *simulation) primaryOf(group int) *modelServer {
	for _, server := range s.servers {
		if server.member.Group == group && server.primary && server.up {
			return server
		}
	}
	return nil
}

// randomReplica returns a running replica of a group that is listed as ready, or nil if there is
// none.
func (s *simulation) randomReplica(group int) *modelServer {
	var replicas []*modelServer
	for _, server := range s.servers {
		if server.member.Group == group && !server.primary && server.up && server.member.State == policy.Ready {
			replicas = append(replicas, server)
		}
	}
	if len(replicas) == 0 {
		return nil
	}
	return replicas[s.random.IntN(len(replicas))]
}

// crash stops a server, which resets its connections, and restarts it as a replica after a delay.
func (s *simulation) crash(server *modelServer, restartAfter time.Duration) {
	server.up, server.primary = false, false
	for _, attempt := range append([]*modelAttempt(nil), server.inFlight...) {
		s.endAttempt(attempt, policy.ConnectionReset)
	}
	s.schedule(restartAfter, func() {
		server.up = true
		server.member.StartedAt, server.member.Primary = s.clock, false
		s.schedule(s.randomDuration(0, 2*time.Second), func() { s.reportMember(server) })
	})
}

// promote makes a replica of a group its primary unless the group has one. The list names it later.
func (s *simulation) promote(group int) {
	if s.primaryOf(group) != nil {
		return
	}
	next := s.randomReplica(group)
	if next == nil {
		s.schedule(time.Second, func() { s.promote(group) })
		return
	}
	next.primary = true
	s.schedule(s.randomDuration(500*millisecond, 3*time.Second), func() { s.listPrimary(group) })
}

// listPrimary reports list entries that name the present primary of a group.
func (s *simulation) listPrimary(group int) {
	var changed []policy.Member
	for _, server := range s.servers {
		if server.member.Group == group && server.member.State != policy.Removed &&
			server.member.Primary != server.primary {
			server.member.Primary = server.primary
			changed = append(changed, server.member)
		}
	}
	s.router.HandleList(s.reportedTime(), policy.ListDelta, changed)
}

// crashPrimary crashes the primary of a group and promotes a replica later.
func (s *simulation) crashPrimary() {
	group := s.randomGroup()
	if primary := s.primaryOf(group); primary != nil {
		s.crash(primary, s.randomDuration(time.Second, 8*time.Second))
		s.schedule(s.randomDuration(300*millisecond, 6*time.Second), func() { s.promote(group) })
		if s.withProbability(0.5) { // another pooler has found no primary either
			s.schedule(s.randomDuration(0, 400*millisecond), func() {
				s.router.ObservePrimary(s.reportedTime(), group, 0, false, 0)
			})
		}
	}
}

// crashReplica crashes a replica of a group.
func (s *simulation) crashReplica() {
	if replica := s.randomReplica(s.randomGroup()); replica != nil {
		s.crash(replica, s.randomDuration(200*millisecond, 6*time.Second))
	}
}

// hangServer makes a server stop answering requests for a while; it still answers probes.
func (s *simulation) hangServer() {
	server := s.randomServer()
	server.hung = true
	s.schedule(s.randomDuration(300*millisecond, 6*time.Second), func() { server.hung = false })
}

// partitionServer makes a server unreachable for a while.
func (s *simulation) partitionServer() {
	server := s.randomServer()
	server.unreachable = true
	s.schedule(s.randomDuration(300*millisecond, 5*time.Second), func() { server.unreachable = false })
}

// slowDownServer slows down a server for a while.
func (s *simulation) slowDownServer() {
	server := s.randomServer()
	server.slowdown = 2 + 10*s.random.Float64()
	s.schedule(s.randomDuration(time.Second, 10*time.Second), func() { server.slowdown = 1 })
}

// slowDownAllServers slows down all servers for a while.
func (s *simulation) slowDownAllServers() {
	for _, server := range s.servers {
		server.slowdown = 3
	}
	s.schedule(s.randomDuration(time.Second, 5*time.Second), func() {
		for _, server := range s.servers {
			server.slowdown = 1
		}
	})
}

// failAttempts makes a share of the attempts at a server fail for a while.
func (s *simulation) failAttempts() {
	server := s.randomServer()
	server.errorRate = 0.3 + 0.7*s.random.Float64()
	s.schedule(s.randomDuration(500*millisecond, 4*time.Second), func() { server.errorRate = 0 })
}

// failAttemptsEverywhere makes a share of the attempts at all servers fail for a while.
func (s *simulation) failAttemptsEverywhere() {
	for _, server := range s.servers {
		server.errorRate = 0.6
	}
	s.schedule(s.randomDuration(500*millisecond, 3*time.Second), func() {
		for _, server := range s.servers {
			server.errorRate = 0
		}
	})
}

// refuseConnections makes a server refuse most connections for a while.
func (s *simulation) refuseConnections() {
	server := s.randomServer()
	server.refusesConnections = true
	s.schedule(s.randomDuration(500*millisecond, 5*time.Second), func() { server.refusesConnections = false })
}

// limitServerQueue makes a server reject attempts beyond the first ones for a while.
func (s *simulation) limitServerQueue() {
	server := s.randomServer()
	server.queueLimit = 1
	s.schedule(s.randomDuration(500*millisecond, 4*time.Second), func() { server.queueLimit = 64 })
}

// increaseLag increases the replication lag of a server for a while.
func (s *simulation) increaseLag() {
	server := s.randomServer()
	server.lag = s.randomDuration(50*millisecond, 6*time.Second)
	s.schedule(s.randomDuration(time.Second, 10*time.Second), func() { server.lag = 20 * millisecond })
}

// drainAndRestart drains and removes a server, and lists it as ready and restarted later.
func (s *simulation) drainAndRestart() {
	server := s.randomServer()
	if server.member.State != policy.Ready {
		return
	}
	s.drainServer(server)
	s.schedule(s.randomDuration(5*time.Second, 15*time.Second), func() {
		server.member.State, server.member.StartedAt, server.member.Primary = policy.Ready, s.clock, server.primary
		s.reportMember(server)
	})
}

// drainServer lists a server as draining and later as removed. A primary is replaced by another
// server.
func (s *simulation) drainServer(server *modelServer) {
	server.member.State = policy.Draining
	s.reportMember(server)
	if group := server.member.Group; server.primary {
		s.schedule(600*millisecond, func() {
			server.primary = false
			s.schedule(s.randomDuration(50*millisecond, 900*millisecond), func() { s.promote(group) })
		})
	}
	s.schedule(3*time.Second, func() {
		if server.member.State == policy.Draining {
			server.member.State = policy.Removed
			s.reportMember(server)
		}
	})
}

// replaceServer drains a server and adds a new one in its place. The old one returns at about the
// time at which the router forgets removed servers.
func (s *simulation) replaceServer() {
	old := s.randomServer()
	if old.member.State != policy.Ready {
		return
	}
	s.drainServer(old)
	s.schedule(s.randomDuration(time.Second, 6*time.Second), func() {
		s.addServer(policy.Member{Zone: old.member.Zone, Group: old.member.Group, State: policy.Ready,
			StartedAt: s.clock, ReadWeight: old.member.ReadWeight})
		s.reportMember(s.servers[len(s.servers)-1])
	})
	s.schedule(s.randomDuration(55*time.Second, 80*time.Second), func() {
		old.member.State, old.member.Primary = policy.Ready, false
		s.reportMember(old)
	})
}

// switchPrimary demotes the primary of a group and promotes a replica shortly after.
func (s *simulation) switchPrimary() {
	group := s.randomGroup()
	primary, next := s.primaryOf(group), s.randomReplica(group)
	if primary == nil || next == nil {
		return
	}
	primary.primary = false
	s.schedule(s.randomDuration(0, 700*millisecond), func() { s.promote(group) })
}

// prolongOutage demotes the primary of a group and promotes a replica only after a long time. The
// list does not show it.
func (s *simulation) prolongOutage() {
	group := s.randomGroup()
	if primary := s.primaryOf(group); primary != nil {
		primary.primary = false
		s.schedule(s.randomDuration(5*time.Second, 15*time.Second), func() { s.promote(group) })
	}
}
