package connlimit

import "time"

const (
	// shedDelay is how long a client waits for memory before its message is discarded, and how long a client that holds memory may
	// send nothing while others wait for it. An ordinary client completes a message sooner; a longer wait would make answers late.
	shedDelay = 100 * time.Millisecond

	// writeTimeout is the time after which a client is evicted that accepts none of the bytes written to it, and writeTimeoutInNeed
	// the same while the memory for answers is used up. Clients that read slowly stop for seconds.
	writeTimeout       = 10 * time.Second
	writeTimeoutInNeed = 3 * time.Second
)

// shedInput discards messages while the memory for requests is used up: those that have waited for memory for too long, and then, as
// long as others wait, those whose clients have stopped within them. Their clients stay connected and are answered with a rejection,
// which needs no memory.
func (l *Limiter) shedInput() {
	for a := range l.admissions {
		if a.memory.WaitsFor() >= shedDelay {
			l.shed(a)
		}
	}
	for l.memory.Waiting() > 0 && l.shedStalled() {
		continue
	}
}

// shedStalled discards the message that has had no input for longest, and reports whether there was one. It spares clients with a
// request in flight, as they may wait for its answer before they send the rest.
func (l *Limiter) shedStalled() bool {
	latest := l.loop.Now() - shedDelay
	var stalled *Admission
	for a := range l.admissions {
		candidate := a.usage.Discardable && a.usage.State != Active && a.memory.Held() > 0 && a.inputAt <= latest
		if candidate && (stalled == nil || a.inputAt < stalled.inputAt) {
			stalled = a
		}
	}
	if stalled == nil {
		return false
	}
	l.shed(stalled)
	return true
}

func (l *Limiter) shed(a *Admission) {
	a.inputAt = l.loop.Now()
	l.counters.Shed++
	a.memory.CancelWait()
	a.client.Shed()
}

// evictStalledReaders evicts clients that do not read their answers.
func (l *Limiter) evictStalledReaders() {
	timeout := writeTimeout
	if l.answers.Waiting() > 0 {
		timeout = writeTimeoutInNeed
	}
	for a := range l.admissions {
		if a.client.StalledFor() >= timeout {
			l.counters.EvictedStalled++
			a.client.Evict()
		}
	}
}
