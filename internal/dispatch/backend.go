package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// Backend sends attempts and probes to servers. Its methods are called on the loop and must not block. Send and Probe report
// the result once, on the loop and after they have returned. A request that had to wait for its connection is written only if
// AttemptCallbacks.StillAllowed returns true; otherwise the attempt ends with policy.Misdirected.
type Backend interface {
	// Send sends a request's payload to a server. The server must answer within the duration left.
	Send(address string, payload any, left time.Duration, callbacks AttemptCallbacks) Call
	// Probe sends a health check to a server.
	Probe(address string, done func(AttemptResult)) Call
	// CloseIdle closes the idle connections to a server.
	CloseIdle(address string)
}

// Call is an attempt or a probe in progress.
type Call interface {
	// Abort closes the connection. The result is no longer reported.
	Abort()
}

// AttemptCallbacks are the functions by which a Backend reports the progress of an attempt. It calls them on the loop.
type AttemptCallbacks struct {
	StillAllowed func() bool         // called before a request that had to wait for its connection is written
	Sent         func()              // called when the last byte of the request has been written
	Progress     func(answered bool) // called when the server has sent a part of its answer, or read a part of a large request
	Done         func(AttemptResult) // called once, when the attempt has ended
}

// AttemptResult is the result of an attempt or a probe, as the Backend reports it.
type AttemptResult struct {
	Result      policy.Result
	Answer      any // of an attempt: the argument of Replier.Serve; a Stream if the answer is forwarded while it arrives
	Role        policy.Role
	HasPosition bool
	Position    time.Duration
	Status      policy.ServerStatus
	Broken      bool // the connection broke after it had been established
}

// Stream is an answer that is forwarded to the client while it still arrives. Once it has begun, it is the final answer of its
// request.
type Stream interface {
	// OnEnd sets the function that is called on the loop when the stream ends.
	OnEnd(f func(StreamEnd))
	// Discard ends a stream that is not forwarded to any client.
	Discard()
	// Abort ends a stream whose request has reached its deadline. The client can tell that the answer is incomplete.
	Abort()
}

// StreamEnd is the way in which a stream ended.
type StreamEnd uint8

// The values of StreamEnd.
const (
	StreamComplete StreamEnd = iota
	StreamBroken
	StreamClientDisconnected
)
