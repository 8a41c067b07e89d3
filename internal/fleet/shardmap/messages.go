package shardmap

import (
	"context"
	"encoding/json"
)

// The topics of the messages between poolers.
const (
	topicRequest = "shards/ask"   // a Request, to the coordinator
	topicGrant   = "shards/grant" // a Grant, in answer to a Request
)

// handleMessages registers the handlers of the topics. Answers that are still being sent when ctx ends are canceled.
func (s *session) handleMessages(ctx context.Context) {
	s.runtime.Bus.Handle(topicRequest, func(from string, body []byte) { s.answerRequest(ctx, from, body) })
	s.runtime.Bus.Handle(topicGrant, s.handleGrant)
}

// answerRequest answers the request of another pooler with a grant. It does nothing if this pooler is not the coordinator.
func (s *session) answerRequest(ctx context.Context, from string, body []byte) {
	var request Request
	if json.Unmarshal(body, &request) != nil || request.Name != from {
		return
	}
	grant, ok := s.handleRequest(request)
	if !ok {
		return
	}
	go func() { // send returns after a timeout
		_ = s.send(ctx, from, topicGrant, grant) // the router repeats its request if the grant is lost
	}()
}

// handleRequest passes a request to the coordinator and returns its grant. ok is false if this pooler is not the leader.
func (s *session) handleRequest(r Request) (Grant, bool) {
	if s.runtime.Leadership == nil {
		return Grant{}, false
	}
	_, until, leads := s.runtime.Leadership.Token()
	if !leads {
		return Grant{}, false
	}
	grant, ok := s.coordinator.HandleRequest(r, until)
	notify(s.coordinatorWake)
	return grant, ok
}

// handleGrant decodes and applies a grant. It ignores a message that can't be decoded.
func (s *session) handleGrant(_ string, body []byte) {
	var grant Grant
	if json.Unmarshal(body, &grant) == nil {
		s.applyGrant(grant)
	}
}

// applyGrant applies a grant. It wakes followDocuments if the router can now acknowledge a newer epoch.
func (s *session) applyGrant(g Grant) {
	if s.router.ApplyGrant(g) {
		notify(s.routerWake)
	}
}

// sendRequest sends the router's next request to the coordinator. If this pooler is the coordinator, it handles the request directly.
func (s *session) sendRequest(ctx context.Context) {
	request, coordinator, ok := s.router.NextRequest()
	if !ok {
		return
	}
	if coordinator == s.runtime.Bus.Self() {
		if grant, ok := s.handleRequest(request); ok {
			s.applyGrant(grant)
		}
		return
	}
	go func() { // send returns after a timeout
		if err := s.send(ctx, coordinator, topicRequest, request); err != nil {
			s.runtime.Log.Debug().Err(err).Str("coordinator", coordinator).Msg("shardmap: request to the coordinator failed")
		}
	}()
}

// send sends a message to a pooler. It gives up after the interval between two requests.
func (s *session) send(ctx context.Context, to, topic string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Term/requestsPerTerm)
	defer cancel()
	return s.runtime.Bus.Send(ctx, to, topic, body)
}
