package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// disturbance is something that befalls the servers, the list, the traffic or the router from outside.
type disturbance struct {
	weight int // how often, against the others
	begin  func(*simulation)
}

// disturbances are drawn by weight while a script runs.
var disturbances = []disturbance{
	{6, (*simulation).crashPrimary},
	{5, (*simulation).crashReplica},
	{6, (*simulation).hang},
	{6, (*simulation).slowDown},
	{2, (*simulation).slowDownAll},
	{5, (*simulation).fail},
	{2, (*simulation).failAll},
	{4, (*simulation).loseConnections},
	{3, (*simulation).limitQueue},
	{6, (*simulation).lag},
	{5, (*simulation).drain},
	{4, (*simulation).handOver},
	{5, (*simulation).partition},
	{3, (*simulation).loseList},
	{4, (*simulation).repeatList},
	{3, (*simulation).failProbes},
	{4, (*simulation).overload},
	{3, (*simulation).lull},
	{5, (*simulation).observePrimary},
	{3, (*simulation).suspect},
	{3, (*simulation).changeLeader},
	{5, (*simulation).fleetEjection},
	{5, (*simulation).retune},
	{3, (*simulation).sendSlowly},
	{3, (*simulation).replace},
	{2, (*simulation).reweigh},
	{1, (*simulation).darken},
	{2, (*simulation).stray},
}

// disturb begins one disturbance now, and the next one later.
func (s *simulation) disturb() {
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
	s.schedule(s.between(s.script.disturbEvery/4, 2*s.script.disturbEvery), s.disturb)
}

func (s *simulation) anyServer() *modelServer { return s.servers[s.random.IntN(len(s.servers))] }

func (s *simulation) anyGroup() int { return 1 + s.random.IntN(s.script.groups) }

// primaryOf is the server of a group that takes writes now; nil: none.
func (s *simulation) primaryOf(group int) *modelServer {
	for _, server := range s.servers {
		if server.member.Group == group && server.primary && server.up {
			return server
		}
	}
	return nil
}

// anyReplica is a running replica of a group that is listed as ready; nil: none.
func (s *simulation) anyReplica(group int) *modelServer {
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

// crash stops a server: its connections break, and it starts again as a replica.
func (s *simulation) crash(server *modelServer, restart time.Duration) {
	server.up, server.primary = false, false
	for _, attempt := range append([]*modelAttempt(nil), server.inFlight...) {
		s.end(attempt, policy.ConnectionReset)
	}
	s.schedule(restart, func() {
		server.up = true
		server.member.StartedAt, server.member.Primary = s.clock, false
		s.schedule(s.between(0, 2*time.Second), func() { s.announce(server) })
	})
}

// promote makes a replica of a group its primary, if it has none; the list says so later.
func (s *simulation) promote(group int) {
	if s.primaryOf(group) != nil {
		return
	}
	next := s.anyReplica(group)
	if next == nil {
		s.schedule(time.Second, func() { s.promote(group) })
		return
	}
	next.primary = true
	s.schedule(s.between(500*millisecond, 3*time.Second), func() { s.listPrimary(group) })
}

// listPrimary lists a group's primary as such, and the others as replicas.
func (s *simulation) listPrimary(group int) {
	var changed []policy.Member
	for _, server := range s.servers {
		if server.member.Group == group && server.member.State != policy.Removed && server.member.Primary != server.primary {
			server.member.Primary = server.primary
			changed = append(changed, server.member)
		}
	}
	s.router.HandleList(s.now(), policy.ListDelta, changed)
}

func (s *simulation) crashPrimary() {
	group := s.anyGroup()
	if primary := s.primaryOf(group); primary != nil {
		s.crash(primary, s.between(time.Second, 8*time.Second))
		s.schedule(s.between(300*millisecond, 6*time.Second), func() { s.promote(group) })
		if s.chance(0.5) { // another pooler looks for the next one
			s.schedule(s.between(0, 400*millisecond), func() { s.router.ObservePrimary(s.now(), group, 0, false, 0) })
		}
	}
}

func (s *simulation) crashReplica() {
	if replica := s.anyReplica(s.anyGroup()); replica != nil {
		s.crash(replica, s.between(200*millisecond, 6*time.Second))
	}
}

func (s *simulation) hang() {
	server := s.anyServer()
	server.hung = true
	s.schedule(s.between(300*millisecond, 6*time.Second), func() { server.hung = false })
}

func (s *simulation) partition() {
	server := s.anyServer()
	server.unreachable = true
	s.schedule(s.between(300*millisecond, 5*time.Second), func() { server.unreachable = false })
}

func (s *simulation) slowDown() {
	server := s.anyServer()
	server.slowdown = 2 + 10*s.random.Float64()
	s.schedule(s.between(time.Second, 10*time.Second), func() { server.slowdown = 1 })
}

func (s *simulation) slowDownAll() {
	for _, server := range s.servers {
		server.slowdown = 3
	}
	s.schedule(s.between(time.Second, 5*time.Second), func() {
		for _, server := range s.servers {
			server.slowdown = 1
		}
	})
}

func (s *simulation) fail() {
	server := s.anyServer()
	server.errorShare = 0.3 + 0.7*s.random.Float64()
	s.schedule(s.between(500*millisecond, 4*time.Second), func() { server.errorShare = 0 })
}

func (s *simulation) failAll() {
	for _, server := range s.servers {
		server.errorShare = 0.6
	}
	s.schedule(s.between(500*millisecond, 3*time.Second), func() {
		for _, server := range s.servers {
			server.errorShare = 0
		}
	})
}

func (s *simulation) loseConnections() {
	server := s.anyServer()
	server.scarce = true
	s.schedule(s.between(500*millisecond, 5*time.Second), func() { server.scarce = false })
}

func (s *simulation) limitQueue() {
	server := s.anyServer()
	server.queueLimit = 1
	s.schedule(s.between(500*millisecond, 4*time.Second), func() { server.queueLimit = 64 })
}

func (s *simulation) lag() {
	server := s.anyServer()
	server.lag = s.between(50*millisecond, 6*time.Second)
	s.schedule(s.between(time.Second, 10*time.Second), func() { server.lag = 20 * millisecond })
}

// drain lists a server as draining, then as gone, and starts it again.
func (s *simulation) drain() {
	server := s.anyServer()
	if server.member.State != policy.Ready {
		return
	}
	s.leave(server)
	s.schedule(s.between(5*time.Second, 15*time.Second), func() {
		server.member.State, server.member.StartedAt, server.member.Primary = policy.Ready, s.clock, server.primary
		s.announce(server)
	})
}

// leave drains a server; a primary hands over to another one.
func (s *simulation) leave(server *modelServer) {
	server.member.State = policy.Draining
	s.announce(server)
	if group := server.member.Group; server.primary {
		s.schedule(600*millisecond, func() {
			server.primary = false
			s.schedule(s.between(50*millisecond, 900*millisecond), func() { s.promote(group) })
		})
	}
	s.schedule(3*time.Second, func() {
		if server.member.State == policy.Draining {
			server.member.State = policy.Removed
			s.announce(server)
		}
	})
}

// replace drains a server for good and lists a new one in its place; much later the old one comes back.
func (s *simulation) replace() {
	old := s.anyServer()
	if old.member.State != policy.Ready {
		return
	}
	s.leave(old)
	s.schedule(s.between(time.Second, 6*time.Second), func() {
		s.addServer(policy.Member{Zone: old.member.Zone, Group: old.member.Group, State: policy.Ready, StartedAt: s.clock,
			ReadWeight: old.member.ReadWeight})
		s.announce(s.servers[len(s.servers)-1])
	})
	s.schedule(s.between(55*time.Second, 80*time.Second), func() {
		old.member.State, old.member.Primary = policy.Ready, false
		s.announce(old)
	})
}

// handOver moves a group's primary to another server under way.
func (s *simulation) handOver() {
	group := s.anyGroup()
	primary, next := s.primaryOf(group), s.anyReplica(group)
	if primary == nil || next == nil {
		return
	}
	primary.primary = false
	s.schedule(s.between(0, 700*millisecond), func() { s.promote(group) })
}

// darken takes a group's primary away for long, without a sign in the list.
func (s *simulation) darken() {
	group := s.anyGroup()
	if primary := s.primaryOf(group); primary != nil {
		primary.primary = false
		s.schedule(s.between(5*time.Second, 15*time.Second), func() { s.promote(group) })
	}
}
