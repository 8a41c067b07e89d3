package distribution

import (
	"bufio"
	"io"
	"net"
	"sync"
)

// The bounds of what may wait for a reader. Beyond them it is cut off: what the feeds hold it gets by version when it comes again.
const (
	maxQueuedFrames     = 512 // frames, in their order
	maxQueuedBroadcasts = 1024
	// maxQueuedBytes of queued frames and casts: a whole list of servers among them.
	maxQueuedBytes = 4 << 20
	// maxLinkQueuedBytes is the same between two distributors, where one stands for hundreds of poolers.
	maxLinkQueuedBytes = 32 << 20
)

// outbox is what waits for a stream's writer: frames in order, and the newest cast of each topic and speaker. It is safe for use by several goroutines.
type outbox struct {
	wake     chan struct{}
	maxBytes int // bytes

	mu             sync.Mutex
	queue          [][]byte
	broadcasts     map[string][]byte
	broadcastOrder []string // of casts
	bytes          int
	closed         bool
	onOverflow     func() // called once, when a bound is passed; it must not wait
}

func newOutbox(most int, over func()) *outbox {
	return &outbox{wake: make(chan struct{}, 1), maxBytes: most, broadcasts: map[string][]byte{}, onOverflow: over}
}

// enqueue queues a frame; ok false: the reader is cut off.
func (o *outbox) enqueue(frame []byte) (ok bool) {
	return o.add(func() {
		o.queue = append(o.queue, frame)
		o.bytes += len(frame)
	})
}

// enqueueBroadcast puts a frame in the place of one with the same key that still waits.
func (o *outbox) enqueueBroadcast(key string, frame []byte) (ok bool) {
	return o.add(func() {
		if old, waits := o.broadcasts[key]; waits {
			o.bytes -= len(old)
		} else {
			o.broadcastOrder = append(o.broadcastOrder, key)
		}
		o.broadcasts[key] = frame
		o.bytes += len(frame)
	})
}

func (o *outbox) add(in func()) bool {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return false
	}
	in()
	o.closed = o.bytes > o.maxBytes || len(o.queue) > maxQueuedFrames && o.maxBytes < maxLinkQueuedBytes || len(o.broadcasts) > maxQueuedBroadcasts && o.maxBytes < maxLinkQueuedBytes
	over := o.closed
	o.mu.Unlock()
	if over {
		o.onOverflow()
		return false
	}
	o.wakeWriter()
	return true
}

// wakeWriter has the writer look for what is new.
func (o *outbox) wakeWriter() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// drain is all that waits, the queue first.
func (o *outbox) drain() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.queue
	for _, key := range o.broadcastOrder {
		out = append(out, o.broadcasts[key])
	}
	o.queue, o.broadcastOrder, o.bytes = nil, nil, 0
	clear(o.broadcasts)
	return out
}

// frameWriter writes sealed frames to a connection, and counts them. It is not safe for use by several goroutines.
type frameWriter struct {
	*bufio.Writer
	counter Counter
}

func newFrameWriter(w io.Writer, count Counter) frameWriter {
	return frameWriter{bufio.NewWriterSize(w, 4<<10), count}
}

// writeFrames writes frames in their order. An empty one, which no peer sends, tells that the connection has ended.
func (f frameWriter) writeFrames(all ...[]byte) error {
	for _, frame := range all {
		if len(frame) == 0 {
			return net.ErrClosed
		}
		f.counter.Out(frameKind(frame).String(), len(frame))
		if _, err := f.Write(frame); err != nil {
			return err
		}
	}
	return nil
}
