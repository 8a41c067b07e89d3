// Package answercache keeps answers to reads, bounded in bytes, on maypok86/otter. It decides only which answers are evicted where room
// runs short, by how often and how lately they were requested. Whether an answer may be stored or given is decided by its caller, who owes
// each answer the time at which it was requested.
package answercache

import (
	"github.com/maypok86/otter/v2"
)

// Key is what an answer answers.
type Key struct {
	Cluster, Class int
	Statement      string // and what else tells answers apart
}

// entry is a stored answer.
type entry struct {
	answer      any
	requestedAt int64 // Unix ns
	size        int   // bytes
}

const (
	// entryOverhead is about what the library and this package hold beside the bytes of an answer and its statement.
	entryOverhead = 256
	// maxEntryShare is the share of all bytes, one in so many, that one answer may take: a few large answers must not evict all others.
	maxEntryShare = 16
)

// Cache is a bounded cache of answers. It is safe for concurrent use.
type Cache struct {
	maxBytes uint64
	entries  *otter.Cache[Key, entry]
}

// New returns a cache of maxBytes at most.
func New(maxBytes uint64) *Cache {
	return &Cache{maxBytes: maxBytes, entries: otter.Must(&otter.Options[Key, entry]{
		MaximumWeight: maxBytes,
		Weigher:       func(k Key, e entry) uint32 { return uint32(len(k.Statement) + e.size + entryOverhead) },
		Executor:      func(evict func()) { evict() }, // so that the bound holds at once
	})}
}

// Get returns an answer that was requested at since or later. An older one is dropped.
func (c *Cache) Get(k Key, since int64) (answer any, ok bool) {
	e, ok := c.entries.GetIfPresent(k)
	if ok && e.requestedAt < since {
		c.entries.Invalidate(k)
		return nil, false
	}
	return e.answer, ok
}

// Put stores an answer of size bytes that was requested at a time, unless it is too large or the stored one was requested later.
func (c *Cache) Put(k Key, answer any, size int, requestedAt int64) {
	if uint64(len(k.Statement)+size+entryOverhead) > c.maxBytes/maxEntryShare {
		return
	}
	c.entries.Compute(k, func(stored entry, found bool) (entry, otter.ComputeOp) {
		if found && stored.requestedAt >= requestedAt {
			return stored, otter.CancelOp
		}
		return entry{answer: answer, requestedAt: requestedAt, size: size}, otter.WriteOp
	})
}

// Drop drops the answers of a cluster, or all answers if all is set.
func (c *Cache) Drop(cluster int, all bool) {
	if all {
		c.entries.InvalidateAll()
		return
	}
	for k := range c.entries.Keys() {
		if k.Cluster == cluster {
			c.entries.Invalidate(k)
		}
	}
}

// Bytes returns how much the cache holds.
func (c *Cache) Bytes() uint64 { return c.entries.WeightedSize() }
