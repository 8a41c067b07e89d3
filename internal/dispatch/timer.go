package dispatch

import (
	"container/heap"
	"time"
)

// Timer is a scheduled call on an EventLoop. It must be used on the loop's goroutine only.
type Timer struct {
	loop     *EventLoop
	at       time.Duration
	sequence uint64
	callback func()
	place    int // in the loop's heap; notScheduled: it has been stopped, or has fired
}

// notScheduled is the place of a timer that is not in the heap.
const notScheduled = -1

// Stop prevents the timer from firing, and releases the memory that it takes. It does nothing on a nil Timer or one that has fired.
func (t *Timer) Stop() {
	if t != nil && t.place != notScheduled {
		heap.Remove(&t.loop.timers, t.place)
		t.callback = nil
	}
}

// timerHeap orders timers by time, and timers with equal times by the order in which they were set. It implements
// heap.Interface.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.place = len(*h)
	*h = append(*h, timer)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.place = notScheduled
	return last
}
