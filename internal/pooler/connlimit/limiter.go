// Package connlimit limits the client connections of a frontend and decides which clients are disconnected, so that clients that
// send nothing, or only incomplete messages, do not take up connections or memory needed by clients that send requests.
//
// It keeps the number of clients, what each of them uses of the memory for requests, of the memory for answers and of the commands in
// flight, and the state of each client as reported by its frontend. A client that needs more than the others leave has to wait; where
// that takes too long, its message is discarded and rejected. No client is disconnected for the memory of its requests. All functions must be called on the worker's event loop. The package does not depend on the protocol and does not
// close connections itself: it calls Client.Evict, which the frontend implements.
package connlimit

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/quota"
)

// AnswerAllowance is the number of bytes of each answer that its exchange, and then its client, may use freely.
const AnswerAllowance = 8 << 10

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

	// requestAllowance is the number of bytes of requests that each client may use freely, enough for ordinary requests.
	requestAllowance = 8 << 10

	// maxPipelinedCommands is the number of commands in flight of all clients beyond the first of each. Above it each client has one at
	// a time, so that clients that send many at once do not queue before the others.
	maxPipelinedCommands = 128

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
	// Resume tells that what the client has waited for is granted.
	Resume()
	// Shed discards the message that the client has begun to send, or its data for a statement that it has not executed yet. What it
	// sends of it is rejected once it is complete.
	Shed()
	// StalledFor returns for how long the client has accepted none of the bytes that are written to it; 0 if all are.
	StalledFor() time.Duration
}

// Usage is what a client uses.
type Usage struct {
	State       State
	Bytes       int  // of its input and its requests in flight
	Commands    int  // in flight
	AnswerBytes int  // of answers that it has not read
	Discardable bool // Client.Shed would give some of Bytes back
}

// Counters count what the limiter has done since the start, by its reasons.
type Counters struct {
	EvictedSilent  uint64 // clients that sent no request, or not the rest of one, in time
	EvictedIdle    uint64 // idle or unfinished clients whose places were needed
	EvictedStalled uint64 // clients that did not read their answers
	Shed           uint64 // messages that were discarded for want of memory
	Waited         uint64 // commands that had to wait for memory, or for others to be answered
	Refused        uint64 // connections for which there was no place
}

// Limiter limits the number of clients of a frontend and what they use.
type Limiter struct {
	loop            *dispatch.EventLoop
	maxClients      int
	admissions      map[*Admission]bool
	memory          *quota.Quota // bytes of input and of requests in flight
	commands        *quota.Quota // commands in flight
	answers         *quota.Quota // bytes of answers that are being received or are not read
	counters        Counters
	disconnectShare float64 // share of the clients to disconnect, from 0 to 1
}

// Admission is the limiter's record of an admitted client.
type Admission struct {
	limiter        *Limiter
	client         Client
	usage          Usage
	stateSince     time.Duration // loop time at which the client connected or its state began
	inputAt        time.Duration // loop time at which its bytes or its state changed last
	deferredSweeps int           // sweeps that have found the client silent for too long
	memory         *quota.Claim
	commands       *quota.Claim
	answers        *quota.Claim
	drainPosition  float64 // random position in the order of disconnecting, from 0 to 1
}

// New returns a limiter that admits at most maxClients clients at a time, whose requests take at most requestBytes in total, and whose
// answers answerBytes, each beyond a small allowance. It sweeps periodically for as long as the loop runs.
func New(loop *dispatch.EventLoop, maxClients, requestBytes, answerBytes int) *Limiter {
	l := &Limiter{
		loop:       loop,
		maxClients: maxClients,
		admissions: map[*Admission]bool{},
		memory:     quota.New(loop.Now, requestBytes, requestAllowance),
		commands:   quota.New(loop.Now, maxPipelinedCommands, 1),
		answers:    quota.New(loop.Now, answerBytes, AnswerAllowance),
	}
	l.sweep()
	return l
}

// Answers returns the quota for answers, which clients share with the exchanges that receive them.
func (l *Limiter) Answers() *quota.Quota { return l.answers }

// Counters returns the counts since the start.
func (l *Limiter) Counters() Counters { return l.counters }

// Clients returns the number of admitted clients.
func (l *Limiter) Clients() int { return len(l.admissions) }

// RequestBytes returns the bytes of requests, and AnswerBytes those of answers, that are held beyond the allowances.
func (l *Limiter) RequestBytes() int { return l.memory.Held() }

// AnswerBytes is described at RequestBytes.
func (l *Limiter) AnswerBytes() int { return l.answers.Held() }

// WaitingClients returns the number of clients that wait for memory, or for other clients' commands to be answered.
func (l *Limiter) WaitingClients() int { return l.memory.Waiting() + l.commands.Waiting() }

// Admit admits a client, evicting another one if the limit is reached. It returns nil if no client can be evicted.
func (l *Limiter) Admit(client Client) *Admission {
	if len(l.admissions) >= l.maxClients && !l.evictOne() {
		l.counters.Refused++
		return nil
	}
	a := &Admission{limiter: l, client: client, stateSince: l.loop.Now(), drainPosition: rand.Float64()}
	a.memory = l.memory.NewClaim(client.Resume)
	a.commands = l.commands.NewClaim(client.Resume)
	a.answers = l.answers.NewClaim(func() {}) // the client's answers have arrived: its claim never waits
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
		return a.stateSince, a.usage.State == state && a.stateSince <= latest
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
	l.counters.EvictedIdle++
	earliest.client.Evict()
	return true
}

// sweep evicts clients that have been silent for too long or do not read and, above the high-water mark, idle ones, and discards
// messages that hold memory for too long. It schedules the next sweep.
func (l *Limiter) sweep() {
	now := l.loop.Now()
	for a := range l.admissions {
		if a.silentTooLong(now) {
			l.counters.EvictedSilent++
			a.client.Evict()
		}
	}
	for l.aboveHighWater() && l.evictLongest(Idle, highWaterIdleTime) {
		continue
	}
	l.evictStalledReaders()
	l.shedInput()
	l.loop.After(sweepInterval, l.sweep)
}

// silentTooLong reports whether the sweep at the given time must evict the client, and counts deferred sweeps.
func (a *Admission) silentTooLong(now time.Duration) bool {
	awaitingInput := a.usage.State == Connecting || a.usage.State == Receiving
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

// SetUsage sets what the client uses. After Release, it has no effect.
func (a *Admission) SetUsage(usage Usage) {
	l := a.limiter
	if !l.admissions[a] {
		return
	}
	if usage.State != a.usage.State {
		a.stateSince = l.loop.Now()
	}
	if usage.State != a.usage.State || usage.Bytes != a.usage.Bytes {
		a.inputAt = l.loop.Now()
	}
	a.usage = usage
	a.memory.SetUsed(usage.Bytes)
	a.commands.SetUsed(usage.Commands)
	a.answers.SetUsed(usage.AnswerBytes)
}

// Reserve asks for the client to use so many bytes and commands in flight, before it does. If the others leave too little it returns
// false, and the client must not go on until Client.Resume is called.
func (a *Admission) Reserve(bytes, commands int) bool {
	if !a.limiter.admissions[a] {
		return true
	}
	if a.commands.Reserve(commands) && a.memory.Reserve(bytes) {
		return true
	}
	a.limiter.counters.Waited++
	return false
}

// TryReserve is like Reserve for what the client can do without: it does not wait.
func (a *Admission) TryReserve(bytes int) bool {
	if !a.limiter.admissions[a] || a.memory.Waits() {
		return false
	}
	if a.memory.Reserve(bytes) {
		return true
	}
	a.memory.CancelWait()
	return false
}

// Waits reports whether the client has to wait after Reserve.
func (a *Admission) Waits() bool { return a.memory.Waits() || a.commands.Waits() }

// SetDisconnectShare sets the share of clients, from 0 to 1 (all), that are to be disconnected while the pooler shuts down,
// each as soon as it has no request in flight. Raising the share gradually avoids that all clients connect to the other poolers
// at once.
func (l *Limiter) SetDisconnectShare(share float64) { l.disconnectShare = share }

// ShouldDisconnect reports whether the client is to be disconnected now. Clients that have sent no request yet are about to
// send one, so they are disconnected last, when the share is 1.
func (a *Admission) ShouldDisconnect() bool {
	share := a.limiter.disconnectShare
	return share >= 1 || a.usage.State != Connecting && a.drainPosition < share
}

// Release removes a client whose connection is closed from the limiter's counts. Further calls have no effect.
func (a *Admission) Release() {
	l := a.limiter
	if !l.admissions[a] {
		return
	}
	delete(l.admissions, a)
	a.memory.Release()
	a.commands.Release()
	a.answers.Release()
}
