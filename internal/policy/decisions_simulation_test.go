package policy_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"threadsail/internal/policy"
)

const (
	millisecond = time.Millisecond
	startClock  = 1000 * time.Second
)

// event is a function that is due at a time. Events due at the same time run in the order in which
// they were scheduled.
type event struct {
	dueAt    time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a host of one router with simulated servers and clients. It has its own clock,
// draws all random numbers from one seeded source, and records every action of the router.
type simulation struct {
	script    *script
	settings  policy.Settings
	router    *policy.Router
	recorder  *recorder
	random    *rand.Rand
	clock     time.Duration
	events    eventQueue
	scheduled int

	servers     []*modelServer // in the order in which they were added
	requests    map[uint32]*modelRequest
	lastID      uint32
	lastServer  uint32
	requestRate float64 // factor on the script's rate of requests
	roundLeader bool    // whether the router is the round leader
}

func newSimulation(script *script, recorder *recorder) (*simulation, error) {
	s := &simulation{script: script, settings: script.settings(), recorder: recorder, clock: startClock,
		requestRate: 1, random: rand.New(rand.NewPCG(script.seed, 1)), requests: map[uint32]*modelRequest{}}
	router, err := policy.New(s.settings, script.seed, s)
	s.router = router
	return s, err
}

// schedule schedules an event.
func (s *simulation) schedule(after time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{dueAt: s.clock + max(after, 0), sequence: s.scheduled, run: run})
}

// runUntil runs all events that are due by a time and moves the clock to it.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].dueAt <= end {
		next := heap.Pop(&s.events).(event)
		s.clock = next.dueAt
		next.run()
	}
	s.clock = end
}

// withProbability returns true with the given probability.
func (s *simulation) withProbability(probability float64) bool {
	return s.random.Float64() < probability
}

// randomDuration returns a random duration between the shortest and the longest, both included.
func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

// reportedTime returns the time to report to the router. It is sometimes earlier than the time
// reported before, which the router must treat as the latest one.
func (s *simulation) reportedTime() time.Duration {
	if s.withProbability(0.002) {
		return s.clock - millisecond
	}
	return s.clock
}

func (s *simulation) record(kind int, values ...int64) { s.recorder.add(s.clock, kind, values...) }

func (s *simulation) server(id uint32) *modelServer {
	for _, server := range s.servers {
		if server.member.ID == id {
			return server
		}
	}
	return nil
}

// ---- Actions of the router ----

// Attempt records the action and starts an attempt at a server.
func (s *simulation) Attempt(id, serverID uint32, timeout time.Duration) {
	s.record(recordAttempt, int64(id), int64(serverID), int64(timeout))
	request := s.requests[id]
	if request == nil {
		return
	}
	attempt := &modelAttempt{request: request, number: len(request.attempts), server: s.server(serverID)}
	request.attempts = append(request.attempts, attempt)
	s.schedule(0, func() { s.beginAttempt(attempt, timeout) })
}

// Reject records the action and finishes the request.
func (s *simulation) Reject(id uint32, after time.Duration) {
	s.record(recordReject, int64(id), int64(after))
	s.finishRequest(id)
}

// Fail records the action and finishes the request.
func (s *simulation) Fail(id uint32) {
	s.record(recordFail, int64(id))
	s.finishRequest(id)
}

// CancelAttempt records the action and ends the attempt.
func (s *simulation) CancelAttempt(id uint32, number int) {
	s.record(recordCancelAttempt, int64(id), int64(number))
	if request := s.requests[id]; request != nil {
		attempt := request.attempts[number]
		s.schedule(0, func() { s.endAttempt(attempt, policy.Cancelled) })
	}
}

// Probe records the action and reports the result of the probe later.
func (s *simulation) Probe(serverID uint32) {
	s.record(recordProbe, int64(serverID))
	server := s.server(serverID)
	result, after := s.decideProbeResult(server)
	s.schedule(after, func() {
		probeResult := policy.ProbeResult{Server: serverID, Result: result}
		if result == policy.OK {
			probeResult.Status = s.status(server)
		}
		s.router.HandleProbeResult(s.reportedTime(), probeResult)
	})
}

// SetTimer records the action and calls HandleTimer when the timer is due.
func (s *simulation) SetTimer(after time.Duration) {
	s.record(recordSetTimer, int64(after))
	s.schedule(after, func() { s.router.HandleTimer(s.clock) })
}

// CloseIdleConnections records the action.
func (s *simulation) CloseIdleConnections(server uint32) {
	s.record(recordCloseIdleConnections, int64(server))
}

// WatchList records the action and reports a complete list or a failed poll later.
func (s *simulation) WatchList() {
	s.record(recordWatchList)
	failed := s.withProbability(0.3)
	s.schedule(s.randomDuration(10*millisecond, 80*millisecond), func() {
		if failed {
			s.router.HandleList(s.reportedTime(), policy.ListFailed, nil)
			return
		}
		s.router.HandleList(s.reportedTime(), policy.ListFull, s.memberList())
	})
}

// PrimaryChanged records the event without its text.
func (s *simulation) PrimaryChanged(primaryEvent policy.PrimaryEvent) {
	s.record(recordPrimaryChanged, int64(primaryEvent.Kind), int64(primaryEvent.Group),
		int64(primaryEvent.Server), int64(primaryEvent.AsOf), integer(primaryEvent.Repeated))
}

// Log records that a line was logged, without its text.
func (s *simulation) Log(string) { s.record(recordLog) }

// ---- Clients and attempts ----

// beginAttempt sends an attempt unless its request is finished or out of time. Some attempts wait
// for a connection first.
func (s *simulation) beginAttempt(attempt *modelAttempt, timeout time.Duration) {
	left := attempt.request.deadline - s.clock
	if timeout > 0 {
		left = min(left, timeout)
	}
	if attempt.request.answered || left <= 0 {
		s.endAttempt(attempt, policy.NotSent)
		return
	}
	s.schedule(left, func() { s.endAttempt(attempt, policy.TimedOut) })
	if s.withProbability(0.1) {
		s.schedule(s.randomDuration(millisecond, 40*millisecond), func() { s.sendAfterWait(attempt) })
		return
	}
	s.receiveAttempt(attempt)
}

// sendAfterWait sends an attempt that has waited for its connection if MayStillSend allows it.
func (s *simulation) sendAfterWait(attempt *modelAttempt) {
	// MayStillSend must also handle an attempt that has ended, so it is called for half of them.
	if attempt.ended && s.withProbability(0.5) {
		return
	}
	mayStillSend := s.router.MayStillSend(s.reportedTime(), attempt.request.id, attempt.number)
	s.record(recordMayStillSend, int64(attempt.request.id), integer(mayStillSend))
	switch {
	case attempt.ended:
	case mayStillSend:
		s.receiveAttempt(attempt)
	default:
		s.endAttempt(attempt, policy.Misdirected)
	}
}

// receiveAttempt handles the arrival of an attempt at its server.
func (s *simulation) receiveAttempt(attempt *modelAttempt) {
	server := attempt.server
	server.inFlight = append(server.inFlight, attempt)
	if result, after, answers := s.decideResult(attempt); answers {
		s.schedule(after, func() { s.answerAttempt(attempt, result) })
	}
}

// answerAttempt ends an attempt with its server's answer unless the server has become hung or
// unreachable meanwhile.
func (s *simulation) answerAttempt(attempt *modelAttempt, result policy.Result) {
	if !attempt.server.hung && !attempt.server.unreachable {
		s.endAttempt(attempt, result)
	}
}

// endAttempt ends an attempt and reports its outcome, unless it has ended before.
func (s *simulation) endAttempt(attempt *modelAttempt, result policy.Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.server.remove(attempt)
	outcome := s.outcome(attempt, result)
	s.router.HandleOutcome(s.reportedTime(), outcome)
	if s.withProbability(0.002) { // the router must ignore an outcome that is reported twice
		s.router.HandleOutcome(s.reportedTime(), outcome)
	}
}

// finishRequest records that a request has its final answer.
func (s *simulation) finishRequest(id uint32) {
	if request := s.requests[id]; request != nil {
		request.answered = true
		delete(s.requests, id)
	}
}

// submit submits a request of a client to the router.
func (s *simulation) submit(class int, in policy.Request) *modelRequest {
	s.lastID++
	in.ID, in.Class = s.lastID, class
	request := &modelRequest{id: in.ID, class: class, deadline: s.clock + in.Timeout}
	if class < len(s.settings.Classes) {
		request.access, request.maxAge = s.settings.Classes[class].Access, s.settings.Classes[class].MaxStaleness
	}
	if request.access == policy.ReadSession {
		request.maxAge = in.SinceLastWrite
	}
	s.requests[in.ID] = request
	s.router.HandleRequest(s.reportedTime(), in)
	return request
}

// disconnect disconnects the client of a request that is not finished.
func (s *simulation) disconnect(request *modelRequest) {
	if !request.answered {
		request.answered = true
		s.router.HandleDisconnect(s.reportedTime(), request.id)
	}
}

// memberList returns the current list.
func (s *simulation) memberList() []policy.Member {
	members := make([]policy.Member, 0, len(s.servers))
	for _, server := range s.servers {
		if server.member.State != policy.Removed {
			members = append(members, server.member)
		}
	}
	return members
}

// reportMember reports the current list entry of a server to the router.
func (s *simulation) reportMember(server *modelServer) {
	s.router.HandleList(s.reportedTime(), policy.ListDelta, []policy.Member{server.member})
}
