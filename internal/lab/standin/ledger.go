package standin

import (
	"sync"
	"time"
)

// Ledger is what servers share: the requests under way at any of them.
type Ledger struct {
	mu      sync.Mutex
	out     map[string]chan struct{}
	overlap int
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{out: map[string]chan struct{}{}} }

// Overlaps counts the attempts that met an earlier one of the same request.
func (l *Ledger) Overlaps() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overlap
}

// begin notes an attempt down. An earlier one whose connection has been closed ends at once, though this machine may
// be slow to notice; one that stays is an overlap.
func (l *Ledger) begin(id string) (end func()) {
	for {
		l.mu.Lock()
		earlier := l.out[id]
		if earlier == nil {
			mine := make(chan struct{})
			l.out[id] = mine
			l.mu.Unlock()
			return func() {
				l.mu.Lock()
				delete(l.out, id)
				l.mu.Unlock()
				close(mine)
			}
		}
		l.mu.Unlock()
		select {
		case <-earlier:
		case <-time.After(time.Second):
			l.mu.Lock()
			l.overlap++
			l.mu.Unlock()
			return func() {}
		}
	}
}
