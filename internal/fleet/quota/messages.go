package quota

import (
	"context"
	"encoding/json"
	"errors"

	"threadsail/internal/fleet/bus"
)

// The topics of messages between poolers.
const (
	topicLeader  = "quota/holder" // broadcast by the leader: its fencing token as a number
	topicRequest = "quota/ask"    // from a pooler to the leader: Request
	topicGrant   = "quota/grant"  // answer from the leader to a pooler: Grant
)

const (
	// grantSenders is the number of goroutines that answer requests concurrently.
	grantSenders = 8
	// maxQueuedRequests is the maximum number of requests that wait for an answer. All poolers of a fleet may send one at the moment at which
	// they learn of a new leader.
	maxQueuedRequests = 1024
)

// receivedRequest is a request received from another pooler.
type receivedRequest struct {
	from    string
	request Request
}

// handleMessages registers the handlers of the component's topics.
func (s *session) handleMessages() {
	s.runtime.Bus.Handle(topicLeader, s.handleLeader)
	s.runtime.Bus.Handle(topicGrant, s.handleGrant)
	s.runtime.Bus.Handle(topicRequest, s.handleRequest)
}

// handleLeader records the leader that announced itself, and wakes run.
func (s *session) handleLeader(from string, body []byte) {
	var token uint64
	if json.Unmarshal(body, &token) != nil || !s.component.ObserveLeader(from, token) {
		return
	}
	select {
	case s.leaderObserved <- struct{}{}:
	default:
	}
}

// handleGrant applies a received grant.
func (s *session) handleGrant(from string, body []byte) {
	var grant Grant
	if json.Unmarshal(body, &grant) != nil || !s.component.ApplyGrant(from, grant) {
		s.runtime.Log.Debug().Str("from", from).Msg("quota: grant ignored")
	}
}

// handleRequest queues a received request. If the queue is full, it drops the request.
func (s *session) handleRequest(from string, body []byte) {
	var request Request
	if json.Unmarshal(body, &request) != nil {
		return
	}
	select {
	case s.requests <- receivedRequest{from: from, request: request}:
	default: // the pooler will send another request
	}
}

// answerRequests answers queued requests until ctx is done.
func (s *session) answerRequests(ctx context.Context) {
	for {
		select {
		case received := <-s.requests:
			s.answer(ctx, received)
		case <-ctx.Done():
			return
		}
	}
}

// answer allocates quotas for a request and sends the grant, if this pooler is the leader. A process that stalls after it has checked its
// leadership may send the grant late. That is safe: the term of the quotas begins with the request, so they expire before a leader elected
// in the meantime ends its learning period.
func (s *session) answer(ctx context.Context, received receivedRequest) {
	allocator := s.activeAllocator()
	if allocator == nil {
		return
	}
	grant, ok := allocator.Allocate(received.from, received.request)
	if !ok {
		return
	}
	if err := s.send(ctx, received.from, topicGrant, grant); err != nil {
		s.runtime.Log.Debug().Err(err).Str("to", received.from).Msg("quota: sending the grant failed")
	}
}

// announceLeadership broadcasts the token with which this pooler is the leader.
func (s *session) announceLeadership(token uint64) {
	body, err := json.Marshal(token)
	if err != nil {
		return // cannot happen: a number can always be encoded
	}
	s.runtime.Bus.Broadcast(topicLeader, body)
}

// sendEarlyRequest sends an early request if one is due.
func (s *session) sendEarlyRequest(ctx context.Context) {
	if s.component.RequestDue() {
		s.sendRequest(ctx)
	}
}

// sendRequest sends a request to the leader, or answers it locally if this pooler is the leader.
func (s *session) sendRequest(ctx context.Context) {
	c := s.component
	c.SetFleetSize(s.poolerCount())
	request, leader, ok := c.NextRequest()
	if !ok {
		return
	}
	if leader == s.runtime.Bus.Self() {
		s.answerLocally(leader, request)
		return
	}
	err := s.send(ctx, leader, topicRequest, request)
	if err != nil && !errors.Is(err, bus.ErrUnknownMember) {
		s.runtime.Log.Debug().Err(err).Str("to", leader).Msg("quota: sending the request to the leader failed")
	}
}

// answerLocally answers this pooler's own request without sending messages.
func (s *session) answerLocally(self string, request Request) {
	allocator := s.activeAllocator()
	if allocator == nil {
		return
	}
	if grant, ok := allocator.Allocate(self, request); ok {
		s.component.ApplyGrant(self, grant)
	}
}

// send encodes a message and sends it to a pooler. It gives up after the interval between regular requests.
func (s *session) send(ctx context.Context, to, topic string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.component.requestInterval())
	defer cancel()
	return s.runtime.Bus.Send(ctx, to, topic, body)
}
