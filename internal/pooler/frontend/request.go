package frontend

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/comment"
)

// What is wrong with a statement's comment. Clients are sent these texts as they are.
var (
	ErrUnknownClass  = errors.New("comment: c names an unknown class")
	ErrUnknownGroup  = errors.New("comment: cluster names no known group")
	ErrRequestIDOpen = errors.New("comment: id is that of an open request")
)

// Class returns the number and the settings of the class that a comment names, once its group is known too.
func (c *Clients) Class(cm comment.Comment) (int, policy.Class, error) {
	class, ok := c.dispatcher.ClassNumber(cm.Class)
	if !ok {
		return 0, policy.Class{}, ErrUnknownClass
	}
	if cm.Group < 0 || !c.dispatcher.HasGroup(cm.Group) {
		return 0, policy.Class{}, ErrUnknownGroup
	}
	return class, c.dispatcher.ClassInfo(class), nil
}

// CheckRequestID returns an error where a request of the same ID is in flight: nobody could tell the two answers apart. A request
// without an ID always passes.
func (c *Clients) CheckRequestID(id string) error {
	if id != "" && c.requestIDs[id] {
		return ErrRequestIDOpen
	}
	return nil
}

// BeginRequest notes that a request is in flight, until EndRequest.
func (c *Clients) BeginRequest(id string) {
	if id != "" {
		c.requestIDs[id] = true
	}
}

// EndRequest frees a request's ID for others.
func (c *Clients) EndRequest(id string) { delete(c.requestIDs, id) }

// NewRequest returns the request that a comment describes. A comment without a timeout gets that of its class.
func NewRequest(class int, info policy.Class, cm comment.Comment, arrivedAt time.Duration) *dispatch.Request {
	timeout := cm.Patience
	if timeout == 0 {
		timeout = info.TotalTimeout
	}
	return &dispatch.Request{
		Class:             class,
		Group:             cm.Group,
		HasIdempotencyKey: cm.Key != "",
		SessionCommitAt:   cm.After,
		ArrivedAt:         arrivedAt,
		Timeout:           timeout,
	}
}
