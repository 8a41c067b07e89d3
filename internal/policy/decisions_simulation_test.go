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

// event is something that happens at a time; equal times keep the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is a host of one router with its servers and clients. It draws everything from one seeded sequence, has its own
// clock, and records every action of the router.
type simulation struct {
	script    *script
	settings  policy.Settings
	router    *policy.Router
	recorder  *recorder
	random    *rand.Rand
	clock     time.Duration
	events    eventQueue
	scheduled int

	servers    []*modelServer // in the order of their first listing
	requests   map[uint32]*modelRequest
	lastID     uint32
	lastServer uint32
	rate       float64 // of the script's requests
	leader     bool    // the router repeats rounds for the fleet
}

func newSimulation(script *script, recorder *recorder) (*simulation, error) {
	s := &simulation{script: script, settings: script.settings(), recorder: recorder, clock: startClock, rate: 1,
		random: rand.New(rand.NewPCG(script.seed, 1)), requests: map[uint32]*modelRequest{}}
	router, err := policy.New(s.settings, script.seed, s)
	s.router = router
	return s, err
}

func (s *simulation) schedule(after time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{at: s.clock + max(after, 0), sequence: s.scheduled, run: run})
}

// runUntil lets everything happen that is due up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.clock = next.at
		next.run()
	}
	s.clock = end
}

func (s *simulation) chance(share float64) bool { return s.random.Float64() < share }

func (s *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)+1))
}

// now is the time reported to the router: now and then a little earlier than before, which it must read as the latest.
func (s *simulation) now() time.Duration {
	if s.chance(0.002) {
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

// ---- What the router asks for ----

// Attempt begins an attempt at a server.
func (s *simulation) Attempt(id, serverID uint32, timeout time.Duration) {
	s.record(recordAttempt, int64(id), int64(serverID), int64(timeout))
	request := s.requests[id]
	if request == nil {
		return
	}
	attempt := &modelAttempt{request: request, number: len(request.attempts), server: s.server(serverID)}
	request.attempts = append(request.attempts, attempt)
	s.schedule(0, func() { s.begin(attempt, timeout) })
}

// Refuse is a final answer.
func (s *simulation) Reject(id uint32, after time.Duration) {
	s.record(recordRefuse, int64(id), int64(after))
	s.close(id)
}

// Fail is a final answer.
func (s *simulation) Fail(id uint32) {
	s.record(recordFail, int64(id))
	s.close(id)
}

// Cancel ends an attempt.
func (s *simulation) CancelAttempt(id uint32, number int) {
	s.record(recordCancel, int64(id), int64(number))
	if request := s.requests[id]; request != nil {
		attempt := request.attempts[number]
		s.schedule(0, func() { s.end(attempt, policy.Cancelled) })
	}
}

// Probe checks a server.
func (s *simulation) Probe(serverID uint32) {
	s.record(recordProbe, int64(serverID))
	server := s.server(serverID)
	result, after := s.probe(server)
	s.schedule(after, func() {
		found := policy.ProbeResult{Server: serverID, Result: result}
		if result == policy.OK {
			found.Status = s.report(server)
		}
		s.router.HandleProbeResult(s.now(), found)
	})
}

// SetTimer calls the router's Timer later.
func (s *simulation) SetTimer(after time.Duration) {
	s.record(recordSetTimer, int64(after))
	s.schedule(after, func() { s.router.HandleTimer(s.clock) })
}

// CloseIdle is only recorded.
func (s *simulation) CloseIdleConnections(server uint32) { s.record(recordCloseIdle, int64(server)) }

// Watch answers with a full list, or fails.
func (s *simulation) WatchList() {
	s.record(recordWatch)
	failed := s.chance(0.3)
	s.schedule(s.between(10*millisecond, 80*millisecond), func() {
		if failed {
			s.router.HandleList(s.now(), policy.ListFailed, nil)
			return
		}
		s.router.HandleList(s.now(), policy.ListFull, s.listed())
	})
}

// Primary records the numbers of a news, without its text.
func (s *simulation) PrimaryChanged(news policy.PrimaryEvent) {
	s.record(recordPrimary, int64(news.Kind), int64(news.Group), int64(news.Server), int64(news.AsOf), integer(news.Repeated))
}

// Log records that there was a line.
func (s *simulation) Log(string) { s.record(recordLog) }

// ---- Clients and attempts ----

// begin sends an attempt, unless nobody waits for it any more; some wait for a connection first.
func (s *simulation) begin(attempt *modelAttempt, timeout time.Duration) {
	left := attempt.request.deadline - s.clock
	if timeout > 0 {
		left = min(left, timeout)
	}
	if attempt.request.answered || left <= 0 {
		s.end(attempt, policy.NotSent)
		return
	}
	s.schedule(left, func() { s.end(attempt, policy.TimedOut) })
	if s.chance(0.1) {
		s.schedule(s.between(millisecond, 40*millisecond), func() { s.write(attempt) })
		return
	}
	s.arrive(attempt)
}

// write asks whether an attempt that waited for its connection may still go.
func (s *simulation) write(attempt *modelAttempt) {
	if attempt.ended && s.chance(0.5) { // the other half asks of a request that may be over
		return
	}
	fits := s.router.MayStillSend(s.now(), attempt.request.id, attempt.number)
	s.record(recordStillFits, int64(attempt.request.id), integer(fits))
	switch {
	case attempt.ended:
	case fits:
		s.arrive(attempt)
	default:
		s.end(attempt, policy.Misdirected)
	}
}

func (s *simulation) arrive(attempt *modelAttempt) {
	server := attempt.server
	server.inFlight = append(server.inFlight, attempt)
	if result, after, answers := s.accept(attempt); answers {
		s.schedule(after, func() { s.answer(attempt, result) })
	}
}

// answer ends an attempt by its server's answer, which a server that has hung meanwhile never sends.
func (s *simulation) answer(attempt *modelAttempt, result policy.Result) {
	if !attempt.server.hung && !attempt.server.unreachable {
		s.end(attempt, result)
	}
}

func (s *simulation) end(attempt *modelAttempt, result policy.Result) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	attempt.server.remove(attempt)
	outcome := s.outcome(attempt, result)
	s.router.HandleOutcome(s.now(), outcome)
	if s.chance(0.002) { // reported twice: the second one must be ignored
		s.router.HandleOutcome(s.now(), outcome)
	}
}

func (s *simulation) close(id uint32) {
	if request := s.requests[id]; request != nil {
		request.answered = true
		delete(s.requests, id)
	}
}

// submit lets a client send a request.
func (s *simulation) submit(class int, in policy.Request) *modelRequest {
	s.lastID++
	in.ID, in.Class = s.lastID, class
	request := &modelRequest{id: in.ID, class: class, deadline: s.clock + in.Timeout}
	if class < len(s.settings.Classes) {
		request.need, request.age = s.settings.Classes[class].Access, s.settings.Classes[class].MaxStaleness
	}
	if request.need == policy.ReadSession {
		request.age = in.SinceLastWrite
	}
	s.requests[in.ID] = request
	s.router.HandleRequest(s.now(), in)
	return request
}

// disconnect lets the client of a request leave.
func (s *simulation) disconnect(request *modelRequest) {
	if !request.answered {
		request.answered = true
		s.router.HandleDisconnect(s.now(), request.id)
	}
}

// listed is the list as it stands.
func (s *simulation) listed() []policy.Member {
	members := make([]policy.Member, 0, len(s.servers))
	for _, server := range s.servers {
		if server.member.State != policy.Removed {
			members = append(members, server.member)
		}
	}
	return members
}

// announce lists a change of one server.
func (s *simulation) announce(server *modelServer) {
	s.router.HandleList(s.now(), policy.ListDelta, []policy.Member{server.member})
}
