// Package answercache stores answers to reads in a cache of bounded size, based on github.com/maypok86/otter. When the cache is full, it
// evicts answers by frequency and recency of use. The caller decides whether an answer may be stored or served, and passes with each answer
// the time at which it was requested.
package answercache

import (
	"github.com/maypok86/otter/v2"
)

// Key identifies the request that an answer belongs to.
type Key struct {
	Cluster, Class int
	Statement      string // statement text, with a prefix for whatever else the answer depends on
}

// entry is a stored answer.
type entry struct {
	answer      any
	requestedAt int64 // Unix ns
	size        int   // bytes
}

const (
	// entryOverhead is the approximate memory in bytes that an entry takes in addition to its answer and statement.
	entryOverhead = 256
	// maxEntryShare limits one answer to 1/maxEntryShare of the cache, so that a few large answers don't evict all others.
	maxEntryShare = 16
)

// Cache is a bounded cache of answers. It is safe for concurrent use.
type Cache struct {
	maxBytes uint64
	entries  *otter.Cache[Key, entry]
}

// New returns a cache that holds at most maxBytes.
func New(maxBytes uint64) *Cache {
	return &Cache{maxBytes: maxBytes, entries: otter.Must(&otter.Options[Key, entry]{
		MaximumWeight: maxBytes,
		Weigher:       func(key Key, e entry) uint32 { return uint32(len(key.Statement) + e.size + entryOverhead) },
		Executor:      func(evict func()) { evict() }, // evicts synchronously, so that Bytes never exceeds maxBytes
	})}
}

// Get returns the stored answer if it was requested at since (Unix ns) or later. It removes an answer that was requested earlier.
func (c *Cache) Get(key Key, since int64) (answer any, ok bool) {
	stored, ok := c.entries.GetIfPresent(key)
	if ok && stored.requestedAt < since {
		c.entries.Invalidate(key)
		return nil, false
	}
	return stored.answer, ok
}

// Put stores an answer of size bytes that was requested at requestedAt (Unix ns). It does nothing if the answer is too large, or if the
// stored answer was not requested earlier.
func (c *Cache) Put(key Key, answer any, size int, requestedAt int64) {
	if uint64(len(key.Statement)+size+entryOverhead) > c.maxBytes/maxEntryShare {
		return
	}
	c.entries.Compute(key, func(stored entry, found bool) (entry, otter.ComputeOp) {
		if found && stored.requestedAt >= requestedAt {
			return stored, otter.CancelOp
		}
		return entry{answer: answer, requestedAt: requestedAt, size: size}, otter.WriteOp
	})
}

// Drop removes the answers of a cluster, or all answers if all is set.
func (c *Cache) Drop(cluster int, all bool) {
	if all {
		c.entries.InvalidateAll()
		return
	}
	for key := range c.entries.Keys() {
		if key.Cluster == cluster {
			c.entries.Invalidate(key)
		}
	}
}

// Bytes returns the size of the stored entries, including overhead.
func (c *Cache) Bytes() uint64 { return c.entries.WeightedSize() }
