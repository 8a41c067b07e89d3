// Package traffic counts the messages and payload bytes that a pooler exchanges with the other poolers of its fleet over its sockets, by
// direction and kind of message. It only counts: it starts no goroutines and makes no decisions. Its functions are safe for concurrent use.
package traffic

import (
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxKinds is the maximum number of kinds that are counted separately. It bounds memory use, as the names of some kinds come from other
// processes.
const maxKinds = 128

// Other is the kind under which all further kinds are counted together once there are maxKinds.
const Other = "other"

// Count holds the totals of one kind of message since the counter was created.
type Count struct {
	Kind        string `json:"kind"`
	BytesIn     uint64 `json:"bytes_in"`
	BytesOut    uint64 `json:"bytes_out"`
	MessagesIn  uint64 `json:"messages_in"`
	MessagesOut uint64 `json:"messages_out"`
}

// Counter counts messages and bytes by kind. It is safe for concurrent use. The zero Counter is ready to use, and a nil Counter counts
// nothing.
type Counter struct {
	mu    sync.RWMutex // guards the map kinds; the counts in it are atomic
	kinds map[string]*counts
}

// counts holds the totals of one kind.
type counts struct {
	bytesIn     atomic.Uint64
	bytesOut    atomic.Uint64
	messagesIn  atomic.Uint64
	messagesOut atomic.Uint64
}

// AddReceived adds received messages and bytes to the totals of a kind. For a message that arrives in several parts, messages must be 0 for
// all parts but the first.
func (c *Counter) AddReceived(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesIn.Add(uint64(bytes))
	k.messagesIn.Add(uint64(messages))
}

// AddSent adds sent messages and bytes to the totals of a kind, in the same way as AddReceived.
func (c *Counter) AddSent(kind string, messages, bytes int) {
	if c == nil {
		return
	}
	k := c.countsFor(kind)
	k.bytesOut.Add(uint64(bytes))
	k.messagesOut.Add(uint64(messages))
}

// countsFor returns the counts of a kind. A new kind is counted as Other if there are already maxKinds.
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

// Snapshot returns the current totals of all kinds, sorted by kind. It returns nil for a nil Counter.
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

// Conn wraps a connection so that its traffic is counted under one kind. Each Read and each Write that transfers data counts as a message.
func (c *Counter) Conn(conn net.Conn, kind string) net.Conn { return &countingConn{conn, c, kind} }

// countingConn is the net.Conn returned by Conn.
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
