package dispatch

import "time"

// Timer is a scheduled call on an EventLoop. It must be used on the loop's goroutine only.
type Timer struct {
	at       time.Duration
	sequence uint64
	callback func()
	stopped  bool // stopped or fired
}

// Stop prevents the timer from firing. It does nothing on a nil Timer or one that has fired.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
		t.callback = nil // releases the memory that the callback refers to
	}
}

// timerHeap orders timers by time, and timers with equal times by the order in which they were set. It implements
// heap.Interface.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(*Timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
