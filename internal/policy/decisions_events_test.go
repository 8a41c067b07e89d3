package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// Disturbances of the endpoint list, the traffic, the fleet and the settings.

// reportUnknownObjects reports events about servers, groups and requests that the router does not
// know.
func (s *simulation) reportUnknownObjects() {
	const unknown = 1 << 30
	s.router.HandleProbeResult(s.reportedTime(), policy.ProbeResult{Server: unknown})
	s.router.HandleList(s.reportedTime(), policy.ListDelta,
		[]policy.Member{{ID: unknown, Group: 1, State: policy.Removed}})
	s.router.ObserveFleetEjection(s.reportedTime(), unknown, true)
	s.router.HandleDisconnect(s.reportedTime(), unknown)
	s.submit(classAny, policy.Request{Group: unknown, Timeout: time.Second})
	s.submit(classLatest, policy.Request{Group: unknown, Timeout: time.Second})
}

// failList reports a failed poll of the list.
func (s *simulation) failList() { s.router.HandleList(s.reportedTime(), policy.ListFailed, nil) }

// resendList reports a complete list. One server may be missing from it; it is in the next list.
func (s *simulation) resendList() {
	kind := policy.ListFull
	if s.withProbability(0.5) {
		kind = policy.ListCached
	}
	members := s.memberList()
	if s.withProbability(0.5) { // one server is missing; the next list has it again
		missing := s.random.IntN(len(members))
		members = append(members[:missing], members[missing+1:]...)
		s.schedule(s.randomDuration(millisecond, 20*time.Second),
			func() { s.router.HandleList(s.reportedTime(), policy.ListFull, s.memberList()) })
	}
	s.router.HandleList(s.reportedTime(), kind, members)
}

// failProbes makes the probes of a server fail for a while.
func (s *simulation) failProbes() {
	server := s.randomServer()
	server.probesFail = true
	s.schedule(s.randomDuration(500*millisecond, 4*time.Second), func() { server.probesFail = false })
}

// increaseTraffic multiplies the request rate for a while.
func (s *simulation) increaseTraffic() {
	s.requestRate = 4 + 6*s.random.Float64()
	s.schedule(s.randomDuration(time.Second, 4*time.Second), func() { s.requestRate = 1 })
}

// reduceTraffic lowers the request rate to 1% for a while.
func (s *simulation) reduceTraffic() {
	s.requestRate = 0.01
	s.schedule(s.randomDuration(3*time.Second, 15*time.Second), func() { s.requestRate = 1 })
}

// observePrimary reports another pooler's finding about a group's primary, which may be late or
// wrong.
func (s *simulation) observePrimary() {
	group := s.randomGroup()
	server := s.primaryOf(group)
	if s.withProbability(0.2) {
		server = s.randomServer()
	}
	if server == nil || s.withProbability(0.3) {
		s.router.ObservePrimary(s.reportedTime(), group, 0, false, 0)
		return
	}
	s.router.ObservePrimary(s.reportedTime(), server.member.Group, server.member.ID, true,
		s.clock-s.randomDuration(0, 2*time.Second))
}

// reportPrimaryDown reports that another pooler has found a group's primary down.
func (s *simulation) reportPrimaryDown() {
	s.router.ReportPrimaryDown(s.reportedTime(), s.randomGroup())
}

// toggleRoundLeader makes the router the round leader or revokes that.
func (s *simulation) toggleRoundLeader() {
	s.roundLeader = !s.roundLeader
	s.router.SetRoundLeader(s.roundLeader)
}

// ejectByFleet reports an ejection of a server by the fleet, and its end later.
func (s *simulation) ejectByFleet() {
	server := s.randomServer()
	s.router.ObserveFleetEjection(s.reportedTime(), server.member.ID, true)
	s.schedule(s.randomDuration(200*millisecond, 6*time.Second), func() {
		s.router.ObserveFleetEjection(s.reportedTime(), server.member.ID, false)
	})
}

// slowDownSends reports a longer send duration for a while.
func (s *simulation) slowDownSends() {
	s.router.SetSendDuration(s.randomDuration(0, 250*millisecond))
	s.schedule(s.randomDuration(time.Second, 6*time.Second),
		func() { s.router.SetSendDuration(5 * millisecond) })
}

// changeWeights gives the members of a group random read weights, or all the same one.
func (s *simulation) changeWeights() {
	group, equal := s.randomGroup(), s.withProbability(0.4)
	for _, server := range s.servers {
		if server.member.Group != group || server.member.State == policy.Removed {
			continue
		}
		server.member.ReadWeight = 1
		if !equal {
			server.member.ReadWeight = []int{policy.NoReads, 1, 2, 5}[s.random.IntN(4)]
		}
		s.reportMember(server)
	}
}

// resizeFleet changes the number of poolers and the index of this one.
func (s *simulation) resizeFleet(poolers, index int) {
	settings := s.settings
	settings.Poolers, settings.PoolerIndex = poolers, index
	err := s.router.UpdateSettings(s.reportedTime(), settings)
	s.record(recordUpdateSettings, integer(err == nil))
	s.settings = settings
}

// updateSettings applies a random change to the settings. The first one also adds a class.
func (s *simulation) updateSettings() {
	settings := s.settings
	settings.Classes = append([]policy.Class(nil), s.settings.Classes...)
	switch s.random.IntN(7) {
	case 0:
		if s.withProbability(0.5) { // schedules the first poll of the list, with a delay for the old fleet size
			s.router.HandleList(s.reportedTime(), policy.ListCached, s.memberList())
		}
		settings.Poolers = []int{1, 4, 5, 6, 20, 80}[s.random.IntN(6)]
		settings.PoolerIndex = s.random.IntN(settings.Poolers)
	case 1:
		settings.DrainGracePeriod = s.randomDuration(100*millisecond, 2*time.Second)
	case 2:
		settings.MaxAttempts = s.random.IntN(5)
	case 3:
		settings.TrackSessions = !settings.TrackSessions
	case 4:
		settings.OverloadFactor = float64(s.random.IntN(4))
	case 5:
		settings.Poolers = -1 // invalid
	case 6:
		settings.Classes = settings.Classes[:1] // invalid, as classes cannot be removed
	}
	if len(settings.Classes) == classAdded {
		settings.Classes = append(settings.Classes, addedClass())
	}
	err := s.router.UpdateSettings(s.reportedTime(), settings)
	s.record(recordUpdateSettings, integer(err == nil))
	if err == nil {
		s.settings = settings
	}
}
