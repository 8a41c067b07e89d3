package policy

import (
	"container/heap"
	"math"
	"time"
)

// clock is the latest time that the host has reported. It never goes back.
type clock struct {
	now       time.Duration
	startedAt time.Duration // a second before the first event, so that no rate is taken over an empty span
}

// advanceClock moves the clock forward, or leaves it where it is if the time is earlier.
func (c *clock) advanceClock(now time.Duration) {
	if c.now == 0 {
		c.startedAt = now - time.Second
	}
	if now > c.now {
		c.now = now
	}
}

// timer is a function that is due at a time.
type timer struct {
	dueAt    time.Duration
	sequence uint64 // in the order of scheduling: of two timers due at one time the earlier one runs first
	run      func()
}

// timerHeap is a heap of timers, the next due one first. It implements heap.Interface.
type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by their due time, and those due at one time by their sequence.
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

// Swap exchanges two timers.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a timer.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop removes the last timer.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// timerQueue holds what is to run later. The host keeps one timer for the whole queue.
type timerQueue struct {
	pending  timerHeap
	sequence uint64
	armedFor time.Duration // the time that the host's timer is set for; 0 for none
}

func (q *timerQueue) add(dueAt time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.pending, timer{dueAt, q.sequence, run})
}

// popDue removes the next timer if it is due.
func (q *timerQueue) popDue(now time.Duration) (due timer, ok bool) {
	if len(q.pending) == 0 || q.pending[0].dueAt > now {
		return timer{}, false
	}
	return heap.Pop(&q.pending).(timer), true
}

// needsArming reports whether the host's timer is not set, or is set for later than the next timer
// is due.
func (q *timerQueue) needsArming() bool {
	return len(q.pending) > 0 && (q.armedFor == 0 || q.pending[0].dueAt < q.armedFor)
}

// schedule runs a function after a span.
func (r *Router) schedule(after time.Duration, run func()) {
	r.timers.add(r.now+after, run)
	r.armTimer()
}

// armTimer asks the host for a timer for the next due time, rounded up to its resolution of a
// microsecond.
func (r *Router) armTimer() {
	if !r.timers.needsArming() {
		return
	}
	r.timers.armedFor = r.timers.pending[0].dueAt
	wait := max(r.timers.armedFor-r.now, 0)
	r.actions.SetTimer(wait.Truncate(time.Microsecond) + time.Microsecond)
}

// HandleTimer runs all that is due. The host calls it once for each Actions.SetTimer.
func (r *Router) HandleTimer(now time.Duration) {
	r.advanceClock(now)
	// A host may round: a timer that fires up to a microsecond early has still fired.
	if r.timers.armedFor <= r.now+time.Microsecond {
		r.timers.armedFor = 0
	}
	for {
		due, ok := r.timers.popDue(r.now)
		if !ok {
			break
		}
		due.run()
	}
	r.armTimer()
}

// randomSource is a linear congruential generator: a Router's decisions follow from its seed.
type randomSource struct{ state uint64 }

// next returns the next number in [0, 1).
func (s *randomSource) next() float64 {
	s.state = s.state*6364136223846793005 + 1442695040888963407
	return float64(s.state>>40) / (1 << 24)
}

// jitter returns between half of a wait and all of it in a large fleet, so that its poolers do not
// act together, and the wait itself in a small one.
func (r *Router) jitter(wait time.Duration) time.Duration {
	if r.fleet.isLarge {
		wait -= time.Duration(r.random.next() * float64(wait/2))
	}
	return wait
}

// stagger returns the part of a wait that falls to this pooler: poolers that start together are
// spread evenly over all of it by the multiples of the golden ratio.
func (r *Router) stagger(wait time.Duration) time.Duration {
	return time.Duration(math.Mod(float64(r.settings.PoolerIndex)*(math.Phi-1), 1) * float64(wait))
}
