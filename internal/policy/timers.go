package policy

import (
	"container/heap"
	"math"
	"slices"
	"time"
)

// maxDeadTimers is the number of timers without effect above which they are not kept until they are
// due.
const maxDeadTimers = 32 << 10

// clock holds the latest time that the host has reported. It never decreases.
type clock struct {
	now       time.Duration
	startedAt time.Duration // one second before the first event, so that rates are never computed over zero time
}

// advanceClock sets the clock to the given time unless that is earlier than the clock.
func (c *clock) advanceClock(now time.Duration) {
	if c.now == 0 {
		c.startedAt = now - time.Second
	}
	if now > c.now {
		c.now = now
	}
}

// timer is a function to be run at a given time.
type timer struct {
	dueAt    time.Duration
	sequence uint64 // order of scheduling; breaks ties between timers with the same due time
	task     *timerTask
}

// timerTask is what a timer does. It is nil once the request that it was for is forgotten, so that the
// timer does not keep the memory of the request.
type timerTask struct{ run func() }

// dead reports whether the timer has no effect any more.
func (t timer) dead() bool { return t.task.run == nil }

// timerHeap is a min-heap of timers by due time. It implements heap.Interface.
type timerHeap []timer

// Len returns the number of timers.
func (h timerHeap) Len() int { return len(h) }

// Less orders timers by due time, then by sequence.
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}

// Swap swaps two timers.
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

// timerQueue holds the pending timers. The host runs a single timer for the whole queue.
type timerQueue struct {
	pending  timerHeap
	dead     int // number of pending timers without effect
	sequence uint64
	armedFor time.Duration // time for which the host's timer is set; 0 if it is not set
}

func (q *timerQueue) add(dueAt time.Duration, run func()) *timerTask {
	q.sequence++
	task := &timerTask{run}
	heap.Push(&q.pending, timer{dueAt, q.sequence, task})
	return task
}

// popDue removes the next timer if it is due.
func (q *timerQueue) popDue(now time.Duration) (due timer, ok bool) {
	if len(q.pending) == 0 || q.pending[0].dueAt > now {
		return timer{}, false
	}
	due = heap.Pop(&q.pending).(timer)
	if due.dead() {
		q.dead--
	}
	return due, true
}

// forget takes their effect from the timers of a request that is forgotten. If there are very many of
// these, and most timers are, it removes them: they would be kept until they are due.
func (q *timerQueue) forget(req *request) {
	for _, task := range req.timers {
		if task.run != nil {
			task.run = nil
			q.dead++
		}
	}
	req.timers = nil
	if q.dead < maxDeadTimers || q.dead <= len(q.pending)/2 {
		return
	}
	q.pending = slices.DeleteFunc(q.pending, timer.dead)
	heap.Init(&q.pending)
	q.dead = 0
}

// needsArming reports whether the host's timer is not set, or is set for a later time than the first
// pending timer.
func (q *timerQueue) needsArming() bool {
	return len(q.pending) > 0 && (q.armedFor == 0 || q.pending[0].dueAt < q.armedFor)
}

// schedule runs a function after the given delay.
func (r *Router) schedule(after time.Duration, run func()) {
	r.timers.add(r.now+after, run)
	r.armTimer()
}

// scheduleFor runs a function after the given delay unless the request is forgotten by then.
func (r *Router) scheduleFor(req *request, after time.Duration, run func()) {
	req.timers = append(req.timers, r.timers.add(r.now+after, run))
	r.armTimer()
}

// armTimer asks the host for a timer for the next due time, rounded up to the host's resolution of one
// microsecond.
func (r *Router) armTimer() {
	if !r.timers.needsArming() {
		return
	}
	r.timers.armedFor = r.timers.pending[0].dueAt
	wait := max(r.timers.armedFor-r.now, 0)
	r.actions.SetTimer(wait.Truncate(time.Microsecond) + time.Microsecond)
}

// HandleTimer runs the timers that are due. The host calls it once for each Actions.SetTimer.
func (r *Router) HandleTimer(now time.Duration) {
	r.advanceClock(now)
	// The host may round times, so that its timer may fire up to a microsecond early.
	if r.timers.armedFor <= r.now+time.Microsecond {
		r.timers.armedFor = 0
	}
	for {
		due, ok := r.timers.popDue(r.now)
		if !ok {
			break
		}
		if run := due.task.run; run != nil {
			due.task.run = nil
			run()
		}
	}
	r.armTimer()
}

// randomSource is a linear congruential generator. It is seeded explicitly, which keeps the decisions
// of a Router reproducible.
type randomSource struct{ state uint64 }

// next returns the next pseudo-random number in [0, 1).
func (s *randomSource) next() float64 {
	s.state = s.state*6364136223846793005 + 1442695040888963407
	return float64(s.state>>40) / (1 << 24)
}

// jitter returns, in a large fleet, a random duration between half of the wait and the whole of it, so
// that the poolers do not act at the same time. In a small fleet it returns the wait unchanged.
func (r *Router) jitter(wait time.Duration) time.Duration {
	if r.fleet.isLarge {
		wait -= time.Duration(r.random.next() * float64(wait/2))
	}
	return wait
}

// stagger returns the fraction of a wait that is assigned to this pooler. Multiples of the golden ratio
// spread poolers that start together evenly over the wait.
func (r *Router) stagger(wait time.Duration) time.Duration {
	return time.Duration(math.Mod(float64(r.settings.PoolerIndex)*(math.Phi-1), 1) * float64(wait))
}
