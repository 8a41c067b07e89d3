package frontend

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/sessionkey"
)

// Errors of a statement's comment. Clients receive these texts unchanged.
var (
	ErrUnknownClass  = errors.New("comment: c names an unknown class")
	ErrUnknownGroup  = errors.New("comment: cluster names no known group")
	ErrRequestIDOpen = errors.New("comment: id is that of an open request")
	ErrRequestIDUsed = errors.New("comment: id is that of a request whose client has disconnected, and which may have been executed")
)

// Class returns the number and the settings of the class that a comment names. It returns an error if the class or the
// comment's group is unknown.
func (c *Clients) Class(parsedComment comment.Comment) (int, policy.Class, error) {
	class, ok := c.dispatcher.ClassNumber(parsedComment.Class)
	if !ok {
		return 0, policy.Class{}, ErrUnknownClass
	}
	if parsedComment.Group < 0 || !c.dispatcher.HasGroup(parsedComment.Group) {
		return 0, policy.Class{}, ErrUnknownGroup
	}
	return class, c.dispatcher.ClassInfo(class), nil
}

// Sessions returns the sessions that a request of a class may belong to, by the keys in its statement.
func Sessions(keys *sessionkey.Keys, classSettings policy.Class) []uint64 {
	if classSettings.Access == policy.Write {
		return keys.OfWrite()
	}
	return keys.OfRead()
}

// NewRequest returns the request that a comment describes. If the comment has no timeout, the class's total timeout applies.
func NewRequest(class int, classSettings policy.Class, parsedComment comment.Comment, arrivedAt time.Duration) *dispatch.Request {
	timeout := parsedComment.Patience
	if timeout == 0 {
		timeout = classSettings.TotalTimeout
	}
	return &dispatch.Request{
		Class:             class,
		Group:             parsedComment.Group,
		HasIdempotencyKey: parsedComment.Key != "",
		SessionCommitAt:   parsedComment.After,
		ArrivedAt:         arrivedAt,
		Timeout:           timeout,
	}
}
