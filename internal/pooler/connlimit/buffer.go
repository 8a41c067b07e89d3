package connlimit

import "time"

const (
	// minStallTime is the time without input after which a client with an incomplete message is evicted while the clients'
	// messages exceed the limit. Ordinary clients that are in the middle of a message send more sooner.
	minStallTime = 50 * time.Millisecond

	// hardLimitFactor is the multiple of the limit above which such clients are evicted without a minimum time.
	hardLimitFactor = 2
)

// bufferLimit limits the bytes buffered for the incomplete messages of all clients.
//
// Above the limit, clients that have stopped in the middle of a message are evicted, and those that are sending one are throttled
// until there is room. A client with a request in flight is never evicted: its request may have been executed, and is owed an
// answer. One client at a time may read on above the limit, the one whose message began first, so that throttled clients cannot
// all wait for each other.
type bufferLimit struct {
	maxBytes  int
	bytes     int
	throttled int        // number of throttled clients
	exempt    *Admission // the client that reads although the limit is exceeded; nil: none
}

// exceeded reports whether the clients' messages exceed the limit.
func (b *bufferLimit) exceeded() bool { return b.bytes > b.maxBytes }

// stallTime returns the time without input after which a client is evicted.
func (b *bufferLimit) stallTime() time.Duration {
	if b.bytes > hardLimitFactor*b.maxBytes {
		return 0
	}
	return minStallTime
}

// forget removes a released client.
func (b *bufferLimit) forget(a *Admission) {
	if a.throttled {
		b.throttled--
	}
	if b.exempt == a {
		b.exempt = nil
	}
}

// limitBuffers enforces the limit of buffered bytes. sender is the client whose state has changed, or nil.
func (l *Limiter) limitBuffers(sender *Admission) {
	if !l.buffer.exceeded() && l.buffer.throttled == 0 {
		return
	}
	for l.buffer.exceeded() && l.evictStalled() {
		continue
	}
	if !l.buffer.exceeded() {
		l.resumeAll()
		return
	}
	if sender != nil && l.admissions[sender] {
		l.throttleSender(sender)
	}
	l.chooseExempt()
}

// throttleSender throttles a client that is in the middle of a message above the limit, and resumes one whose message is complete.
func (l *Limiter) throttleSender(sender *Admission) {
	switch {
	case sender.bufferedBytes > 0 && sender != l.buffer.exempt:
		l.setThrottled(sender, true)
	case sender.bufferedBytes == 0 && sender.throttled:
		l.setThrottled(sender, false)
	}
}

// evictStalled evicts the client that has stopped in the middle of a message for longest and reports whether there was one. It
// skips clients with a request in flight.
func (l *Limiter) evictStalled() bool {
	latest := l.loop.Now() - l.buffer.stallTime()
	return l.evictEarliest(func(a *Admission) (since time.Duration, evictable bool) {
		return a.bufferedSince, a.state != Active && a.bufferedBytes > 0 && a.bufferedSince <= latest
	})
}

// resumeAll resumes reading from all throttled clients.
func (l *Limiter) resumeAll() {
	l.buffer.exempt = nil
	for a := range l.admissions {
		if a.throttled {
			l.setThrottled(a, false)
		}
	}
}

// setThrottled stops or resumes reading from a client. It repeats the call for a client that is throttled already, as its
// connection may not have been able to stop reading.
func (l *Limiter) setThrottled(a *Admission, throttled bool) {
	switch {
	case throttled && !a.throttled:
		l.buffer.throttled++
	case !throttled && a.throttled:
		l.buffer.throttled--
	}
	a.throttled = throttled
	a.client.Throttle(throttled)
}

// chooseExempt keeps the client that may read above the limit for as long as it has unread input of an incomplete message. Otherwise
// it chooses the throttled client with unread input whose message began first.
func (l *Limiter) chooseExempt() {
	if e := l.buffer.exempt; e != nil && e.bufferedBytes > 0 && !e.client.Quiet() {
		return
	}
	l.buffer.exempt = nil
	for a := range l.admissions {
		if !a.throttled || l.buffer.exempt != nil && a.stateSince >= l.buffer.exempt.stateSince || a.client.Quiet() {
			continue
		}
		l.buffer.exempt = a
	}
	if l.buffer.exempt != nil {
		l.setThrottled(l.buffer.exempt, false)
	}
}
