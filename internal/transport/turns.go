package transport

import (
	"container/heap"
	"time"
)

const (
	// turnSlice is the time for which connections take turns before the loop handles its other events and its timers.
	turnSlice = 250 * time.Microsecond
	// minTurnCost is the least time that a turn is charged for.
	minTurnCost = 5 * time.Microsecond
	// idleCreditDivisor is the idle time for which a connection is forgiven one unit of the time that it has used. Without it a turn
	// that the host has held up would cost the connection many of its turns.
	idleCreditDivisor = 8
)

// turnQueue gives turns to the connections of a listener by start-time fair queueing: the connection goes next that has used the
// least time since it became busy. One that uses little gets its turn at once, however many others have input waiting.
type turnQueue struct {
	loop     Loop
	waiting  turnHeap
	virtual  time.Duration // virtual time: the start of the turn in progress
	sequence uint64        // of the last connection that began to wait
	posted   bool          // run is posted
	current  *Conn         // the connection whose turn it is; nil: none
}

// turnState is a connection's place in the queue.
type turnState struct {
	queued    bool          // it waits, or is to wait once its turn in progress has ended
	start     time.Duration // virtual time at which the turn is due
	finish    time.Duration // virtual time at which the last turn has ended
	idleSince time.Duration // loop time at which the last turn has ended
	sequence  uint64
}

// add queues a connection for a turn, unless it waits for one already.
func (q *turnQueue) add(c *Conn) {
	if c.turn.queued {
		return
	}
	c.turn.queued = true
	if c != q.current {
		c.turn.finish -= (q.loop.Now() - c.turn.idleSince) / idleCreditDivisor
		q.push(c)
	}
}

func (q *turnQueue) push(c *Conn) {
	q.sequence++
	c.turn.sequence = q.sequence
	c.turn.start = max(c.turn.finish, q.virtual)
	heap.Push(&q.waiting, c)
	q.post()
}

func (q *turnQueue) post() {
	if !q.posted {
		q.posted = true
		q.loop.Post(q.run)
	}
}

// run gives turns for turnSlice, and posts itself again if connections wait on.
func (q *turnQueue) run() {
	q.posted = false
	began := q.loop.Now()
	for now := began; len(q.waiting) > 0 && now < began+turnSlice; {
		c := heap.Pop(&q.waiting).(*Conn)
		q.virtual = c.turn.start
		q.current = c
		c.turn.queued = false
		c.takeTurn()
		ended := q.loop.Now()
		c.turn.finish = c.turn.start + max(ended-now, minTurnCost)
		c.turn.idleSince = ended
		if c.turn.queued {
			q.push(c)
		}
		now = ended
	}
	q.current = nil
	if len(q.waiting) > 0 {
		q.post()
	}
}

// turnHeap is a min-heap of waiting connections by the start of their turns. It implements heap.Interface.
type turnHeap []*Conn

// Len returns the number of connections.
func (h turnHeap) Len() int { return len(h) }

// Less orders connections by the start of their turns, then by the order in which they began to wait.
func (h turnHeap) Less(i, j int) bool {
	a, b := h[i].turn, h[j].turn
	return a.start < b.start || a.start == b.start && a.sequence < b.sequence
}

// Swap swaps two connections.
func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a connection.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(*Conn)) }

// Pop removes the last connection.
func (h *turnHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
