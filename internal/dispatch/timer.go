package dispatch

import "time"

// Timer is one call on an EventLoop in the future. It belongs to the loop's goroutine.
type Timer struct {
	at       time.Duration
	sequence uint64
	callback func()
	stopped  bool // or fired
}

// Stop keeps a timer from firing. Stopping a nil Timer, or one that has fired, does nothing.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
		t.callback = nil // what it refers to may go at once
	}
}

// timerHeap orders timers by their time, and those of one time as they were set. It implements heap.Interface.
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
