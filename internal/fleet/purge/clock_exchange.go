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

// clockTopic is the topic of clockReading.
const clockTopic = "purge/time"

const (
	// initialComparisonInterval is the time between comparisons until there are enough, and the least time later.
	initialComparisonInterval = 100 * time.Millisecond
	// maxComparisonInterval is the most time between comparisons, however old replicas may be. An answer that takes longer is lost.
	maxComparisonInterval = 5 * time.Second
	// maxConcurrentAnswers bounds the answers to other poolers that are on their way; further requests are sent again.
	maxConcurrentAnswers = 8
	// clockSendTimeout bounds the sending of a reading.
	clockSendTimeout = time.Second
	// comparisonsPerMaxReplicaAge is how often a clock is compared in the age that a replica may have.
	comparisonsPerMaxReplicaAge = 4
)

// clockMessage is what two poolers send each other to compare their clocks: a request, and its answer.
type clockMessage struct {
	Number     uint64 `json:"number"` // of the request
	IsRequest  bool   `json:"asks,omitempty"`
	ReceivedAt int64  `json:"got,omitempty"`  // the request, by the answering pooler's clock; Unix ns
	SentAt     int64  `json:"sent,omitempty"` // the answer, by the same clock
}

// pendingRequest is a request that waits for its answer.
type pendingRequest struct {
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
	pending    map[uint64]pendingRequest // by number
}

func newClockExchange() *clockExchange {
	return &clockExchange{answerSlots: make(chan struct{}, maxConcurrentAnswers), pending: map[uint64]pendingRequest{}}
}

// register records a request, and returns its number.
func (x *clockExchange) register(r pendingRequest) (number uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastNumber++
	x.pending[x.lastNumber] = r
	return x.lastNumber
}

// take returns the request that a peer has answered, and forgets it. ok is false if there is none.
func (x *clockExchange) take(number uint64, peer string) (r pendingRequest, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	r, ok = x.pending[number]
	delete(x.pending, number)
	return r, ok && r.peer == peer
}

// removeExpired forgets requests whose answers are lost.
func (x *clockExchange) removeExpired() {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.pending, func(_ uint64, r pendingRequest) bool { return time.Since(r.startedAt) > maxComparisonInterval })
}

// compareClocks compares the clock with another pooler's again and again: often until enough clocks are known, then several times in the
// age that a replica of the documents may have.
func (s *session) compareClocks(ctx context.Context) {
	for ctx.Err() == nil {
		self := s.runtime.Bus.Self()
		others := slices.DeleteFunc(s.runtime.Bus.Members(), func(member string) bool { return member == self })
		s.edge.SetOtherPoolers(len(others))
		if len(others) > 0 {
			s.sendClockRequest(ctx, others[rand.IntN(len(others))])
		}
		sleep(ctx, s.comparisonInterval())
		s.clocks.removeExpired()
	}
}

// comparisonInterval is the time until the next comparison.
func (s *session) comparisonInterval() time.Duration {
	if !s.edge.ClockCompared() {
		return initialComparisonInterval
	}
	interval := s.bounds().MaxReplicaAge / comparisonsPerMaxReplicaAge
	return min(max(interval, initialComparisonInterval), maxComparisonInterval)
}

// sendClockRequest sends a peer a request for its clock.
func (s *session) sendClockRequest(ctx context.Context, peer string) {
	number := s.clocks.register(pendingRequest{peer: peer, sentAt: s.edge.wall(), startedAt: time.Now()})
	s.sendClockMessage(ctx, peer, clockMessage{Number: number, IsRequest: true})
}

// handleClockMessage handles a request or an answer of another pooler.
func (s *session) handleClockMessage(ctx context.Context, from string, body []byte) {
	receivedAt := s.edge.wall()
	var reading clockMessage
	if json.Unmarshal(body, &reading) != nil {
		return
	}
	if reading.IsRequest {
		s.sendClockAnswer(ctx, from, reading.Number, receivedAt)
		return
	}
	request, ok := s.clocks.take(reading.Number, from)
	if !ok {
		return
	}
	s.edge.addClockSample(clockSample{
		peer:           from,
		sentAt:         request.sentAt,
		peerReceivedAt: reading.ReceivedAt,
		peerSentAt:     reading.SentAt,
		receivedAt:     receivedAt,
		roundTrip:      time.Since(request.startedAt),
	})
}

// sendClockAnswer answers a request that was received at a time of the wall clock.
func (s *session) sendClockAnswer(ctx context.Context, to string, number uint64, receivedAt int64) {
	select {
	case s.clocks.answerSlots <- struct{}{}:
	default:
		return // the peer sends another
	}
	go func() { // ends with the sending, which readingSendTimeout bounds
		defer func() { <-s.clocks.answerSlots }()
		s.sendClockMessage(ctx, to, clockMessage{Number: number, ReceivedAt: receivedAt, SentAt: s.edge.wall()})
	}()
}

// sendClockMessage sends one pooler a request or an answer.
func (s *session) sendClockMessage(ctx context.Context, to string, r clockMessage) {
	body, err := json.Marshal(r)
	if err != nil {
		panic(err) // a reading holds numbers alone
	}
	call, cancel := context.WithTimeout(ctx, clockSendTimeout)
	defer cancel()
	if err := s.runtime.Bus.Send(call, to, clockTopic, body); err != nil && ctx.Err() == nil {
		s.runtime.Log.Debug().Err(err).Str("to", to).Msg("purge: clock reading not sent")
	}
}
