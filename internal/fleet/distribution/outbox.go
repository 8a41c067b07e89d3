package distribution

import (
	"math"
	"sync"
)

// queueLimits bound what may wait for a reader. A reader is disconnected beyond them: what the resources hold it gets by its versions when
// it calls again.
type queueLimits struct{ bytes, frames, broadcasts int }

// maxQueuedBytes bounds what may wait for a pooler, a whole list of servers among it, in bytes.
const maxQueuedBytes = 4 << 20

var (
	poolerQueueLimits = queueLimits{bytes: maxQueuedBytes, frames: 512, broadcasts: 1024}
	// linkQueueLimits hold for another distributor, which stands for hundreds of poolers.
	linkQueueLimits = queueLimits{bytes: 32 << 20, frames: math.MaxInt, broadcasts: math.MaxInt}
)

// outbox is what waits for a stream's writer: frames in their order, and of the broadcasts the newest of each topic and sender. It is safe
// for use by several goroutines.
type outbox struct {
	limits     queueLimits
	onOverflow func()        // called once, when a limit is passed; it must not wait
	wake       chan struct{} // has a token when the writer has something to look for

	mu             sync.Mutex // guards the fields below
	frames         [][]byte
	broadcasts     map[string][]byte // by key
	broadcastOrder []string          // keys
	bytes          int               // of all frames and broadcasts
	overflowed     bool              // nothing is taken any more
}

func newOutbox(limits queueLimits, onOverflow func()) *outbox {
	return &outbox{limits: limits, onOverflow: onOverflow, wake: make(chan struct{}, 1), broadcasts: map[string][]byte{}}
}

// enqueue queues a frame; ok false: the reader is being disconnected, and the frame is dropped.
func (o *outbox) enqueue(frame []byte) (ok bool) {
	return o.add(func() {
		o.frames = append(o.frames, frame)
		o.bytes += len(frame)
	})
}

// endOfStream queues a frame of no bytes, which no peer sends: the writer ends at it.
func (o *outbox) endOfStream() { o.enqueue(nil) }

// enqueueBroadcast queues a frame in the place of one with the same key that still waits.
func (o *outbox) enqueueBroadcast(key string, frame []byte) {
	o.add(func() {
		replaced, waits := o.broadcasts[key]
		if !waits {
			o.broadcastOrder = append(o.broadcastOrder, key)
		}
		o.broadcasts[key] = frame
		o.bytes += len(frame) - len(replaced)
	})
}

// add changes what waits, and wakes the writer or, beyond a limit, disconnects the reader (ok false).
func (o *outbox) add(change func()) (ok bool) {
	o.mu.Lock()
	if o.overflowed {
		o.mu.Unlock()
		return false
	}
	change()
	o.overflowed = o.bytes > o.limits.bytes || len(o.frames) > o.limits.frames || len(o.broadcasts) > o.limits.broadcasts
	overflowed := o.overflowed
	o.mu.Unlock()
	if overflowed {
		o.onOverflow()
		return false
	}
	o.wakeWriter()
	return true
}

// wakeWriter makes the writer look for what is new, here and in the resources.
func (o *outbox) wakeWriter() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns all that waits, the frames before the broadcasts.
func (o *outbox) drain() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	waiting := o.frames
	for _, key := range o.broadcastOrder {
		waiting = append(waiting, o.broadcasts[key])
	}
	o.frames, o.broadcastOrder = nil, nil
	o.bytes = 0
	clear(o.broadcasts)
	return waiting
}
