// Package transport owns the pooler's TCP sockets: listeners, dials, connections, idle connections kept for reuse, and the
// budget of descriptors. It moves bytes, keeps their order, and decides when a peer has to wait for the pooler or is cut off.
//
// Each connection belongs to one event loop (Loop). All its callbacks run on the goroutine of that loop, and all its methods
// must be called there; the same holds for Pool, Dial and its cancel function. Budget may be used from any goroutine.
//
// A connection is read and written by netpoll, whose poller reads whatever comes. Once a peer sends faster than the loop takes
// in, or the connection is paused, it is handed over to Go's own poller, where it is read by a goroutine of its own (direct),
// and its peer can be made to wait.
//
// The package knows no protocol, never resends anything, and does not decide which connection serves which request.
package transport

import (
	"errors"
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrNoDescriptor is the error of a dial for which no descriptor is free.
var ErrNoDescriptor = errors.New("transport: no descriptor is free")

// ErrOverrun is the error of a connection whose peer does not read what it is sent.
var ErrOverrun = errors.New("transport: the peer leaves too much unread")

// ErrFlood is the error of a connection whose peer sends faster than the loop takes in, where it cannot be made to wait.
var ErrFlood = errors.New("transport: the peer sends too much at once")

const (
	maxUnsent        = 1 << 20          // bytes queued for one peer, above which it counts as stuck
	pauseThreshold   = 128 << 10        // bytes of one peer on their way to the loop, above which it has to wait
	maxUndelivered   = 512 << 10        // and the bound on them where the peer cannot be made to wait
	kernelBufferSize = 64 << 10         // of each connection, for what has not been read: values are no larger
	writeTimeout     = 10 * time.Second // a peer that takes no byte for this long is stuck; slow ones pause for seconds
	lingerTimeout    = 500 * time.Millisecond
	maxLingerBytes   = 1 << 20 // bytes that a peer may still send to a connection that is closing, before it is reset
)

func init() {
	// netpoll logs every unusual disconnect of a peer. Here they are counted as outcomes, and the pooler's log is bounded.
	// The configuration must precede the start of its pollers. One poller is enough for one core.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard}); err != nil {
		panic(err)
	}
}

// Loop is an event loop: one goroutine on which all callbacks of its connections run. Both methods may be called from any
// goroutine.
type Loop interface {
	// Post has f run on the loop, after all functions that were posted before.
	Post(f func())
	// Now is the time of the loop's clock.
	Now() time.Duration
}

// Handler receives the events of a connection, on its loop.
type Handler interface {
	// Data receives bytes and the time at which they were read. The handler may use them until it returns.
	Data(at time.Duration, b []byte)
	// Closed reports the end of the connection, once, after the last Data. It is not called after a Close, Finish or Reset
	// by the owner.
	Closed(err error)
}
