package distribution

import (
	"math"
	"sync"
)

// queueLimits are the limits of the frames that are queued for a reader. A reader for which more is queued is disconnected; it receives the
// resources that it missed, by its versions, when it reconnects.
type queueLimits struct{ bytes, frames, broadcasts int }

// maxQueuedBytes is the maximum total length of the frames queued for a pooler, in bytes. A whole list of servers fits into it.
const maxQueuedBytes = 4 << 20

var (
	poolerQueueLimits = queueLimits{bytes: maxQueuedBytes, frames: 512, broadcasts: 1024}
	// linkQueueLimits are the limits for another distributor, which forwards messages to hundreds of poolers.
	linkQueueLimits = queueLimits{bytes: 32 << 20, frames: math.MaxInt, broadcasts: math.MaxInt}
)

// outbox is the queue of a stream's writer: frames in order, and the newest broadcast of each topic and sender. It is safe for concurrent
// use.
type outbox struct {
	limits     queueLimits
	onOverflow func()        // called once, when a limit is exceeded; must not block
	wake       chan struct{} // holds a token if the writer has to check for new data

	mu             sync.Mutex // guards the fields below
	frames         [][]byte
	broadcasts     map[string][]byte // queued frames, by key
	broadcastOrder []string          // keys of broadcasts, in the order of arrival
	bytes          int               // total length of frames and broadcasts
	overflowed     bool              // a limit was exceeded; further frames are dropped
}

func newOutbox(limits queueLimits, onOverflow func()) *outbox {
	return &outbox{limits: limits, onOverflow: onOverflow, wake: make(chan struct{}, 1), broadcasts: map[string][]byte{}}
}

// enqueue queues a frame. ok is false if the reader is being disconnected, in which case the frame is not sent.
func (o *outbox) enqueue(frame []byte) (ok bool) {
	return o.add(func() {
		o.frames = append(o.frames, frame)
		o.bytes += len(frame)
	})
}

// endOfStream queues an empty frame, which stops the writer when it is reached. No peer sends an empty frame.
func (o *outbox) endOfStream() { o.enqueue(nil) }

// enqueueBroadcast queues a frame. It replaces a frame with the same key that is still queued.
func (o *outbox) enqueueBroadcast(key string, frame []byte) {
	o.add(func() {
		replaced, queued := o.broadcasts[key]
		if !queued {
			o.broadcastOrder = append(o.broadcastOrder, key)
		}
		o.broadcasts[key] = frame
		o.bytes += len(frame) - len(replaced)
	})
}

// add applies a change to the queue and wakes the writer. If a limit is exceeded, it calls onOverflow and returns false;
// later changes are dropped.
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

// wakeWriter makes the writer check the outbox and the resources for new data. It does not block.
func (o *outbox) wakeWriter() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// drain removes and returns everything that is queued, the frames before the broadcasts.
func (o *outbox) drain() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.frames
	for _, key := range o.broadcastOrder {
		pending = append(pending, o.broadcasts[key])
	}
	o.frames, o.broadcastOrder = nil, nil
	o.bytes = 0
	clear(o.broadcasts)
	return pending
}
