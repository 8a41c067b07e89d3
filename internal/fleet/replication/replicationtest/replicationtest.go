// Package replicationtest is a consensus cluster within one process, for tests of components that share documents: the real document
// table and the real lessor behind one mutex, without a log or a network. A pooler's Client is cut off, or loses the answers to requests
// that took effect; its View lags, or is cut off. The package reads the time from package time, so testing/synctest can provide the
// clock. It is for tests alone.
package replicationtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// ErrUnreachable is the error of a request that did not reach the cluster, or whose answer was lost. Whether the request took effect
// is open.
var ErrUnreachable = errors.New("replicationtest: no voter answered")

const (
	// partitionedCallTimeout is how long a partitioned client's call takes to fail, if its context does not end earlier.
	partitionedCallTimeout = time.Second
	// raftTerm and raftEpoch are those of the only leader that the cluster ever has.
	raftTerm  = 1
	raftEpoch = 1
)

// Cluster is the voters' state. It is safe for concurrent use.
type Cluster struct {
	startedAt time.Time

	mu        sync.Mutex // guards the fields below
	index     uint64     // of the last log entry
	documents replication.DocumentTable
	leases    lease.Lessor
	views     []*View
}

// New returns a cluster without documents and leases. maxClockDrift is lease.Lessor's.
func New(maxClockDrift time.Duration) *Cluster {
	return &Cluster{startedAt: time.Now(), leases: lease.Lessor{MaxClockDrift: maxClockDrift}}
}

// nextEntry begins the next entry of the log, and advances the lessor's time to it. The caller holds the mutex.
func (c *Cluster) nextEntry() (index uint64, now time.Duration) {
	c.index++
	now = time.Since(c.startedAt)
	c.leases.AdvanceTime(now, raftTerm, raftEpoch)
	return c.index, now
}

// apply applies a write as the next entry, and distributes the documents if the write is accepted. The caller holds the mutex.
func (c *Cluster) apply(w replication.Write) (version uint64, err error) {
	index, _ := c.nextEntry()
	version, err = c.documents.Apply(w, index, &c.leases)
	if err == nil {
		c.distribute()
	}
	return version, err
}

// distribute brings all views to the cluster's documents, at once or after their delay. The caller holds the mutex.
func (c *Cluster) distribute() {
	snapshot := c.documents.Snapshot()
	for _, view := range c.views {
		view.receive(snapshot)
	}
}

// Client is one pooler's connection to the cluster. It implements replication.Store and replication.LeaseClient, and is safe for
// concurrent use.
type Client struct {
	cluster *Cluster
	holder  string

	mu            sync.Mutex // guards the fields below
	partitioned   bool
	answersToLose int
}

var (
	_ replication.Store       = (*Client)(nil)
	_ replication.LeaseClient = (*Client)(nil)
)

// Client returns a connection to the cluster, of a pooler that holds its leases under a name.
func (c *Cluster) Client(holder string) *Client { return &Client{cluster: c, holder: holder} }

// SetPartitioned makes every later call fail without effect, or heals that.
func (c *Client) SetPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// LoseAnswers makes the next n calls that reach the cluster take effect and fail with ErrUnreachable.
func (c *Client) LoseAnswers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersToLose = n
}

// Campaign campaigns for a lease through this client until ctx ends.
func (c *Client) Campaign(ctx context.Context, name lease.Name, o replication.CandidateOptions) replication.Leadership {
	return replication.Campaign(ctx, c, name, o)
}

// call calls do while the cluster's mutex is held, unless the client is partitioned.
func (c *Client) call(ctx context.Context, do func()) error {
	if c.isPartitioned() {
		timer := time.NewTimer(partitionedCallTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return ErrUnreachable
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	c.cluster.mu.Lock()
	do()
	c.cluster.mu.Unlock()
	if c.losesAnswer() {
		return ErrUnreachable
	}
	return nil
}

func (c *Client) isPartitioned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned
}

// losesAnswer reports whether the answer to the call that has just taken effect is lost.
func (c *Client) losesAnswer() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answersToLose == 0 {
		return false
	}
	c.answersToLose--
	return true
}

// Put implements replication.Store.
func (c *Client) Put(ctx context.Context, key string, expect uint64, value []byte, f replication.Fence) (version uint64, err error) {
	var refused error
	err = c.call(ctx, func() {
		version, refused = c.cluster.apply(replication.Write{Key: key, ExpectedVersion: expect, Value: value, Fence: f})
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Read implements replication.Store.
func (c *Client) Read(ctx context.Context, key string) (document replication.Document, err error) {
	err = c.call(ctx, func() { document = c.cluster.documents.Get(key) })
	return document, err
}

// Acquire implements replication.LeaseClient.
func (c *Client) Acquire(ctx context.Context, name lease.Name, term time.Duration) (granted lease.Lease, ok bool, err error) {
	err = c.call(ctx, func() {
		index, now := c.cluster.nextEntry()
		command := lease.Command{Name: name, Holder: c.holder, Duration: term, Now: now, RaftTerm: raftTerm}
		granted, ok = c.cluster.leases.Apply(command, index, raftEpoch)
	})
	return granted, ok && err == nil, err
}

// Release implements replication.LeaseClient.
func (c *Client) Release(ctx context.Context, name lease.Name) error {
	return c.call(ctx, func() {
		index, now := c.cluster.nextEntry()
		command := lease.Command{Release: true, Name: name, Holder: c.holder, Now: now, RaftTerm: raftTerm}
		c.cluster.leases.Apply(command, index, raftEpoch)
	})
}

// View is a pooler's replica, which follows the cluster at once while it is neither partitioned nor delayed. It implements
// replication.View, and is safe for concurrent use.
type View struct {
	*replication.Replica
	cluster *Cluster

	mu          sync.Mutex // guards the fields below
	partitioned bool
	delay       time.Duration // from a change until the replica has it
}

var _ replication.View = (*View)(nil)

// View returns a replica that has what the cluster has.
func (c *Cluster) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := &View{Replica: replication.NewReplica(c.documents.Snapshot()), cluster: c}
	c.views = append(c.views, view)
	return view
}

// Restart returns the view of a pooler that restarts from its disk while it is partitioned: it has the documents that v has, and is
// not confirmed. v is partitioned from then on.
func (v *View) Restart() *View {
	v.SetPartitioned(true)
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	restarted := &View{Replica: replication.NewReplica(v.Snapshot()), cluster: v.cluster, partitioned: true}
	v.cluster.views = append(v.cluster.views, restarted)
	return restarted
}

// SetPartitioned cuts the view off, so that it grows old, or heals that: it then has what the cluster has.
func (v *View) SetPartitioned(partitioned bool) {
	v.ConfirmedAt() // confirms the replica as of now, before the cut
	v.mu.Lock()
	v.partitioned = partitioned
	v.mu.Unlock()
	if partitioned {
		return
	}
	v.cluster.mu.Lock()
	snapshot := v.cluster.documents.Snapshot()
	v.cluster.mu.Unlock()
	v.Install(snapshot)
	v.ConfirmedAt()
}

// SetDelay sets how much later than the cluster the view has each later change.
func (v *View) SetDelay(delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = delay
}

// link returns whether the view is partitioned, and its delay.
func (v *View) link() (partitioned bool, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partitioned, v.delay
}

// receive installs a snapshot after the view's delay, unless the view is partitioned now or then.
func (v *View) receive(snapshot replication.Snapshot) {
	partitioned, delay := v.link()
	switch {
	case partitioned:
	case delay == 0:
		v.Install(snapshot)
	default:
		time.AfterFunc(delay, func() {
			if partitioned, _ := v.link(); !partitioned {
				v.Install(snapshot)
			}
		})
	}
}

// ConfirmedAt implements replication.View: a view that is not partitioned is confirmed as of now, less its delay.
func (v *View) ConfirmedAt() time.Time {
	partitioned, delay := v.link()
	if !partitioned {
		v.Confirm(v.Version(), time.Now().Add(-delay))
	}
	return v.Replica.ConfirmedAt()
}
