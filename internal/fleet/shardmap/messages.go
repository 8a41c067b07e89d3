package shardmap

import (
	"context"
	"encoding/json"
)

// The topics of messages between poolers.
const (
	topicRequest = "shards/ask"   // to the coordinator: Request
	topicGrant   = "shards/grant" // the answer: Grant
)

// handleMessages sets the handlers of the topics. What they send is given up when ctx ends.
func (s *session) handleMessages(ctx context.Context) {
	s.runtime.Bus.Handle(topicRequest, func(from string, body []byte) { s.answerRequest(ctx, from, body) })
	s.runtime.Bus.Handle(topicGrant, s.handleGrant)
}

// answerRequest sends the grant of another pooler's request, while this pooler coordinates.
func (s *session) answerRequest(ctx context.Context, from string, body []byte) {
	var request Request
	if json.Unmarshal(body, &request) != nil || request.Name != from {
		return
	}
	grant, ok := s.handleRequest(request)
	if !ok {
		return
	}
	go func() { // ends with the sending, which send bounds
		_ = s.send(ctx, from, topicGrant, grant) // the router requests again
	}()
}

// handleRequest lets the coordinator handle a request, while this pooler leads.
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

// handleGrant applies a grant.
func (s *session) handleGrant(_ string, body []byte) {
	var grant Grant
	if json.Unmarshal(body, &grant) == nil {
		s.applyGrant(grant)
	}
}

// applyGrant applies a grant, and wakes followDocuments if there is more to acknowledge.
func (s *session) applyGrant(g Grant) {
	if s.router.ApplyGrant(g) {
		notify(s.routerWake)
	}
}

// sendRequest sends the router's next request to the coordinator, which may be here.
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
	go func() { // ends with the sending, which send bounds
		if err := s.send(ctx, coordinator, topicRequest, request); err != nil {
			s.runtime.Log.Debug().Err(err).Str("coordinator", coordinator).Msg("shardmap: coordinator not reached")
		}
	}()
}

// send sends one pooler a message, for no longer than the interval between requests.
func (s *session) send(ctx context.Context, to, topic string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Term/requestsPerTerm)
	defer cancel()
	return s.runtime.Bus.Send(ctx, to, topic, body)
}
