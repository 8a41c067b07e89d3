package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// serviceTime is the mean answer time of an idle server, by class number.
var serviceTime = []time.Duration{classAny: 8 * millisecond, classBounded: 10 * millisecond, classSession: 8 * millisecond,
	classFresh: 6 * millisecond, classUnsafeWrite: 15 * millisecond, classKeyedAll: 14 * millisecond,
	classKeyedZone: 14 * millisecond, classKeyedGroup: 14 * millisecond, classReport: 90 * millisecond,
	classBoundedStrict: 9 * millisecond, classWithoutAim: 12 * millisecond, classAdded: 9 * millisecond}

// modelServer is a database server of the simulation: what is true of it, whatever has been reported to the router.
type modelServer struct {
	member policy.Member // as the list names it

	up          bool
	primary     bool
	unreachable bool // packets are lost: neither attempts nor probes are answered
	hung        bool // requests stand still; probes are answered
	scarce      bool // most connections are refused
	probesFail  bool
	slowdown    float64
	errorShare  float64
	lag         time.Duration
	queueLimit  int
	inFlight    []*modelAttempt
}

// modelAttempt is one attempt at a server.
type modelAttempt struct {
	request *modelRequest
	number  int
	server  *modelServer
	ended   bool
}

// modelRequest is a client's request and its attempts.
type modelRequest struct {
	id       uint32
	class    int
	need     policy.Access
	deadline time.Duration
	age      time.Duration // of the data that the read allows
	attempts []*modelAttempt
	answered bool // it has its final answer, or its client has left
}

func newModelServer(member policy.Member) *modelServer {
	return &modelServer{member: member, up: true, primary: member.Primary, slowdown: 1, lag: 20 * millisecond, queueLimit: 64}
}

// position is the time up to which the server has applied all writes.
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

// accept decides at its arrival how an attempt goes on: its result, and after what time. A hung server and a lost packet have
// neither: the attempt ends by its time-out.
func (s *simulation) accept(attempt *modelAttempt) (result policy.Result, after time.Duration, answers bool) {
	server, request := attempt.server, attempt.request
	switch {
	case server.unreachable || server.hung:
		return 0, 0, false
	case !server.up:
		return policy.ConnectFailed, millisecond, true
	case server.scarce && s.chance(0.7):
		return policy.ConnectFailed, 5 * millisecond, true
	case len(server.inFlight) > server.queueLimit:
		return policy.Overloaded, millisecond, true
	case s.chance(server.errorShare):
		return policy.ServerError, 3 * millisecond, true
	case s.chance(0.002):
		return policy.ConnectionReset, 4 * millisecond, true
	case request.need >= policy.ReadLatest && !server.primary:
		return policy.Misdirected, millisecond, true
	case request.need < policy.ReadLatest && request.age > 0 && server.lag > request.age && !server.primary:
		return s.acceptBehind(attempt)
	}
	return policy.OK, s.service(attempt), true
}

// acceptBehind is what a server does with a read that it is too far behind for.
func (s *simulation) acceptBehind(attempt *modelAttempt) (result policy.Result, after time.Duration, answers bool) {
	switch s.settings.StaleReads {
	case policy.StaleReadAnswered:
		return policy.OK, s.service(attempt), true
	case policy.StaleReadRejected:
		return policy.Misdirected, millisecond, true
	}
	lacking := attempt.server.lag - attempt.request.age
	if lacking > s.settings.StaleReadWait {
		return policy.Misdirected, s.settings.StaleReadWait, true
	}
	return policy.OK, lacking + s.service(attempt), true
}

// service is how long an attempt takes: its class's time, the server's state, what waits before it, and chance.
func (s *simulation) service(attempt *modelAttempt) time.Duration {
	const cores = 6
	server := attempt.server
	queue := 1 + float64(len(server.inFlight))/cores
	cold := 1.0
	if age := s.clock - server.member.StartedAt; server.member.StartedAt > 0 && age < 10*time.Second {
		cold = 3
	}
	chance := 0.6 + 0.8*s.random.Float64()
	return time.Duration(float64(serviceTime[attempt.request.class]) * server.slowdown * queue * cold * chance)
}

// report is what a server says of itself.
func (s *simulation) report(server *modelServer) policy.ServerStatus {
	report := policy.ServerStatus{RoleIsCurrent: s.script.roleNow}
	if s.script.positions {
		report.HasPosition, report.Position = true, server.position(s.clock)
	}
	if s.settings.RolesReported {
		report.HasRole, report.IsPrimary = true, server.primary
	}
	if s.script.busy {
		report.Utilization = min(float64(len(server.inFlight))/8, 1)
	}
	return report
}

// outcome describes the end of an attempt to the router.
func (s *simulation) outcome(attempt *modelAttempt, result policy.Result) policy.Outcome {
	request, server := attempt.request, attempt.server
	if result == policy.OK {
		request.answered = true
	}
	outcome := policy.Outcome{RequestID: request.id, Attempt: attempt.number, Server: server.member.ID, Result: result,
		Answered: request.answered}
	if result != policy.OK && result != policy.Misdirected {
		return outcome
	}
	if s.script.roles {
		outcome.Role = policy.RoleReplica
		if server.primary {
			outcome.Role = policy.RolePrimary
		}
	}
	if s.script.positions && s.script.answersTellPositions {
		outcome.HasPosition, outcome.Position = true, server.position(s.clock)
	}
	if s.chance(s.script.reportShare) {
		outcome.Status = s.report(server)
	}
	return outcome
}

// probe decides what a probe finds, and after what time.
func (s *simulation) probe(server *modelServer) (result policy.Result, after time.Duration) {
	switch {
	case server == nil || server.unreachable:
		return policy.TimedOut, 200 * millisecond
	case !server.up:
		return policy.ConnectFailed, millisecond
	case server.scarce && s.chance(0.5):
		return policy.Overloaded, millisecond
	case server.probesFail:
		return policy.ServerError, 2 * millisecond
	case s.chance(0.002):
		return policy.TimedOut, 200 * millisecond
	}
	return policy.OK, 2*millisecond + s.between(0, 2*millisecond)
}
