package quota

import (
	"context"
	"encoding/json"
	"errors"

	"threadsail/internal/fleet/bus"
)

// The topics of messages between poolers.
const (
	topicLeader  = "quota/holder" // to all poolers, by the leader: its token, a number
	topicRequest = "quota/ask"    // to the leader: Request
	topicGrant   = "quota/grant"  // the answer: Grant
)

const (
	// grantSenders is how many answers are on their way at once.
	grantSenders = 8
	// maxQueuedRequests bounds the requests that wait for an answer: a whole fleet may send one at the instant at which it learns of a
	// new leader.
	maxQueuedRequests = 1024
)

// receivedRequest is a request of another pooler.
type receivedRequest struct {
	from    string
	request Request
}

// handleMessages sets the handlers of the component's topics.
func (s *session) handleMessages() {
	s.runtime.Bus.Handle(topicLeader, s.handleLeader)
	s.runtime.Bus.Handle(topicGrant, s.handleGrant)
	s.runtime.Bus.Handle(topicRequest, s.handleRequest)
}

// handleLeader records that a pooler leads, and wakes run.
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

// handleGrant applies a grant.
func (s *session) handleGrant(from string, body []byte) {
	var grant Grant
	if json.Unmarshal(body, &grant) != nil || !s.component.ApplyGrant(from, grant) {
		s.runtime.Log.Debug().Str("from", from).Msg("quota: grant refused")
	}
}

// handleRequest queues a request for an answer.
func (s *session) handleRequest(from string, body []byte) {
	var request Request
	if json.Unmarshal(body, &request) != nil {
		return
	}
	select {
	case s.requests <- receivedRequest{from: from, request: request}:
	default: // the pooler sends another
	}
}

// answerRequests answers queued requests until ctx ends.
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

// answer allocates what a request is granted, and sends the grant, while this pooler leads. Should the process stall after it has looked
// at its leadership, its late answer does no harm: the quota counts from the request, so it ends before a leader that was elected
// meanwhile has finished learning.
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
		s.runtime.Log.Debug().Err(err).Str("to", received.from).Msg("quota: grant not sent")
	}
}

// announceLeadership announces to all other poolers that this one leads by a token.
func (s *session) announceLeadership(token uint64) {
	body, err := json.Marshal(token)
	if err != nil {
		return // a number can be encoded
	}
	s.runtime.Bus.Broadcast(topicLeader, body)
}

// sendDueRequest sends a request out of turn, if that is worth its cost.
func (s *session) sendDueRequest(ctx context.Context) {
	if s.component.RequestDue() {
		s.sendRequest(ctx)
	}
}

// sendRequest sends the leader a request, or answers it here while this pooler leads.
func (s *session) sendRequest(ctx context.Context) {
	c := s.component
	c.SetFleetSize(s.poolerCount())
	request, leader, ok := c.NextRequest()
	if !ok {
		return
	}
	if leader == s.runtime.Bus.Self() {
		s.answerHere(leader, request)
		return
	}
	err := s.send(ctx, leader, topicRequest, request)
	if err != nil && !errors.Is(err, bus.ErrUnknownMember) {
		s.runtime.Log.Debug().Err(err).Str("to", leader).Msg("quota: leader not reached")
	}
}

// answerHere answers this pooler's own request.
func (s *session) answerHere(self string, request Request) {
	allocator := s.activeAllocator()
	if allocator == nil {
		return
	}
	if grant, ok := allocator.Allocate(self, request); ok {
		s.component.ApplyGrant(self, grant)
	}
}

// send sends one pooler a message, for no longer than the interval between requests.
func (s *session) send(ctx context.Context, to, topic string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.component.requestInterval())
	defer cancel()
	return s.runtime.Bus.Send(ctx, to, topic, body)
}
