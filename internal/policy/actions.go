package policy

import (
	"fmt"
	"time"
)

// Actions is what a host does for a Router. The host carries the calls out in their order. No
// method may call back into the Router.
type Actions interface {
	// Attempt sends a request to a server. A timeout of 0 stands for the request's own.
	Attempt(id, server uint32, timeout time.Duration)
	// Reject is the final answer to a request that may be repeated, after the given wait if that is
	// not 0.
	Reject(id uint32, retryAfter time.Duration)
	// Fail is the final answer to a request that may have been executed.
	Fail(id uint32)
	// CancelAttempt stops waiting for one attempt.
	CancelAttempt(id uint32, attempt int)
	// Probe asks a server for its status.
	Probe(server uint32)
	// SetTimer asks for a call of HandleTimer after the given span.
	SetTimer(after time.Duration)
	// CloseIdleConnections closes the idle connections to a server.
	CloseIdleConnections(server uint32)
	// WatchList polls the endpoint list or subscribes to its changes.
	WatchList()
	// PrimaryChanged reports a change of a group's recorded primary, or a probe round that found
	// none. Hosts log the event's LogText.
	PrimaryChanged(event PrimaryEvent)
	// Log adds a line to the pooler's log.
	Log(text string)
}

// PrimaryEventKind is what a PrimaryEvent reports.
type PrimaryEventKind uint8

// The kinds of a PrimaryEvent.
const (
	PrimaryFound    PrimaryEventKind = iota // Server is the recorded primary, as of AsOf
	PrimaryDown                             // Server is no longer the recorded primary, for Reason
	PrimaryListed                           // the list names Server, which is recorded until there is evidence
	PrimaryNotFound                         // a probe round ended without a primary
)

// PrimaryEvent is a change of a group's recorded primary, or a probe round that found none.
type PrimaryEvent struct {
	Kind     PrimaryEventKind
	Group    int
	Server   uint32
	AsOf     time.Duration // the time of the evidence
	Reason   string
	Repeated bool // PrimaryNotFound: not the first such round of this outage
}

// LogText returns the line for the log; it is empty where the event is not worth one.
func (e PrimaryEvent) LogText() string {
	switch {
	case e.Kind == PrimaryFound:
		return fmt.Sprintf("group %d: store %d is primary", e.Group, e.Server)
	case e.Kind == PrimaryDown:
		return fmt.Sprintf("group %d: primary %d %s", e.Group, e.Server, e.Reason)
	case e.Kind == PrimaryListed || e.Repeated:
		return ""
	}
	return fmt.Sprintf("group %d: round ends without a primary", e.Group)
}
