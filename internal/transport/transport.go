// Package transport owns the pooler's TCP sockets: listeners, dials, connections, idle connections kept for reuse, and the
// budget of descriptors. It transfers bytes in order, and decides when a peer is throttled or disconnected.
//
// Each connection belongs to one event loop (Loop). All its callbacks run on the goroutine of that loop, and all its methods
// must be called on it. The same applies to Pool, Dial and the cancel function that Dial returns. A Budget may be used from any
// goroutine.
//
// A connection starts on netpoll (polledSocket), whose poller reads all input without flow control. Once a peer sends faster
// than the loop handles the bytes, or the connection is paused, it is handed over to Go's network poller (directSocket). There
// a goroutine reads the connection and can stop reading, so that TCP flow control throttles the peer.
//
// The package does not depend on the protocol, never sends bytes again, and does not decide which connection serves which
// request.
package transport

import (
	"errors"
	"io"
	"time"

	"github.com/cloudwego/netpoll"
)

// ErrNoDescriptor is the error of a dial when the budget has no free descriptor.
var ErrNoDescriptor = errors.New("transport: no descriptor is free")

// ErrOverrun is the error of a connection whose queue of unsent bytes has grown too long, as the peer does not read them.
var ErrOverrun = errors.New("transport: the peer leaves too much unread")

// ErrFlood is the error of a connection whose peer sends faster than the loop handles the bytes and cannot be throttled.
var ErrFlood = errors.New("transport: the peer sends too much at once")

const (
	maxUnsent        = 1 << 20                // bytes queued for a peer, above which the connection fails
	pauseThreshold   = 128 << 10              // undelivered bytes of a peer, above which it is throttled
	maxUndelivered   = 512 << 10              // undelivered bytes of an unthrottled peer, above which the connection fails
	kernelBufferSize = 64 << 10               // bytes of a connection's kernel buffer for unread data; values are no larger
	writeTimeout     = 10 * time.Second       // timeout of a write, as the peer is stuck by then; slow peers stop reading for seconds
	lingerTimeout    = 500 * time.Millisecond // time that a closing connection waits for the peer's close before it is reset
	maxLingerBytes   = 1 << 20                // bytes that a closing connection discards before it is reset
)

func init() {
	// netpoll's log is discarded: it has a line for every unusual disconnect of a peer, while the pooler counts these as outcomes
	// and bounds its log. netpoll must be configured before its pollers start. One poller is enough for one core.
	if err := netpoll.Configure(netpoll.Config{PollerNum: 1, LoggerOutput: io.Discard}); err != nil {
		panic(err)
	}
}

// Loop is an event loop: a single goroutine on which all callbacks of its connections run. Both methods may be called from any
// goroutine.
type Loop interface {
	// Post queues f to run on the loop, after all functions posted before.
	Post(f func())
	// Now returns the time of the loop's clock.
	Now() time.Duration
}

// Handler receives the events of a connection, on its loop.
type Handler interface {
	// Data receives bytes and the time at which they were read. The handler must not use b after it returns.
	Data(readAt time.Duration, b []byte)
	// Closed reports the end of the connection. It is called once, after the last Data, unless the owner has called Close, Finish
	// or Reset.
	Closed(err error)
}
