package transport

import "sync/atomic"

// Budget bounds the number of descriptors that connections hold at the same time.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit descriptors, all of them free.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Limit is the number of descriptors that may be in use.
func (b *Budget) Limit() int { return int(b.limit) }

// Used is the number of descriptors in use.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Full reports whether a dial would find no free descriptor.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit }

// take reserves a descriptor, if one is free.
func (b *Budget) take() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

func (b *Budget) release() { b.used.Add(-1) }
