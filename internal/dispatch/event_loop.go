package dispatch

import (
	"container/heap"
	"sync"
	"time"
)

// EventLoop is the one goroutine that a core and its fronts and backends run on. Its clock is the wall time at the
// start plus the monotonic time since: it never steps, and positions on sockets, Unix times, compare with it.
type EventLoop struct {
	start      time.Time
	base       time.Duration
	mu         sync.Mutex
	queue      []func()
	wake       chan struct{}
	timers     timerHeap
	seq        uint64
	endOfRound func() // carries out what a round of events has led to
	stopped    bool
}

// NewEventLoop returns a loop whose clock runs.
func NewEventLoop() *EventLoop {
	now := time.Now()
	return &EventLoop{start: now, base: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1), endOfRound: func() {}}
}

// Now is the time since the Unix epoch. It may be called from any goroutine.
func (l *EventLoop) Now() time.Duration { return l.base + time.Since(l.start) }

// Post hands an event to the loop from any goroutine.
func (l *EventLoop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Timer is one call in the future.
type Timer struct {
	at       time.Duration
	seq      uint64
	callback func()
	stopped  bool
}

// Stop keeps a timer from firing; stopping nil or a fired timer does nothing.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped, t.callback = true, nil
	}
}

// At calls f on the loop at a time. It must be called on the loop, or before Run.
func (l *EventLoop) At(at time.Duration, f func()) *Timer {
	l.seq++
	t := &Timer{at: at, seq: l.seq, callback: f}
	heap.Push(&l.timers, t)
	return t
}

// After is At, counted from now.
func (l *EventLoop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop ends Run after the round under way.
func (l *EventLoop) Stop() { l.Post(func() { l.stopped = true }) }

// Run gathers what is ready, lets it be taken in, and then has what came of it carried out, until Stop.
func (l *EventLoop) Run() {
	sleep := time.NewTimer(time.Hour)
	defer sleep.Stop()
	var batch []func()
	for !l.stopped {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		for i, f := range batch {
			f()
			batch[i] = nil
		}
		now := l.Now()
		for len(l.timers) > 0 && (l.timers[0].stopped || l.timers[0].at <= now) {
			if t := heap.Pop(&l.timers).(*Timer); !t.stopped {
				t.stopped = true
				t.callback()
			}
		}
		l.endOfRound()
		l.mu.Lock()
		ready := len(l.queue) > 0
		l.mu.Unlock()
		if ready || l.stopped {
			continue
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].at - l.Now()
		}
		sleep.Reset(wait)
		select {
		case <-l.wake:
		case <-sleep.C:
		}
	}
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(*Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
