// Package connlimit decides which clients of a frontend stay connected: clients that send nothing, or nothing complete, must not
// keep out or crowd those that send requests.
//
// It owns the count of clients and of the bytes that are buffered for them, and each client's state as its frontend reports it.
// Everything runs on the worker's event loop. It knows no protocol and closes no connection itself: it asks the frontend to evict
// a client.
package connlimit

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/dispatch"
)

const (
	sweepInterval = 100 * time.Millisecond

	// silenceTimeout after it has connected a client that has sent no well-formed request is evicted, and so is one whose message
	// has begun and stays incomplete: within 3 s a client is owed an answer or a close.
	silenceTimeout = 2500 * time.Millisecond

	// maxSparedSweeps is how many sweeps more a silent client stays whose bytes have come and are not read yet: where this machine
	// is late, the last byte of a request may be among them. It stays no longer: one that sends byte by byte is owed its close too.
	maxSparedSweeps = 4

	// For how long a client must have been in its state before it makes room for a new one.
	minConnectingTime = 50 * time.Millisecond // an ordinary client has sent a request by then
	minReceivingTime  = time.Second           // and the rest of a message that has begun
	minIdleTime       = 2 * time.Second       // without a request in flight

	// Clients may hold a third of the descriptors. Some send one request and stay: with more than crowdedShare of the places
	// taken, those that have been idle longest are closed, or the next ones to send find no connection left on their side.
	crowdedShare    = 0.5
	crowdedIdleTime = 200 * time.Millisecond
)

// State is what a client is doing.
type State uint8

// The states of a client.
const (
	Connecting State = iota // it has sent no well-formed request yet
	Idle                    // it has its answers
	Receiving               // a message has begun and is not complete
	Active                  // a request is in flight
)

// Client is a connection as the limiter meets it. Its owner must call Admission.Release once it is closed.
type Client interface {
	// Quiet tells whether nothing has come that has not been seen yet.
	Quiet() bool
	// Evict closes the connection without a message: the client's next request may be on the way, and the client would take the
	// message for its answer.
	Evict()
}

// Limiter counts the clients of a frontend.
type Limiter struct {
	loop             *dispatch.EventLoop
	maxClients       int
	maxBufferedBytes int
	bufferedBytes    int
	admissions       map[*Admission]bool
	disconnectShare  float64 // of the clients that are to leave, from 0 to 1
}

// Admission is the place of one client.
type Admission struct {
	limiter       *Limiter
	client        Client
	state         State
	since         time.Duration // when it connected, or its state began
	sparedSweeps  int           // that have left it in though it has been silent for too long
	bufferedBytes int
	drainPosition float64 // from 0 to 1: its turn to leave
}

// New admits maxClients clients at once, whose incomplete messages hold at most maxBufferedBytes together. Its sweeps run as long as
// the loop.
func New(loop *dispatch.EventLoop, maxClients, maxBufferedBytes int) *Limiter {
	l := &Limiter{loop: loop, maxClients: maxClients, maxBufferedBytes: maxBufferedBytes, admissions: map[*Admission]bool{}}
	l.sweep()
	return l
}

// Admit admits a client; nil: there is no room.
func (l *Limiter) Admit(client Client) *Admission {
	if len(l.admissions) >= l.maxClients && !l.evictOne() {
		return nil
	}
	a := &Admission{limiter: l, client: client, since: l.loop.Now(), drainPosition: rand.Float64()}
	l.admissions[a] = true
	return a
}

// evictOne evicts one client: a silent one, else the one that has been idle longest. A new client that sends a request is worth
// more than either.
func (l *Limiter) evictOne() bool {
	return l.evictLongest(Connecting, minConnectingTime) || l.evictLongest(Idle, minIdleTime) ||
		l.evictLongest(Receiving, minReceivingTime) || l.evictLongest(Idle, 0)
}

// evictLongest evicts the client that has been in a state longest, and at least for minTime. One whose next request has come and
// is not read yet stays: closing it would lose that.
func (l *Limiter) evictLongest(state State, minTime time.Duration) bool {
	latest := l.loop.Now() - minTime
	var longest *Admission
	for a := range l.admissions {
		if a.state != state || a.since > latest {
			continue
		}
		if (longest == nil || a.since < longest.since) && a.client.Quiet() {
			longest = a
		}
	}
	if longest == nil {
		return false
	}
	longest.client.Evict()
	return true
}

// sweep evicts the clients that stay silent, and idle ones while there are many.
func (l *Limiter) sweep() {
	now := l.loop.Now()
	for a := range l.admissions {
		if a.silentTooLong(now) {
			a.client.Evict()
		}
	}
	for l.crowded() && l.evictLongest(Idle, crowdedIdleTime) {
		continue
	}
	l.loop.After(sweepInterval, l.sweep)
}

// silentTooLong tells whether a sweep is to evict the client.
func (a *Admission) silentTooLong(now time.Duration) bool {
	owes := a.state == Connecting || a.state == Receiving
	if !owes || now-a.since < silenceTimeout {
		a.sparedSweeps = 0
		return false
	}
	a.sparedSweeps++
	return a.sparedSweeps > maxSparedSweeps || a.client.Quiet()
}

// crowded tells whether idle clients are to make room before there is none.
func (l *Limiter) crowded() bool {
	return float64(len(l.admissions)) > crowdedShare*float64(l.maxClients)
}

// SetState sets the client's state, and how many bytes of an incomplete message are buffered for it. Where all clients together
// have too many, the one that has most is evicted.
func (a *Admission) SetState(state State, bufferedBytes int) {
	l := a.limiter
	if !l.admissions[a] {
		return
	}
	if state != a.state {
		a.state = state
		a.since = l.loop.Now()
	}
	l.bufferedBytes += bufferedBytes - a.bufferedBytes
	a.bufferedBytes = bufferedBytes
	if l.bufferedBytes > l.maxBufferedBytes {
		l.evictLargest(a)
	}
}

// evictLargest evicts the client that has most bytes buffered; first is the one to choose where several have as many.
func (l *Limiter) evictLargest(first *Admission) {
	largest := first
	for a := range l.admissions {
		if a.bufferedBytes > largest.bufferedBytes {
			largest = a
		}
	}
	largest.client.Evict()
}

// SetDisconnectShare has a share of the clients, from 0 to 1 (all), leave as soon as they are between requests: the pooler is
// shutting down. All at once they would meet the other poolers together.
func (l *Limiter) SetDisconnectShare(share float64) { l.disconnectShare = share }

// ShouldDisconnect tells whether the client is to leave now. One that has sent no request yet is about to: it is among the last.
func (a *Admission) ShouldDisconnect() bool {
	share := a.limiter.disconnectShare
	return share >= 1 || a.state != Connecting && a.drainPosition < share
}

// Release frees the place of a client whose connection is closed. Called again it does nothing.
func (a *Admission) Release() {
	if a.limiter.admissions[a] {
		delete(a.limiter.admissions, a)
		a.limiter.bufferedBytes -= a.bufferedBytes
	}
}
