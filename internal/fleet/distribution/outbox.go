package distribution

import (
	"bufio"
	"io"
	"net"
	"sync"
)

// The bounds of what may wait for a reader. Beyond them it is cut off: what the feeds hold it gets by version when it comes again.
const (
	mostQueued = 512 // frames, in their order
	mostCasts  = 1024
	// mostBytes of queued frames and casts: a whole list of servers among them.
	mostBytes = 4 << 20
	// mostLinked is the same between two distributors, where one stands for hundreds of poolers.
	mostLinked = 32 << 20
)

// outbox is what waits for a stream's writer: frames in order, and the newest cast of each topic and speaker. It is safe for use by several goroutines.
type outbox struct {
	wake chan struct{}
	most int // bytes

	mu     sync.Mutex
	queue  [][]byte
	casts  map[string][]byte
	order  []string // of casts
	bytes  int
	closed bool
	over   func() // called once, when a bound is passed; it must not wait
}

func newOutbox(most int, over func()) *outbox {
	return &outbox{wake: make(chan struct{}, 1), most: most, casts: map[string][]byte{}, over: over}
}

// put queues a frame; ok false: the reader is cut off.
func (o *outbox) put(frame []byte) (ok bool) {
	return o.add(func() {
		o.queue = append(o.queue, frame)
		o.bytes += len(frame)
	})
}

// cast puts a frame in the place of one with the same key that still waits.
func (o *outbox) cast(key string, frame []byte) (ok bool) {
	return o.add(func() {
		if old, waits := o.casts[key]; waits {
			o.bytes -= len(old)
		} else {
			o.order = append(o.order, key)
		}
		o.casts[key] = frame
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
	o.closed = o.bytes > o.most || len(o.queue) > mostQueued && o.most < mostLinked || len(o.casts) > mostCasts && o.most < mostLinked
	over := o.closed
	o.mu.Unlock()
	if over {
		o.over()
		return false
	}
	o.nudge()
	return true
}

// nudge has the writer look for what is new.
func (o *outbox) nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take is all that waits, the queue first.
func (o *outbox) take() [][]byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.queue
	for _, key := range o.order {
		out = append(out, o.casts[key])
	}
	o.queue, o.order, o.bytes = nil, nil, 0
	clear(o.casts)
	return out
}

// frames writes sealed frames to a connection, and counts them. It is not safe for use by several goroutines.
type frames struct {
	*bufio.Writer
	count Counter
}

func newFrames(w io.Writer, count Counter) frames {
	return frames{bufio.NewWriterSize(w, 4<<10), count}
}

// send writes frames in their order. An empty one, which no peer sends, tells that the connection has ended.
func (f frames) send(all ...[]byte) error {
	for _, frame := range all {
		if len(frame) == 0 {
			return net.ErrClosed
		}
		f.count.Out(kindOf(frame).String(), len(frame))
		if _, err := f.Write(frame); err != nil {
			return err
		}
	}
	return nil
}
