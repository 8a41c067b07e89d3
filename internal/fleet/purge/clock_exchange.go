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

// clockTopic is the bus topic of clockMessage.
const clockTopic = "purge/time"

const (
	// initialComparisonInterval is the interval between comparisons until enough clocks are measured, and the shortest interval after that.
	initialComparisonInterval = 100 * time.Millisecond
	// maxComparisonInterval is the longest interval between comparisons, for any MaxReplicaAge. A request whose answer takes longer is
	// dropped.
	maxComparisonInterval = 5 * time.Second
	// maxConcurrentAnswers bounds the answers that are being sent to other poolers at a time. Requests beyond it are dropped; the peer
	// sends new ones.
	maxConcurrentAnswers = 8
	// clockSendTimeout bounds the time to send one message.
	clockSendTimeout = time.Second
	// comparisonsPerMaxReplicaAge is the number of comparisons within a period of MaxReplicaAge.
	comparisonsPerMaxReplicaAge = 4
)

// clockMessage is a request for the time of a peer's clock, or the answer to one.
type clockMessage struct {
	Number     uint64 `json:"number"` // number of the request, repeated in its answer
	IsRequest  bool   `json:"asks,omitempty"`
	ReceivedAt int64  `json:"got,omitempty"`  // answer: when the request was received by the answering pooler's clock, Unix ns
	SentAt     int64  `json:"sent,omitempty"` // answer: when it was sent by the same clock, Unix ns
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	peer      string
	sentAt    int64     // wall clock, Unix ns
	startedAt time.Time // monotonic clock
}

// clockExchange holds the pending requests of a component, and limits the answers that it sends concurrently. It is safe for concurrent
// use.
type clockExchange struct {
	answerSlots chan struct{} // holds one element per answer that is being sent

	mu         sync.Mutex // guards the fields below
	lastNumber uint64
	pending    map[uint64]pendingRequest // by number
}

func newClockExchange() *clockExchange {
	return &clockExchange{answerSlots: make(chan struct{}, maxConcurrentAnswers), pending: map[uint64]pendingRequest{}}
}

// register adds a pending request and returns its number.
func (c *clockExchange) register(request pendingRequest) (number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	c.pending[c.lastNumber] = request
	return c.lastNumber
}

// take removes and returns the pending request with the given number. ok is false if there is none or if it was sent to another peer.
func (c *clockExchange) take(number uint64, peer string) (request pendingRequest, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request, ok = c.pending[number]
	delete(c.pending, number)
	return request, ok && request.peer == peer
}

// removeExpired removes the requests that have not been answered within maxComparisonInterval.
func (c *clockExchange) removeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.pending, func(_ uint64, request pendingRequest) bool {
		return time.Since(request.startedAt) > maxComparisonInterval
	})
}

// compareClocks compares the local clock with that of a random other pooler at intervals of comparisonInterval. It blocks until ctx ends.
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

// comparisonInterval returns the time until the next comparison: short until enough clocks are measured, then a fraction of MaxReplicaAge.
func (s *session) comparisonInterval() time.Duration {
	if !s.edge.ClockCompared() {
		return initialComparisonInterval
	}
	interval := s.bounds().MaxReplicaAge / comparisonsPerMaxReplicaAge
	return min(max(interval, initialComparisonInterval), maxComparisonInterval)
}

// sendClockRequest sends a request for the time of a peer's clock. It blocks for at most clockSendTimeout.
func (s *session) sendClockRequest(ctx context.Context, peer string) {
	number := s.clocks.register(pendingRequest{peer: peer, sentAt: s.edge.wall(), startedAt: time.Now()})
	s.sendClockMessage(ctx, peer, clockMessage{Number: number, IsRequest: true})
}

// handleClockMessage answers another pooler's request, or records its answer as a clock sample. It drops messages that can't be decoded
// and answers to no pending request.
func (s *session) handleClockMessage(ctx context.Context, from string, body []byte) {
	receivedAt := s.edge.wall()
	var message clockMessage
	if json.Unmarshal(body, &message) != nil {
		return
	}
	if message.IsRequest {
		s.sendClockAnswer(ctx, from, message.Number, receivedAt)
		return
	}
	request, ok := s.clocks.take(message.Number, from)
	if !ok {
		return
	}
	s.edge.addClockSample(clockSample{
		peer:           from,
		sentAt:         request.sentAt,
		peerReceivedAt: message.ReceivedAt,
		peerSentAt:     message.SentAt,
		receivedAt:     receivedAt,
		roundTrip:      time.Since(request.startedAt),
	})
}

// sendClockAnswer answers a request that was received at receivedAt on the wall clock. It does not block; it drops the request if
// maxConcurrentAnswers are being sent.
func (s *session) sendClockAnswer(ctx context.Context, to string, number uint64, receivedAt int64) {
	select {
	case s.clocks.answerSlots <- struct{}{}:
	default:
		return // the peer sends another request
	}
	go func() { // ends after the send, within clockSendTimeout
		defer func() { <-s.clocks.answerSlots }()
		s.sendClockMessage(ctx, to, clockMessage{Number: number, ReceivedAt: receivedAt, SentAt: s.edge.wall()})
	}()
}

// sendClockMessage sends a message to one pooler. It blocks for at most clockSendTimeout; errors are logged.
func (s *session) sendClockMessage(ctx context.Context, to string, message clockMessage) {
	body, err := json.Marshal(message)
	if err != nil {
		panic(err) // unreachable: all fields are numbers or booleans
	}
	sendCtx, cancel := context.WithTimeout(ctx, clockSendTimeout)
	defer cancel()
	if err := s.runtime.Bus.Send(sendCtx, to, clockTopic, body); err != nil && ctx.Err() == nil {
		s.runtime.Log.Debug().Err(err).Str("to", to).Msg("purge: sending clock message failed")
	}
}
