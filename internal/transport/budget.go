package transport

import "sync/atomic"

// Budget is a limit on the number of file descriptors that connections hold at the same time. It may be used from any goroutine.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a Budget that allows limit descriptors, none of which is in use.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Limit returns the maximum number of descriptors in use.
func (b *Budget) Limit() int { return int(b.limit) }

// Used returns the number of descriptors in use.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Full reports whether all descriptors are in use, so that a dial would fail with ErrNoDescriptor.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit }

// take reserves a descriptor and reports whether one was free.
func (b *Budget) take() bool {
	if b.used.Add(1) > b.limit {
		b.used.Add(-1)
		return false
	}
	return true
}

// release returns a descriptor that take has reserved.
func (b *Budget) release() { b.used.Add(-1) }
