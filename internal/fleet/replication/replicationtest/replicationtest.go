// Package sharedtest is the stewards' register within one process, for tests of parts that share documents: the real documents
// and the real lease table behind one lock, without a log or a network. Poolers' ways to it are cut, or lose the answer to a
// write that was taken; their copies are late, or cut off. It reads the time plainly, so that testing/synctest gives it a clock.
package replicationtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// ErrUnreachable is what a pooler gets that is cut off, or whose answer is lost. It decides nothing either way.
var ErrUnreachable = errors.New("sharedtest: no steward answered")

// Cluster is what a set of stewards decides. It is safe for use by several goroutines.
type Cluster struct {
	mu        sync.Mutex
	startedAt time.Time
	index     uint64
	documents replication.DocumentTable
	leases    lease.Lessor
	views     []*View
}

// New is an empty register; drift is lease.Table's.
func New(drift time.Duration) *Cluster {
	return &Cluster{startedAt: time.Now(), leases: lease.Lessor{MaxClockDrift: drift}}
}

// nextEntry is the next entry of the log. The caller has the lock.
func (r *Cluster) nextEntry() (index uint64, now time.Duration) {
	r.index++
	now = time.Since(r.startedAt)
	r.leases.AdvanceTime(now, 1, 1)
	return r.index, now
}

// Client is one pooler's way to the register. It implements shared.Store and shared.Asker.
type Client struct {
	cluster *Cluster
	holder  string

	mu            sync.Mutex
	partitioned   bool
	answersToLose int // answers to lose
}

var (
	_ replication.Store       = (*Client)(nil)
	_ replication.LeaseClient = (*Client)(nil)
)

// Client is a pooler's way to the register, by the name that it holds leases under.
func (r *Cluster) Client(holder string) *Client { return &Client{cluster: r, holder: holder} }

// SetPartitioned has every call fail without effect from now on, once its context ends; or heals that.
func (c *Client) SetPartitioned(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = cut
}

// LoseAnswers loses the answers to the next n calls that reach the register: they take effect, and the caller gets an error.
func (c *Client) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToLose = n
}

// Campaign is as in fleet.Ground.
func (c *Client) Campaign(ctx context.Context, d lease.Name, t replication.CandidateOptions) replication.Leadership {
	return replication.Campaign(ctx, c, d, t)
}

// call does something at the register, unless the way is cut.
func (c *Client) call(ctx context.Context, do func()) error {
	c.mu.Lock()
	cut := c.partitioned
	c.mu.Unlock()
	if cut {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return ErrUnreachable
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	c.cluster.mu.Lock()
	do()
	c.cluster.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answersToLose > 0 {
		c.answersToLose--
		return ErrUnreachable
	}
	return nil
}

// Put is documented with shared.Store.
func (c *Client) Put(ctx context.Context, key string, expect uint64, value []byte, f replication.Fence) (version uint64, err error) {
	var refused error
	err = c.call(ctx, func() {
		index, _ := c.cluster.nextEntry()
		version, refused = c.cluster.documents.Apply(replication.Write{Key: key, ExpectedVersion: expect, Value: value, Fence: f}, index, &c.cluster.leases)
		if refused == nil {
			c.cluster.distribute()
		}
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Read is documented with shared.Store.
func (c *Client) Read(ctx context.Context, key string) (d replication.Document, err error) {
	err = c.call(ctx, func() { d = c.cluster.documents.Get(key) })
	return d, err
}

// Acquire is documented with shared.Asker.
func (c *Client) Acquire(ctx context.Context, d lease.Name, term time.Duration) (g lease.Lease, ok bool, err error) {
	err = c.call(ctx, func() {
		index, now := c.cluster.nextEntry()
		g, ok = c.cluster.leases.Apply(lease.Command{Name: d, Holder: c.holder, Duration: term, Now: now, RaftTerm: 1}, index, 1)
	})
	return g, ok && err == nil, err
}

// Release is documented with shared.Asker.
func (c *Client) Release(ctx context.Context, d lease.Name) error {
	return c.call(ctx, func() {
		index, now := c.cluster.nextEntry()
		c.cluster.leases.Apply(lease.Command{Release: true, Name: d, Holder: c.holder, Now: now, RaftTerm: 1}, index, 1)
	})
}

// View is a pooler's copy, which follows the register at once while it is not cut off or delayed.
type View struct {
	*replication.Replica
	cluster *Cluster

	mu          sync.Mutex
	partitioned bool
	delay       time.Duration
}

var _ replication.View = (*View)(nil)

// View is a new copy that holds what the register holds.
func (r *Cluster) View() *View {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := &View{Replica: replication.NewReplica(r.documents.Snapshot()), cluster: r}
	r.views = append(r.views, v)
	return v
}

// Restart is a copy as a pooler has it that starts from its disk while it is cut off: what v held, and not confirmed. v follows
// no longer.
func (v *View) Restart() *View {
	v.SetPartitioned(true)
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	next := &View{Replica: replication.NewReplica(v.Snapshot()), cluster: v.cluster, partitioned: true}
	v.cluster.views = append(v.cluster.views, next)
	return next
}

// SetPartitioned cuts the copy off, so that it grows old, or heals that: it then holds what the register holds.
func (v *View) SetPartitioned(cut bool) {
	v.ConfirmedAt() // as of now, before the cut
	v.mu.Lock()
	v.partitioned = cut
	v.mu.Unlock()
	if !cut {
		v.cluster.mu.Lock()
		state := v.cluster.documents.Snapshot()
		v.cluster.mu.Unlock()
		v.Install(state)
		v.ConfirmedAt()
	}
}

// SetDelay has each change come so much later.
func (v *View) SetDelay(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = d
}

// distribute gives all copies what the register holds. The caller has the lock.
func (r *Cluster) distribute() {
	state := r.documents.Snapshot()
	for _, v := range r.views {
		v.mu.Lock()
		cut, delay := v.partitioned, v.delay
		v.mu.Unlock()
		switch {
		case cut:
		case delay == 0:
			v.Install(state)
		default:
			time.AfterFunc(delay, func() {
				v.mu.Lock()
				cut := v.partitioned
				v.mu.Unlock()
				if !cut {
					v.Install(state)
				}
			})
		}
	}
}

// ConfirmedAt is documented with shared.View: of a copy that is not cut off, now, less its delay.
func (v *View) ConfirmedAt() time.Time {
	v.mu.Lock()
	cut, delay := v.partitioned, v.delay
	v.mu.Unlock()
	if !cut {
		v.Confirm(v.Version(), time.Now().Add(-delay))
	}
	return v.Replica.ConfirmedAt()
}
