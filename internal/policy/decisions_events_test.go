package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// Disturbances of the list, the traffic, the fleet and the settings.

// stray reports things to the router that it does not know.
func (s *simulation) stray() {
	const unknown = 1 << 30
	s.router.HandleProbeResult(s.now(), policy.ProbeResult{Server: unknown})
	s.router.HandleList(s.now(), policy.ListDelta, []policy.Member{{ID: unknown, Group: 1, State: policy.Removed}})
	s.router.ObserveFleetEjection(s.now(), unknown, true)
	s.router.HandleDisconnect(s.now(), unknown)
	s.submit(classAny, policy.Request{Group: unknown, Timeout: time.Second})
	s.submit(classFresh, policy.Request{Group: unknown, Timeout: time.Second})
}

func (s *simulation) loseList() { s.router.HandleList(s.now(), policy.ListFailed, nil) }

func (s *simulation) repeatList() {
	kind := policy.ListFull
	if s.chance(0.5) {
		kind = policy.ListCached
	}
	members := s.listed()
	if s.chance(0.5) { // one has left without an entry, and is back in the next full list
		missing := s.random.IntN(len(members))
		members = append(members[:missing], members[missing+1:]...)
		s.schedule(s.between(millisecond, 20*time.Second), func() { s.router.HandleList(s.now(), policy.ListFull, s.listed()) })
	}
	s.router.HandleList(s.now(), kind, members)
}

func (s *simulation) failProbes() {
	server := s.anyServer()
	server.probesFail = true
	s.schedule(s.between(500*millisecond, 4*time.Second), func() { server.probesFail = false })
}

func (s *simulation) overload() {
	s.rate = 4 + 6*s.random.Float64()
	s.schedule(s.between(time.Second, 4*time.Second), func() { s.rate = 1 })
}

func (s *simulation) lull() {
	s.rate = 0.01
	s.schedule(s.between(3*time.Second, 15*time.Second), func() { s.rate = 1 })
}

// observePrimary reports what another pooler found of a group, sometimes late, sometimes wrong.
func (s *simulation) observePrimary() {
	group := s.anyGroup()
	server := s.primaryOf(group)
	if s.chance(0.2) {
		server = s.anyServer()
	}
	if server == nil || s.chance(0.3) {
		s.router.ObservePrimary(s.now(), group, 0, false, 0)
		return
	}
	s.router.ObservePrimary(s.now(), server.member.Group, server.member.ID, true, s.clock-s.between(0, 2*time.Second))
}

func (s *simulation) suspect() { s.router.ReportPrimaryDown(s.now(), s.anyGroup()) }

func (s *simulation) changeLeader() {
	s.leader = !s.leader
	s.router.SetRoundLeader(s.leader)
}

func (s *simulation) fleetEjection() {
	server := s.anyServer()
	s.router.ObserveFleetEjection(s.now(), server.member.ID, true)
	s.schedule(s.between(200*millisecond, 6*time.Second), func() {
		s.router.ObserveFleetEjection(s.now(), server.member.ID, false)
	})
}

func (s *simulation) sendSlowly() {
	s.router.SetSendDuration(s.between(0, 250*millisecond))
	s.schedule(s.between(time.Second, 6*time.Second), func() { s.router.SetSendDuration(5 * millisecond) })
}

// reweigh gives a group's members other weights, or all the same.
func (s *simulation) reweigh() {
	group, even := s.anyGroup(), s.chance(0.4)
	for _, server := range s.servers {
		if server.member.Group != group || server.member.State == policy.Removed {
			continue
		}
		server.member.ReadWeight = 1
		if !even {
			server.member.ReadWeight = []int{policy.NoReads, 1, 2, 5}[s.random.IntN(4)]
		}
		s.announce(server)
	}
}

// resizeFleet changes the number of poolers.
func (s *simulation) resizeFleet(poolers, me int) {
	settings := s.settings
	settings.Poolers, settings.PoolerIndex = poolers, me
	err := s.router.UpdateSettings(s.now(), settings)
	s.record(recordRetune, integer(err == nil))
	s.settings = settings
}

// retune changes one thing in the settings, and adds a class the first time.
func (s *simulation) retune() {
	settings := s.settings
	settings.Classes = append([]policy.Class(nil), s.settings.Classes...)
	switch s.random.IntN(7) {
	case 0:
		if s.chance(0.5) { // with a call of the list service put off as the present fleet has it
			s.router.HandleList(s.now(), policy.ListCached, s.listed())
		}
		settings.Poolers = []int{1, 4, 5, 6, 20, 80}[s.random.IntN(6)]
		settings.PoolerIndex = s.random.IntN(settings.Poolers)
	case 1:
		settings.DrainGracePeriod = s.between(100*millisecond, 2*time.Second)
	case 2:
		settings.MaxAttempts = s.random.IntN(5)
	case 3:
		settings.TrackSessions = !settings.TrackSessions
	case 4:
		settings.OverloadFactor = float64(s.random.IntN(4))
	case 5:
		settings.Poolers = -1 // cannot be used
	case 6:
		settings.Classes = settings.Classes[:1] // nor this
	}
	if len(settings.Classes) == classAdded {
		settings.Classes = append(settings.Classes, addedClass())
	}
	err := s.router.UpdateSettings(s.now(), settings)
	s.record(recordRetune, integer(err == nil))
	if err == nil {
		s.settings = settings
	}
}
