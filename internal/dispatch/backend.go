package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// Backend reaches the servers. Its methods are called on the loop and must not wait. Send and Probe report the end once, on
// the loop and after they have returned. A request that had to wait for its connection is written only if
// AttemptCallbacks.StillAllowed says so; else it has ended as policy.Misdirected.
type Backend interface {
	// Send sends a request's payload to a server, which has the time left to answer.
	Send(address string, payload any, left time.Duration, callbacks AttemptCallbacks) Call
	// Probe checks a server.
	Probe(address string, done func(AttemptResult)) Call
	// CloseIdle closes the idle connections to a server.
	CloseIdle(address string)
}

// Call is an attempt or a probe in progress.
type Call interface {
	// Abort closes the connection; the end is reported no more.
	Abort()
}

// AttemptCallbacks is the Dispatcher's side of an attempt. A Backend calls all of it on the loop.
type AttemptCallbacks struct {
	StillAllowed func() bool         // called before a request that had to wait for its connection is written
	Sent         func()              // its last byte has gone out
	Done         func(AttemptResult) // its end, once
}

// AttemptResult is the end of an attempt or a probe, as the Backend saw it.
type AttemptResult struct {
	Result      policy.Result
	Answer      any // of an attempt: what Replier.Serve takes; a Stream where the answer is passed on while it comes
	Role        policy.Role
	HasPosition bool
	Position    time.Duration
	Status      policy.ServerStatus
	Broken      bool // the connection had come up, and broke
}

// Stream is an answer that is passed on while it still comes. It is the final answer of its request from its beginning on.
type Stream interface {
	// OnEnd has f called on the loop at the end of the stream.
	OnEnd(f func(StreamEnd))
	// Discard ends a stream that nobody waits for.
	Discard()
	// Abort ends a stream whose time is over, so that its client can tell.
	Abort()
}

// StreamEnd is how a stream ends.
type StreamEnd uint8

// The ends of a stream.
const (
	StreamComplete StreamEnd = iota
	StreamBroken
	StreamClientDisconnected
)
