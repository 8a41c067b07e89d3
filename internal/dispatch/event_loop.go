package dispatch

import (
	"container/heap"
	"sync"
	"time"
)

// maxSleep is the longest time for which the loop sleeps without an event or a timer.
const maxSleep = time.Hour

// EventLoop runs a Dispatcher, its frontends and its backend on one goroutine. It works in rounds: it runs the queued events,
// then the timers that are due, then the actions that these have requested. Its clock is the wall time at the start plus the
// monotonic time elapsed since: it never steps, and is comparable with the positions that servers send, which are Unix times.
type EventLoop struct {
	start      time.Time
	startUnix  time.Duration
	wake       chan struct{}
	timers     timerHeap
	sequence   uint64 // sequence number of the timer set last
	endOfRound func() // executes the actions that a round has requested
	stopped    bool
	longest    time.Duration // length of the longest round since the last call of LongestRound

	mu    sync.Mutex // guards queue
	queue []func()
}

// NewEventLoop returns a loop that is not running yet. Its clock has already started.
func NewEventLoop() *EventLoop {
	now := time.Now()
	return &EventLoop{start: now, startUnix: time.Duration(now.UnixNano()), wake: make(chan struct{}, 1), endOfRound: func() {}}
}

// Now returns the time since the Unix epoch. It may be called from any goroutine.
func (l *EventLoop) Now() time.Duration { return l.startUnix + time.Since(l.start) }

// Post queues an event, which the loop calls in a later round. It does not block and may be called from any goroutine.
func (l *EventLoop) Post(event func()) {
	l.mu.Lock()
	l.queue = append(l.queue, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// At schedules a call of f on the loop at a Unix time. It must be called on the loop, or before Run.
func (l *EventLoop) At(at time.Duration, f func()) *Timer {
	l.sequence++
	timer := &Timer{loop: l, at: at, sequence: l.sequence, callback: f}
	heap.Push(&l.timers, timer)
	return timer
}

// After schedules a call of f on the loop after the duration d. It must be called on the loop, or before Run.
func (l *EventLoop) After(d time.Duration, f func()) *Timer { return l.At(l.Now()+d, f) }

// Stop makes Run return at the end of a round. It does not block and may be called from any goroutine.
func (l *EventLoop) Stop() { l.Post(func() { l.stopped = true }) }

// Run runs the loop on the calling goroutine. It blocks until Stop is called.
func (l *EventLoop) Run() {
	sleep := time.NewTimer(maxSleep)
	defer sleep.Stop()
	var events []func()
	for !l.stopped {
		events = l.takeEvents(events)
		began := l.Now()
		for i, event := range events {
			event()
			events[i] = nil
		}
		l.fireTimers()
		l.endOfRound()
		l.longest = max(l.longest, l.Now()-began)
		if !l.stopped && !l.hasEvents() {
			l.wait(sleep)
		}
	}
}

// LongestRound returns the length of the longest round since the last call, for which other events had to wait. It must be called on
// the loop, or before Run.
func (l *EventLoop) LongestRound() time.Duration {
	longest := l.longest
	l.longest = 0
	return longest
}

// takeEvents returns the queued events, and reuses the slice of the processed ones as the new queue.
func (l *EventLoop) takeEvents(processed []func()) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.queue
	l.queue = processed[:0]
	return events
}

func (l *EventLoop) hasEvents() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) > 0
}

// fireTimers calls the callbacks of all timers that are due.
func (l *EventLoop) fireTimers() {
	now := l.Now()
	for len(l.timers) > 0 && l.timers[0].at <= now {
		timer := heap.Pop(&l.timers).(*Timer)
		timer.callback()
	}
}

// wait blocks until an event is posted or a timer is due.
func (l *EventLoop) wait(sleep *time.Timer) {
	wait := maxSleep
	if len(l.timers) > 0 {
		wait = l.timers[0].at - l.Now()
	}
	sleep.Reset(wait)
	select {
	case <-l.wake:
	case <-sleep.C:
	}
}
