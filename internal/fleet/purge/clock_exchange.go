package purge

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// topicTime is the topic of clockReading.
const topicTime = "purge/time"

const (
	// initialComparisonInterval is the time between comparisons until there are enough, and the least time later.
	initialComparisonInterval = 100 * time.Millisecond
	// maxComparisonInterval is the most time between comparisons, however old replicas may be. An answer that takes longer is lost.
	maxComparisonInterval = 5 * time.Second
	// maxConcurrentAnswers bounds the answers to other poolers that are on their way; further requests are sent again.
	maxConcurrentAnswers = 8
	// readingSendTimeout bounds the sending of a reading.
	readingSendTimeout = time.Second
	// comparisonsPerReplicaAge is how often a clock is compared in the age that a replica may have.
	comparisonsPerReplicaAge = 4
)

// clockReading is what two poolers send each other to compare their clocks: a request, and its answer.
type clockReading struct {
	Number     uint64 `json:"number"` // of the request
	IsRequest  bool   `json:"asks,omitempty"`
	ReceivedAt int64  `json:"got,omitempty"`  // the request, by the answering pooler's clock; Unix ns
	SentAt     int64  `json:"sent,omitempty"` // the answer, by the same clock
}

// pendingReading is a request that waits for its answer.
type pendingReading struct {
	peer      string
	sentAt    int64     // by the wall clock, Unix ns
	startedAt time.Time // by the monotonic clock
}

// clockExchange is the requests of a component that wait for their answers, and the slots of its answers to others. It is safe for
// concurrent use.
type clockExchange struct {
	answerSlots chan struct{} // holds an element for each answer on its way

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	pending    map[uint64]pendingReading // by number
}

func newClockExchange() *clockExchange {
	return &clockExchange{answerSlots: make(chan struct{}, maxConcurrentAnswers), pending: map[uint64]pendingReading{}}
}

// begin records a request, and returns its number.
func (x *clockExchange) begin(r pendingReading) (number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastNumber++
	x.pending[x.lastNumber] = r
	return x.lastNumber
}

// end returns the request that a peer has answered, and forgets it. ok is false if there is none.
func (x *clockExchange) end(number uint64, peer string) (r pendingReading, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r, ok = x.pending[number]
	delete(x.pending, number)
	return r, ok && r.peer == peer
}

// forgetLost forgets requests whose answers are lost.
func (x *clockExchange) forgetLost() {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.pending, func(_ uint64, r pendingReading) bool { return time.Since(r.startedAt) > maxComparisonInterval })
}

// compareClocks compares the clock with another pooler's again and again: often until enough clocks are known, then several times in the
// age that a replica of the documents may have.
func (s *session) compareClocks(ctx context.Context) {
	for ctx.Err() == nil {
		self := s.runtime.Bus.Self()
		others := slices.DeleteFunc(s.runtime.Bus.Members(), func(member string) bool { return member == self })
		s.edge.SetOtherPoolers(len(others))
		if len(others) > 0 {
			s.requestReading(ctx, others[rand.IntN(len(others))])
		}
		sleep(ctx, s.comparisonInterval())
		s.clocks.forgetLost()
	}
}

// comparisonInterval is the time until the next comparison.
func (s *session) comparisonInterval() time.Duration {
	if !s.edge.ClockCompared() {
		return initialComparisonInterval
	}
	interval := s.bounds().MaxReplicaAge / comparisonsPerReplicaAge
	return min(max(interval, initialComparisonInterval), maxComparisonInterval)
}

// requestReading sends a peer a request for its clock.
func (s *session) requestReading(ctx context.Context, peer string) {
	number := s.clocks.begin(pendingReading{peer: peer, sentAt: s.edge.wall(), startedAt: time.Now()})
	s.sendReading(ctx, peer, clockReading{Number: number, IsRequest: true})
}

// handleReading handles a request or an answer of another pooler.
func (s *session) handleReading(ctx context.Context, from string, body []byte) {
	receivedAt := s.edge.wall()
	var reading clockReading
	if json.Unmarshal(body, &reading) != nil {
		return
	}
	if reading.IsRequest {
		s.answerReading(ctx, from, reading.Number, receivedAt)
		return
	}
	request, ok := s.clocks.end(reading.Number, from)
	if !ok {
		return
	}
	s.edge.addClockRound(clockRound{
		peer:           from,
		sentAt:         request.sentAt,
		peerReceivedAt: reading.ReceivedAt,
		peerSentAt:     reading.SentAt,
		receivedAt:     receivedAt,
		duration:       time.Since(request.startedAt),
	})
}

// answerReading answers a request that was received at a time of the wall clock.
func (s *session) answerReading(ctx context.Context, to string, number uint64, receivedAt int64) {
	select {
	case s.clocks.answerSlots <- struct{}{}:
	default:
		return // the peer sends another
	}
	go func() { // ends with the sending, which readingSendTimeout bounds
		defer func() { <-s.clocks.answerSlots }()
		s.sendReading(ctx, to, clockReading{Number: number, ReceivedAt: receivedAt, SentAt: s.edge.wall()})
	}()
}

// sendReading sends one pooler a request or an answer.
func (s *session) sendReading(ctx context.Context, to string, r clockReading) {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a reading holds numbers alone
	}
	call, cancel := context.WithTimeout(ctx, readingSendTimeout)
	defer cancel()
	if err := s.runtime.Bus.Send(call, to, topicTime, body); err != nil && ctx.Err() == nil {
		s.runtime.Log.Debug().Err(err).Str("to", to).Msg("purge: clock reading not sent")
	}
}
