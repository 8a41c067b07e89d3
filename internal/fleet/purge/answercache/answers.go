// Package answers keeps answers to reads, bounded in bytes, on maypok86/otter. It decides only what is let go when room runs
// short (by how often and how lately it was asked for); whether an answer may be kept or given is its caller's affair, who owes
// each answer the time at which it was asked for.
package answercache

import (
	"github.com/maypok86/otter/v2"
)

// Key is what an answer answers.
type Key struct {
	Cluster, Class int
	Statement      string // without what differs from request to request
}

type entry struct {
	answer      any
	requestedAt int64
	size        int
}

// entryOverhead is about what the library and this package hold beside an answer's and its key's own bytes.
const entryOverhead = 256

// maxEntryShare of all bytes that one answer may take at most: a few large ones must not drive out all others.
const maxEntryShare = 16

// Cache is safe for use by several goroutines.
type Cache struct {
	maxBytes uint64
	entries  *otter.Cache[Key, entry]
}

// New is a cache of at most so many bytes.
func New(most uint64) *Cache {
	return &Cache{maxBytes: most, entries: otter.Must(&otter.Options[Key, entry]{MaximumWeight: most, Executor: func(f func()) { f() }, // the bound holds at once
		Weigher: func(k Key, e entry) uint32 { return uint32(len(k.Statement) + e.size + entryOverhead) }})}
}

// Get finds an answer that was asked for at since or later. An older one is let go.
func (c *Cache) Get(k Key, since int64) (answer any, ok bool) {
	e, ok := c.entries.GetIfPresent(k)
	if ok && e.requestedAt < since {
		c.entries.Invalidate(k)
		return nil, false
	}
	return e.answer, ok
}

// Put keeps an answer of size bytes that was asked for at a time, unless it is too large or the one there was asked for later.
func (c *Cache) Put(k Key, answer any, size int, asked int64) {
	if uint64(len(k.Statement)+size+entryOverhead) > c.maxBytes/maxEntryShare {
		return
	}
	c.entries.Compute(k, func(old entry, found bool) (entry, otter.ComputeOp) {
		if found && old.requestedAt >= asked {
			return old, otter.CancelOp
		}
		return entry{answer, asked, size}, otter.WriteOp
	})
}

// Drop lets the answers of a cluster go, or all where all is true.
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

// Bytes is how much it holds.
func (c *Cache) Bytes() uint64 { return c.entries.WeightedSize() }
