// Package traffic counts what a pooler says to the others of its fleet and hears from them, at its sockets: payload bytes and
// messages, both ways, by kind of message. It decides nothing.
package traffic

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxKinds bounds the kinds that are kept apart: some come from other processes.
const maxKinds = 128

// Other is the kind of what no longer has one of its own.
const Other = "other"

// Count is what went of one kind, since the start.
type Count struct {
	Kind        string `json:"kind"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// Counter counts by kind. It is safe for use by several goroutines; the zero Counter is ready, and a nil one counts nothing.
type Counter struct {
	mu    sync.RWMutex
	kinds map[string]*counts
}

type counts struct{ bytesIn, bytesOut, messagesIn, messagesOut atomic.Uint64 }

// In counts messages and bytes of a kind that came. A part of a message that came in several has messages 0.
func (c *Counter) In(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesIn.Add(uint64(bytes))
	k.messagesIn.Add(uint64(messages))
}

// Out counts messages and bytes that went, as In.
func (c *Counter) Out(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesOut.Add(uint64(bytes))
	k.messagesOut.Add(uint64(messages))
}

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

// Snapshot is all kinds as they are now, by name.
func (c *Counter) Snapshot() []Count {
	if c == nil {
		return nil
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]Count, 0, len(c.kinds))
	for kind, k := range c.kinds {
		out = append(out, Count{kind, k.bytesIn.Load(), k.bytesOut.Load(), k.messagesIn.Load(), k.messagesOut.Load()})
	}
	slices.SortFunc(out, func(a, b Count) int { return strings.Compare(a.Kind, b.Kind) })
	return out
}

// Conn counts what a connection reads and writes as of one kind, each read and write as a message.
func (c *Counter) Conn(conn net.Conn, kind string) net.Conn { return &countingConn{conn, c, kind} }

type countingConn struct {
	net.Conn
	counter *Counter
	kind    string
}

func (n *countingConn) Read(b []byte) (int, error) {
	got, err := n.Conn.Read(b)
	if got > 0 {
		n.counter.In(n.kind, 1, got)
	}
	return got, err
}

func (n *countingConn) Write(b []byte) (int, error) {
	put, err := n.Conn.Write(b)
	if put > 0 {
		n.counter.Out(n.kind, 1, put)
	}
	return put, err
}
