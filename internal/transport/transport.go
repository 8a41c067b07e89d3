// Package transport owns the pooler's TCP sockets: listeners, dials, idle connections kept for reuse, and the budget of descriptors.
// It transfers bytes in order and decides when a connection may read, so that no peer can take the event loop for itself.
//
// Each connection belongs to one event loop (Loop). All its callbacks run on the goroutine of that loop, and all its methods must be
// called on it. The same applies to Pool, Listener, Dial and the cancel function that Dial returns. A Budget may be used from any
// goroutine.
//
// One goroutine of the process (poller) waits until descriptors are ready and posts that to their loops. It reads and writes nothing:
// the loop reads, a limited number of bytes in each turn of a connection, so that TCP flow control holds a peer back that sends faster
// than its bytes are handled. Accepted connections take turns by fair queueing over the time that each has used (turnQueue).
//
// The package does not depend on the protocol, never sends bytes again, and does not decide which connection serves which request.
package transport

import (
	"errors"
	"time"
)

// ErrNoDescriptor is the error of a dial for which this process or its host has no descriptor, port or buffer left. It says nothing
// about the server.
var ErrNoDescriptor = errors.New("transport: no descriptor is free")

// ErrOverrun is the error of a connection whose queue of unsent bytes has grown too long, as the peer does not read them.
var ErrOverrun = errors.New("transport: the peer leaves too much unread")

const (
	// DefaultReadSize is the number of bytes that a connection reads at most in a turn, unless SetReadSize has changed it.
	DefaultReadSize = 4 << 10
	// MaxReadSize is the largest number of bytes that a connection reads in a turn.
	MaxReadSize = 32 << 10

	maxUnsent        = 8 << 20                // bytes queued for a peer, above which the connection fails; an answer has 4 MiB at most
	kernelBufferSize = 64 << 10               // bytes of a connection's kernel buffer for unread data; values are no larger
	writeTimeout     = 10 * time.Second       // for a peer to accept the next byte; slow peers stop reading for seconds
	writeRetryDelay  = 5 * time.Millisecond   // until the next write after one that has failed for want of memory on this host
	lingerTimeout    = 500 * time.Millisecond // time that a closing connection waits for the peer's close before it is reset
	maxLingerBytes   = 1 << 20                // bytes that a closing connection discards before it is reset
)

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
	// Data receives bytes and the time at which they were read. The handler must not use b after it returns. After a call of
	// Conn.Yield, Data is called without bytes.
	Data(readAt time.Duration, b []byte)
	// Closed reports the end of the connection. It is called once, after the last Data, unless the owner has called Close, Finish
	// or Reset.
	Closed(err error)
}

// WriteObserver is implemented by handlers that wait for a peer which reads slowly.
type WriteObserver interface {
	// Drained reports that the kernel has accepted all bytes that were queued because the peer did not read them.
	Drained()
}
