// Package traffic counts what a pooler sends to the other poolers of its fleet and receives from them, at its sockets: bytes of
// payload and messages, both ways, by kind of message. It decides nothing and runs no goroutine; any goroutine may call it.
package traffic

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxKinds bounds the kinds that are counted separately: some come from other processes.
const maxKinds = 128

// Other is the kind of all that is not counted separately.
const Other = "other"

// Count is what was sent and received of one kind, since the start.
type Count struct {
	Kind        string `json:"kind"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// Counter counts by kind. It is safe for use by several goroutines. The zero Counter is ready for use, and a nil one counts nothing.
type Counter struct {
	mu    sync.RWMutex // guards kinds, not the counts in it
	kinds map[string]*counts
}

// counts are the numbers of one kind.
type counts struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	messagesIn  atomic.Uint64
	messagesOut atomic.Uint64
}

// AddReceived counts received messages and bytes of a kind. A later part of a message that came in several has messages 0.
func (c *Counter) AddReceived(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesIn.Add(uint64(bytes))
	k.messagesIn.Add(uint64(messages))
}

// AddSent counts sent messages and bytes, as AddReceived.
func (c *Counter) AddSent(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesOut.Add(uint64(bytes))
	k.messagesOut.Add(uint64(messages))
}

// countsFor is the counts of a kind, or those of Other where there are too many kinds.
func (c *Counter) countsFor(kind string) *counts {
	c.mu.RLock()
	k := c.kinds[kind]
	c.mu.RUnlock()
	if k != nil {
		return k
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.kinds) >= maxKinds && c.kinds[kind] == nil {
		kind = Other
	}
	if k = c.kinds[kind]; k == nil {
		if c.kinds == nil {
			c.kinds = map[string]*counts{}
		}
		k = &counts{}
		c.kinds[kind] = k
	}
	return k
}

// Snapshot returns the counts of all kinds, by name.
func (c *Counter) Snapshot() []Count {
	if c == nil {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	snapshot := make([]Count, 0, len(c.kinds))
	for kind, k := range c.kinds {
		snapshot = append(snapshot, Count{
			Kind:        kind,
			BytesIn:     k.bytesIn.Load(),
			BytesOut:    k.bytesOut.Load(),
			MessagesIn:  k.messagesIn.Load(),
			MessagesOut: k.messagesOut.Load(),
		})
	}
	slices.SortFunc(snapshot, func(a, b Count) int { return strings.Compare(a.Kind, b.Kind) })
	return snapshot
}

// Conn returns a connection that counts what it reads and writes as of one kind, each read and write as a message.
func (c *Counter) Conn(conn net.Conn, kind string) net.Conn { return &countingConn{conn, c, kind} }

// countingConn is a connection that counts for Conn.
type countingConn struct {
	net.Conn
	counter *Counter
	kind    string
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.counter.AddReceived(c.kind, 1, n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.counter.AddSent(c.kind, 1, n)
	}
	return n, err
}
