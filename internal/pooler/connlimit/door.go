// Package door decides, for both fronts, which clients stay connected: those that say nothing, or nothing whole, must
// not keep out or crowd the ones that ask. It knows no wire and closes nothing itself.
package connlimit

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/dispatch"
)

const (
	sweepInterval = 100 * time.Millisecond
	// A client that has asked nothing sound so long after it came is turned out, and so is one whose message has begun and
	// stays incomplete: 3 s after coming it is owed a word or a close.
	silenceTimeout = 2500 * time.Millisecond
	// Where this machine is late, what a silent client has sent may lie there unseen, the last byte of a request among it. It
	// stays for so many sweeps more, and no longer: one that sends byte by byte is owed its close as well.
	maxSparedSweeps   = 4
	minConnectingTime = 50 * time.Millisecond // under pressure: a usual client has asked by then
	minReceivingTime  = time.Second           // and sent the rest of a message that has begun
	minIdleTime       = 2 * time.Second       // a client without an open request may be closed after this
	// Clients may hold a third of the descriptors. Some ask once and stay: with more than this share of the places taken,
	// those that have been idle longest are closed, or the ones that ask next find no connection left on their side.
	crowdedShare    = 0.5
	crowdedIdleTime = 200 * time.Millisecond
)

// State is what a guest is about.
type State uint8

// The states of a guest.
const (
	Connecting State = iota // it has asked nothing sound yet
	Idle                    // it has asked, and has its answers
	Receiving               // a message has begun and is not whole
	Active                  // a request is open
)

// Limiter counts the clients of a front. All of it runs on the front's loop.
type Limiter struct {
	loop             *dispatch.EventLoop
	maxClients       int
	maxBufferedBytes int
	bufferedBytes    int
	admissions       map[*Admission]bool
	disconnectShare  float64 // share of the guests that are to leave
}

// Client is what the door asks of a front. It must call Leave for each client that is gone.
type Client interface {
	Quiet() bool // nothing has come that has not been seen yet
	// Evict closes it without a word: its next request may be on the way, and would take the word for its answer.
	Evict()
}

// Admission is one client.
type Admission struct {
	limiter       *Limiter
	client        Client
	state         State
	since         time.Duration // when it came, or its state began
	sparedSweeps  int           // sweeps that have left it in though it has been silent for too long
	bufferedBytes int
	drainPosition float64 // from 0 to 1: its turn to leave
}

// New lets most clients in at once, whose incomplete messages hold at most so many bytes together.
func New(loop *dispatch.EventLoop, most, bytes int) *Limiter {
	d := &Limiter{loop: loop, maxClients: most, maxBufferedBytes: bytes, admissions: map[*Admission]bool{}}
	d.sweep()
	return d
}

// Admit lets a client in; nil: there is no room.
func (d *Limiter) Admit(c Client) *Admission {
	if len(d.admissions) >= d.maxClients && !d.evictOne() {
		return nil
	}
	g := &Admission{limiter: d, client: c, since: d.loop.Now(), drainPosition: rand.Float64()}
	d.admissions[g] = true
	return g
}

// evictOne turns out one client: a silent one, else the one that has been idle longest. A newcomer who asks is worth
// more than either.
func (d *Limiter) evictOne() bool {
	return d.evictLongest(Connecting, minConnectingTime) || d.evictLongest(Idle, minIdleTime) || d.evictLongest(Receiving, minReceivingTime) || d.evictLongest(Idle, 0)
}

// evictLongest closes the client that has been in a state longest, and at least for so long. One whose next request has come
// and only not been seen yet stays: closing it would lose that.
func (d *Limiter) evictLongest(state State, least time.Duration) bool {
	until := d.loop.Now() - least
	var first *Admission
	for g := range d.admissions {
		if g.state == state && g.since <= until && (first == nil || g.since < first.since) && g.client.Quiet() {
			first = g
		}
	}
	if first != nil {
		first.client.Evict()
	}
	return first != nil
}

// sweep turns out the clients that stay silent, and idle ones while there are many.
func (d *Limiter) sweep() {
	now := d.loop.Now()
	for g := range d.admissions {
		if (g.state != Connecting && g.state != Receiving) || now-g.since < silenceTimeout {
			g.sparedSweeps = 0
		} else if g.sparedSweeps++; g.sparedSweeps > maxSparedSweeps || g.client.Quiet() {
			g.client.Evict()
		}
	}
	for float64(len(d.admissions)) > crowdedShare*float64(d.maxClients) && d.evictLongest(Idle, crowdedIdleTime) {
	}
	d.loop.After(sweepInterval, d.sweep)
}

// SetState tells a guest's state, and how many bytes of an incomplete message are kept for it. Where all guests together hold
// too many, the one that holds most is turned out.
func (g *Admission) SetState(state State, held int) {
	if !g.limiter.admissions[g] {
		return
	}
	if state != g.state {
		g.state, g.since = state, g.limiter.loop.Now()
	}
	g.limiter.bufferedBytes += held - g.bufferedBytes
	if g.bufferedBytes = held; g.limiter.bufferedBytes <= g.limiter.maxBufferedBytes {
		return
	}
	most := g
	for x := range g.limiter.admissions {
		if x.bufferedBytes > most.bufferedBytes {
			most = x
		}
	}
	most.client.Evict()
}

// SetDisconnectShare has a share of the clients, from 0 to 1 (all), leave as soon as they are between requests: the program is ending. All at
// once they would meet the other poolers together.
func (d *Limiter) SetDisconnectShare(share float64) { d.disconnectShare = share }

// ShouldDisconnect tells whether a guest is to leave now. One that has asked nothing yet is about to: it is among the last.
func (g *Admission) ShouldDisconnect() bool {
	return g.limiter.disconnectShare >= 1 || g.state != Connecting && g.drainPosition < g.limiter.disconnectShare
}

// Release tells that a guest's connection is closed.
func (g *Admission) Release() {
	if g.limiter.admissions[g] {
		delete(g.limiter.admissions, g)
		g.limiter.bufferedBytes -= g.bufferedBytes
	}
}
