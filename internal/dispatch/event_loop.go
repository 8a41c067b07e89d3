package dispatch

import (
	"container/heap"
	"sync"
	"time"
)

// idleWait is how long the loop sleeps at the most.
const idleWait = time.Hour

// EventLoop is the one goroutine that a Dispatcher, its frontends and its backend run on. It works in rounds: all events that
// are ready, then the timers that are due, then what these have led to. Its clock is the wall time at the start plus the
// monotonic time since: it never steps, and compares with positions on sockets, which are Unix times.
type EventLoop struct {
	start      time.Time
	startUnix  time.Duration
	wake       chan struct{}
	timers     timerHeap
	sequence   uint64 // of the latest timer
	endOfRound func() // carries out what a round of events has led to
	stopped    bool

	mu    sync.Mutex // guards queue
	queue []func()
}

// NewEventLoop returns a loop whose clock runs.
func NewEventLoop() *EventLoop {
	now := time.Now()
	return &EventLoop{start: now, startUnix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1), endOfRound: func() {}}
}

// Now returns the time since the Unix epoch. It may be called from any goroutine.
func (l *EventLoop) Now() time.Duration { return l.startUnix + time.Since(l.start) }

// Post hands an event to the loop. It may be called from any goroutine.
func (l *EventLoop) Post(event func()) {
	l.mu.Lock()
	l.queue = append(l.queue, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// At calls f on the loop at a Unix time. It must be called on the loop, or before Run.
func (l *EventLoop) At(at time.Duration, f func()) *Timer {
	l.sequence++
	timer := &Timer{at: at, sequence: l.sequence, callback: f}
	heap.Push(&l.timers, timer)
	return timer
}

// After calls f on the loop after a time. It must be called on the loop, or before Run.
func (l *EventLoop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop ends Run after the round under way. It may be called from any goroutine.
func (l *EventLoop) Stop() { l.Post(func() { l.stopped = true }) }

// Run runs rounds on the calling goroutine until Stop.
func (l *EventLoop) Run() {
	sleep := time.NewTimer(idleWait)
	defer sleep.Stop()
	var events []func()
	for !l.stopped {
		events = l.takeEvents(events)
		for i, event := range events {
			event()
			events[i] = nil
		}
		l.fireTimers()
		l.endOfRound()
		if !l.stopped && !l.hasEvents() {
			l.wait(sleep)
		}
	}
}

// takeEvents returns what is queued, and leaves the space of the events before for the next ones.
func (l *EventLoop) takeEvents(before []func()) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.queue
	l.queue = before[:0]
	return events
}

func (l *EventLoop) hasEvents() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}

// fireTimers calls all timers that are due now.
func (l *EventLoop) fireTimers() {
	now := l.Now()
	for len(l.timers) > 0 && (l.timers[0].stopped || l.timers[0].at <= now) {
		timer := heap.Pop(&l.timers).(*Timer)
		if timer.stopped {
			continue
		}
		timer.stopped = true
		timer.callback()
	}
}

// wait sleeps until an event comes or a timer is due.
func (l *EventLoop) wait(sleep *time.Timer) {
	wait := idleWait
	if len(l.timers) > 0 {
		wait = l.timers[0].at - l.Now()
	}
	sleep.Reset(wait)
	select {
	case <-l.wake:
	case <-sleep.C:
	}
}
