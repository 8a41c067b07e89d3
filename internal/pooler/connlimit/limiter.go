// Package connlimit limits the client connections of a frontend and decides which clients are disconnected, so that clients that
// send nothing, or only incomplete messages, do not take up connections or memory needed by clients that send requests.
//
// It keeps the number of clients, the number of bytes buffered for them, and the state of each client as reported by its
// frontend. All functions must be called on the worker's event loop. The package does not depend on the protocol and does not
// close connections itself: it calls Client.Evict, which the frontend implements.
package connlimit

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/dispatch"
)

const (
	// sweepInterval is the time between two checks for clients to evict.
	sweepInterval = 100 * time.Millisecond

	// silenceTimeout is the time after which a client is evicted that has sent no well-formed request since it connected, or has
	// not completed a message that it began: a client must get an answer or a close within 3 s.
	silenceTimeout = 2500 * time.Millisecond

	// maxDeferredSweeps is the number of sweeps for which the eviction of a silent client is deferred while it has unread input: on
	// an overloaded machine the input may complete a request. It is bounded because a client that sends byte by byte must be closed
	// in time too.
	maxDeferredSweeps = 4

	// Minimum time that a client must have been in a state before it is evicted in favor of a new client.
	minConnectingTime = 50 * time.Millisecond // ordinary clients send a request sooner
	minReceivingTime  = time.Second           // ordinary clients complete a message sooner
	minIdleTime       = 2 * time.Second       // no request in flight; ignored when no other client can be evicted

	// Clients may hold a third of the descriptors. Some send one request and stay connected, and their programs limit their own
	// connections. With more than highWaterShare of maxClients connected, the clients that have been idle longest, and for at least
	// highWaterIdleTime, are evicted; otherwise the next requests would find no connection left on the client's side.
	highWaterShare    = 0.5
	highWaterIdleTime = 200 * time.Millisecond
)

// State is the state of a client.
type State uint8

// The states of a client.
const (
	Connecting State = iota // the client has sent no well-formed request yet
	Idle                    // all requests are answered
	Receiving               // a message is incomplete
	Active                  // a request is in flight
)

// Client is a client connection. Its owner must call Admission.Release once the connection is closed.
type Client interface {
	// Quiet reports whether there is no input that the owner has not handled yet.
	Quiet() bool
	// Evict closes the connection without sending a message: if the client has just sent a request, it would take the message for
	// the answer.
	Evict()
	// Throttle stops reading from the client if throttled is true, and otherwise resumes it.
	Throttle(throttled bool)
}

// Limiter limits the number of clients of a frontend and the bytes buffered for them.
type Limiter struct {
	loop            *dispatch.EventLoop
	maxClients      int
	admissions      map[*Admission]bool
	buffer          bufferLimit
	disconnectShare float64 // share of the clients to disconnect, from 0 to 1
}

// Admission is the limiter's record of an admitted client.
type Admission struct {
	limiter        *Limiter
	client         Client
	state          State
	stateSince     time.Duration // loop time at which the client connected or its state began
	deferredSweeps int           // sweeps that have found the client silent for too long
	bufferedBytes  int           // of its incomplete message
	bufferedSince  time.Duration // loop time at which bufferedBytes or the state changed last
	throttled      bool          // reading from the client is stopped
	drainPosition  float64       // random position in the order of disconnecting, from 0 to 1
}

// New returns a limiter that admits at most maxClients clients at a time, whose incomplete messages take at most
// maxBufferedBytes in total. It sweeps periodically for as long as the loop runs.
func New(loop *dispatch.EventLoop, maxClients, maxBufferedBytes int) *Limiter {
	l := &Limiter{loop: loop, maxClients: maxClients, admissions: map[*Admission]bool{}, buffer: bufferLimit{maxBytes: maxBufferedBytes}}
	l.sweep()
	return l
}

// Admit admits a client, evicting another one if the limit is reached. It returns nil if no client can be evicted.
func (l *Limiter) Admit(client Client) *Admission {
	if len(l.admissions) >= l.maxClients && !l.evictOne() {
		return nil
	}
	a := &Admission{limiter: l, client: client, stateSince: l.loop.Now(), drainPosition: rand.Float64()}
	l.admissions[a] = true
	return a
}

// evictOne evicts one client without a request in flight and reports whether there was one: preferably one that has sent no
// request, otherwise one that has been idle or receiving for long, otherwise the one idle longest. A new client that sends a
// request has precedence over any of them.
func (l *Limiter) evictOne() bool {
	return l.evictLongest(Connecting, minConnectingTime) || l.evictLongest(Idle, minIdleTime) ||
		l.evictLongest(Receiving, minReceivingTime) || l.evictLongest(Idle, 0)
}

// evictLongest evicts the client that has been in the given state longest, and for at least minTime. It reports whether there was
// one.
func (l *Limiter) evictLongest(state State, minTime time.Duration) bool {
	latest := l.loop.Now() - minTime
	return l.evictEarliest(func(a *Admission) (since time.Duration, evictable bool) {
		return a.stateSince, a.state == state && a.stateSince <= latest
	})
}

// evictEarliest evicts the evictable client with the earliest time and reports whether there was one. It skips clients with unread
// input, as closing the connection would lose the next request.
func (l *Limiter) evictEarliest(since func(a *Admission) (at time.Duration, evictable bool)) bool {
	var earliest *Admission
	var earliestAt time.Duration
	for a := range l.admissions {
		at, evictable := since(a)
		if evictable && (earliest == nil || at < earliestAt) && a.client.Quiet() {
			earliest, earliestAt = a, at
		}
	}
	if earliest == nil {
		return false
	}
	earliest.client.Evict()
	return true
}

// sweep evicts clients that have been silent for too long and, above the high-water mark, idle ones, and enforces the limit of
// buffered bytes. It schedules the next sweep.
func (l *Limiter) sweep() {
	now := l.loop.Now()
	for a := range l.admissions {
		if a.silentTooLong(now) {
			a.client.Evict()
		}
	}
	for l.aboveHighWater() && l.evictLongest(Idle, highWaterIdleTime) {
		continue
	}
	l.limitBuffers(nil)
	l.loop.After(sweepInterval, l.sweep)
}

// silentTooLong reports whether the sweep at the given time must evict the client, and counts deferred sweeps.
func (a *Admission) silentTooLong(now time.Duration) bool {
	awaitingInput := a.state == Connecting || a.state == Receiving
	if !awaitingInput || now-a.stateSince < silenceTimeout {
		a.deferredSweeps = 0
		return false
	}
	a.deferredSweeps++
	return a.deferredSweeps > maxDeferredSweeps || a.client.Quiet()
}

// aboveHighWater reports whether so many clients are connected that idle ones must be evicted early.
func (l *Limiter) aboveHighWater() bool {
	return float64(len(l.admissions)) > highWaterShare*float64(l.maxClients)
}

// SetState sets the client's state and the number of bytes buffered for its incomplete message. It enforces the limit of buffered
// bytes, and may evict or throttle the client. After Release, SetState has no effect.
func (a *Admission) SetState(state State, bufferedBytes int) {
	l := a.limiter
	if !l.admissions[a] {
		return
	}
	if state != a.state {
		a.state = state
		a.stateSince = l.loop.Now()
		a.bufferedSince = a.stateSince
	}
	if bufferedBytes != a.bufferedBytes {
		l.buffer.bytes += bufferedBytes - a.bufferedBytes
		a.bufferedBytes = bufferedBytes
		a.bufferedSince = l.loop.Now()
	}
	l.limitBuffers(a)
}

// SetDisconnectShare sets the share of clients, from 0 to 1 (all), that are to be disconnected while the pooler shuts down,
// each as soon as it has no request in flight. Raising the share gradually avoids that all clients connect to the other poolers
// at once.
func (l *Limiter) SetDisconnectShare(share float64) { l.disconnectShare = share }

// ShouldDisconnect reports whether the client is to be disconnected now. Clients that have sent no request yet are about to
// send one, so they are disconnected last, when the share is 1.
func (a *Admission) ShouldDisconnect() bool {
	share := a.limiter.disconnectShare
	return share >= 1 || a.state != Connecting && a.drainPosition < share
}

// Release removes a client whose connection is closed from the limiter's counts. Further calls have no effect.
func (a *Admission) Release() {
	l := a.limiter
	if !l.admissions[a] {
		return
	}
	delete(l.admissions, a)
	l.buffer.bytes -= a.bufferedBytes
	l.buffer.forget(a)
}
