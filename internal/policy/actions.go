package policy

import (
	"fmt"
	"time"
)

// Actions is the interface through which a Router acts on its host. The host carries out the calls
// in their order. No method may call back into the Router.
type Actions interface {
	// Attempt sends a request to a server. With a timeout of 0 the request's own timeout applies.
	Attempt(id, server uint32, timeout time.Duration)
	// Reject gives a request that the client may safely repeat its final answer. If retryAfter is
	// not 0, the client is asked to wait that long before it retries.
	Reject(id uint32, retryAfter time.Duration)
	// Fail gives a request that may have been executed its final answer.
	Fail(id uint32)
	// CancelAttempt cancels an attempt of a request. The host still reports its Outcome.
	CancelAttempt(id uint32, attempt int)
	// Probe requests a status report from a server.
	Probe(server uint32)
	// SetTimer schedules one call of Router.HandleTimer after the given duration.
	SetTimer(after time.Duration)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(server uint32)
	// WatchList polls the endpoint list or subscribes to its changes. The host reports the list
	// through Router.HandleList.
	WatchList()
	// PrimaryChanged reports a change of a group's recorded primary, or a probe round that found
	// no primary. Hosts log the event's LogText.
	PrimaryChanged(event PrimaryEvent)
	// Log writes a line to the pooler's log.
	Log(text string)
}

// PrimaryEventKind is the kind of a PrimaryEvent.
type PrimaryEventKind uint8

// The kinds of a PrimaryEvent.
const (
	PrimaryFound    PrimaryEventKind = iota // Server became the recorded primary, by evidence as of AsOf
	PrimaryDown                             // Server is no longer the recorded primary because of Reason
	PrimaryListed                           // Server is recorded as the list has it, for lack of evidence
	PrimaryNotFound                         // a probe round ended without a primary
)

// PrimaryEvent is a change of a group's recorded primary, or a probe round that found no primary.
type PrimaryEvent struct {
	Kind     PrimaryEventKind
	Group    int
	Server   uint32
	AsOf     time.Duration // time of the evidence
	Reason   string        // PrimaryDown: predicate that completes the log line, such as "is silent"
	Repeated bool          // PrimaryNotFound: whether an earlier round of this outage found none either
}

// LogText returns the log line for the event, or "" if the event is not logged.
func (e PrimaryEvent) LogText() string {
	switch {
	case e.Kind == PrimaryFound:
		return fmt.Sprintf("group %d: server %d is primary", e.Group, e.Server)
	case e.Kind == PrimaryDown:
		return fmt.Sprintf("group %d: primary %d %s", e.Group, e.Server, e.Reason)
	case e.Kind == PrimaryListed || e.Repeated:
		return ""
	}
	return fmt.Sprintf("group %d: probe round found no primary", e.Group)
}
