package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// serviceTime is the mean execution time at an idle server, by class index.
var serviceTime = []time.Duration{classAny: 8 * millisecond, classBounded: 10 * millisecond,
	classSession: 8 * millisecond, classLatest: 6 * millisecond, classNotIdempotent: 15 * millisecond,
	classByKeyEverywhere: 14 * millisecond, classByKeyInZone: 14 * millisecond,
	classByKeyInGroup: 14 * millisecond, classLongRead: 90 * millisecond, classBoundedStrict: 9 * millisecond,
	classWithoutObjective: 12 * millisecond, classAdded: 9 * millisecond}

// modelServer is a simulated database server. Its state may differ from what has been reported to
// the router.
type modelServer struct {
	member policy.Member // entry of the server in the list

	up                 bool
	primary            bool
	unreachable        bool // whether packets are lost, so that neither attempts nor probes are answered
	hung               bool // whether only probes are answered, and attempts are not
	refusesConnections bool // whether most connections are refused
	probesFail         bool
	slowdown           float64
	errorRate          float64
	lag                time.Duration
	queueLimit         int
	inFlight           []*modelAttempt
}

// modelAttempt is one attempt at a server.
type modelAttempt struct {
	request *modelRequest
	number  int
	server  *modelServer
	ended   bool
}

// modelRequest is a client's request with its attempts.
type modelRequest struct {
	id       uint32
	class    int
	access   policy.Access
	deadline time.Duration
	maxAge   time.Duration // maximum age of the data for a read
	attempts []*modelAttempt
	answered bool // whether it has its final answer, or its client has disconnected
}

func newModelServer(member policy.Member) *modelServer {
	return &modelServer{member: member, up: true, primary: member.Primary, slowdown: 1,
		lag: 20 * millisecond, queueLimit: 64}
}

// position returns the time up to which the server has applied all writes.
func (m *modelServer) position(now time.Duration) time.Duration {
	if m.primary {
		return now
	}
	return now - m.lag
}

func (m *modelServer) remove(attempt *modelAttempt) {
	for i, other := range m.inFlight {
		if other == attempt {
			m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
			return
		}
	}
}

// decideResult returns the result of an attempt that has arrived at its server, and the time until
// the answer. If the server will not answer because it hangs or is unreachable, answers is false,
// and the attempt ends by its timeout.
func (s *simulation) decideResult(
	attempt *modelAttempt) (result policy.Result, after time.Duration, answers bool) {
	server, request := attempt.server, attempt.request
	switch {
	case server.unreachable || server.hung:
		return 0, 0, false
	case !server.up:
		return policy.ConnectFailed, millisecond, true
	case server.refusesConnections && s.withProbability(0.7):
		return policy.ConnectFailed, 5 * millisecond, true
	case len(server.inFlight) > server.queueLimit:
		return policy.Overloaded, millisecond, true
	case s.withProbability(server.errorRate):
		return policy.ServerError, 3 * millisecond, true
	case s.withProbability(0.002):
		return policy.ConnectionReset, 4 * millisecond, true
	case request.access >= policy.ReadLatest && !server.primary:
		return policy.Misdirected, millisecond, true
	case request.access < policy.ReadLatest && request.maxAge > 0 && server.lag > request.maxAge &&
		!server.primary:
		return s.decideStaleRead(attempt)
	}
	return policy.OK, s.serviceDuration(attempt), true
}

// decideStaleRead returns the result of a read that the server is too far behind for, like
// decideResult.
func (s *simulation) decideStaleRead(
	attempt *modelAttempt) (result policy.Result, after time.Duration, answers bool) {
	switch s.settings.StaleReads {
	case policy.StaleReadAnswered:
		return policy.OK, s.serviceDuration(attempt), true
	case policy.StaleReadRejected:
		return policy.Misdirected, millisecond, true
	}
	shortfall := attempt.server.lag - attempt.request.maxAge
	if shortfall > s.settings.StaleReadWait {
		return policy.Misdirected, s.settings.StaleReadWait, true
	}
	return policy.OK, shortfall + s.serviceDuration(attempt), true
}

// serviceDuration returns the duration of an attempt. It depends on the class, the state and the
// queue of the server, and a random factor.
func (s *simulation) serviceDuration(attempt *modelAttempt) time.Duration {
	const cores = 6
	server := attempt.server
	queue := 1 + float64(len(server.inFlight))/cores
	slowStart := 1.0
	if age := s.clock - server.member.StartedAt; server.member.StartedAt > 0 && age < 10*time.Second {
		slowStart = 3
	}
	variation := 0.6 + 0.8*s.random.Float64()
	return time.Duration(float64(serviceTime[attempt.request.class]) *
		server.slowdown * queue * slowStart * variation)
}

// status returns the status report of a server.
func (s *simulation) status(server *modelServer) policy.ServerStatus {
	status := policy.ServerStatus{RoleIsCurrent: s.script.rolesAreCurrent}
	if s.script.positionsInReports {
		status.HasPosition, status.Position = true, server.position(s.clock)
	}
	if s.settings.RolesReported {
		status.HasRole, status.IsPrimary = true, server.primary
	}
	if s.script.reportsUtilization {
		status.Utilization = min(float64(len(server.inFlight))/8, 1)
	}
	return status
}

// outcome returns the Outcome to report for an attempt that has ended.
func (s *simulation) outcome(attempt *modelAttempt, result policy.Result) policy.Outcome {
	request, server := attempt.request, attempt.server
	if result == policy.OK {
		request.answered = true
	}
	outcome := policy.Outcome{RequestID: request.id, Attempt: attempt.number, Server: server.member.ID,
		Result: result, Answered: request.answered}
	if result != policy.OK && result != policy.Misdirected {
		return outcome
	}
	if s.script.rolesInAnswers {
		outcome.Role = policy.RoleReplica
		if server.primary {
			outcome.Role = policy.RolePrimary
		}
	}
	if s.script.positionsInReports && s.script.positionsInAnswers {
		outcome.HasPosition, outcome.Position = true, server.position(s.clock)
	}
	if s.withProbability(s.script.reportShare) {
		outcome.Status = s.status(server)
	}
	return outcome
}

// decideProbeResult returns the result of a probe and the time until it.
func (s *simulation) decideProbeResult(server *modelServer) (result policy.Result, after time.Duration) {
	switch {
	case server == nil || server.unreachable:
		return policy.TimedOut, 200 * millisecond
	case !server.up:
		return policy.ConnectFailed, millisecond
	case server.refusesConnections && s.withProbability(0.5):
		return policy.Overloaded, millisecond
	case server.probesFail:
		return policy.ServerError, 2 * millisecond
	case s.withProbability(0.002):
		return policy.TimedOut, 200 * millisecond
	}
	return policy.OK, 2*millisecond + s.randomDuration(0, 2*millisecond)
}
