// Package replicationtest simulates a consensus cluster within one process, for tests of components that share documents. It uses the
// real document table and the real lessor behind a mutex, without a log or a network. Faults can be injected: a pooler's Client can be
// partitioned or lose the responses to requests that took effect, and its View can be delayed or partitioned. The package uses the
// clock of package time, so it works within testing/synctest. It is for tests only.
package replicationtest

import (
	"context"
	"errors"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// ErrUnreachable is the error of a request that did not reach the cluster or whose response was lost. The request may have taken
// effect.
var ErrUnreachable = errors.New("replicationtest: no voter answered")

const (
	// partitionedCallTimeout is the time after which a partitioned client's call fails, if its context does not end earlier.
	partitionedCallTimeout = time.Second
	// raftTerm and raftEpoch belong to the cluster's only leader; there are no elections.
	raftTerm  = 1
	raftEpoch = 1
)

// Cluster is the replicated state of the voters. It is safe for concurrent use.
type Cluster struct {
	startedAt time.Time

	mu        sync.Mutex // guards the fields below
	index     uint64     // log index of the last entry
	documents replication.DocumentTable
	leases    lease.Lessor
	views     []*View
}

// New returns a cluster without documents and leases. maxClockDrift is the value of lease.Lessor.MaxClockDrift.
func New(maxClockDrift time.Duration) *Cluster {
	return &Cluster{startedAt: time.Now(), leases: lease.Lessor{MaxClockDrift: maxClockDrift}}
}

// nextEntry starts the next log entry: it advances the lessor's time to the current time and returns the entry's index and time. The
// caller must hold c.mu.
func (c *Cluster) nextEntry() (index uint64, now time.Duration) {
	c.index++
	now = time.Since(c.startedAt)
	c.leases.AdvanceTime(now, raftTerm, raftEpoch)
	return c.index, now
}

// apply applies a write as the next log entry, and updates the views if the write is accepted. The caller must hold c.mu.
func (c *Cluster) apply(w replication.Write) (version uint64, err error) {
	index, _ := c.nextEntry()
	version, err = c.documents.Apply(w, index, &c.leases)
	if err == nil {
		c.distribute()
	}
	return version, err
}

// distribute sends the cluster's documents to all views. The caller must hold c.mu.
func (c *Cluster) distribute() {
	snapshot := c.documents.Snapshot()
	for _, view := range c.views {
		view.receive(snapshot)
	}
}

// Client is a pooler's client of the cluster. It implements replication.Store and replication.LeaseClient, and is safe for concurrent
// use.
type Client struct {
	cluster *Cluster
	holder  string

	mu              sync.Mutex // guards the fields below
	partitioned     bool
	responsesToDrop int
}

var (
	_ replication.Store       = (*Client)(nil)
	_ replication.LeaseClient = (*Client)(nil)
)

// Client returns a client for a pooler that holds its leases under the name holder.
func (c *Cluster) Client(holder string) *Client { return &Client{cluster: c, holder: holder} }

// SetPartitioned sets whether later calls fail without reaching the cluster.
func (c *Client) SetPartitioned(partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// DropResponses makes the next n calls that reach the cluster fail with ErrUnreachable after they have taken effect.
func (c *Client) DropResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responsesToDrop = n
}

// Campaign calls replication.Campaign with this client.
func (c *Client) Campaign(ctx context.Context, name lease.Name, opts replication.CandidateOptions) replication.Leadership {
	return replication.Campaign(ctx, c, name, opts)
}

// call calls operation with the cluster's mutex held. If the client is partitioned, it blocks until ctx ends or
// partitionedCallTimeout has passed, and returns ErrUnreachable.
func (c *Client) call(ctx context.Context, operation func()) error {
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
	operation()
	c.cluster.mu.Unlock()
	if c.dropsResponse() {
		return ErrUnreachable
	}
	return nil
}

func (c *Client) isPartitioned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned
}

// dropsResponse reports whether the response to the current call is dropped, and counts it against DropResponses.
func (c *Client) dropsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsesToDrop == 0 {
		return false
	}
	c.responsesToDrop--
	return true
}

// Put implements replication.Store.
func (c *Client) Put(ctx context.Context, key string, expectedVersion uint64, value []byte, fence replication.Fence) (version uint64, err error) {
	var refusal error
	err = c.call(ctx, func() {
		version, refusal = c.cluster.apply(replication.Write{Key: key, ExpectedVersion: expectedVersion, Value: value, Fence: fence})
	})
	if err == nil {
		err = refusal
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

// View is a pooler's replica. It receives the cluster's changes immediately unless it is partitioned or delayed. It implements
// replication.View, and is safe for concurrent use.
type View struct {
	*replication.Replica
	cluster *Cluster

	mu          sync.Mutex // guards the fields below
	partitioned bool
	delay       time.Duration // from a change until the replica has it
}

var _ replication.View = (*View)(nil)

// View returns a new replica with the cluster's current documents.
func (c *Cluster) View() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := &View{Replica: replication.NewReplica(c.documents.Snapshot()), cluster: c}
	c.views = append(c.views, view)
	return view
}

// Restart returns the view of a pooler that restarts from its disk while it is partitioned. The new view has v's documents and is
// not confirmed. Restart also partitions v.
func (v *View) Restart() *View {
	v.SetPartitioned(true)
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	restarted := &View{Replica: replication.NewReplica(v.Snapshot()), cluster: v.cluster, partitioned: true}
	v.cluster.views = append(v.cluster.views, restarted)
	return restarted
}

// SetPartitioned sets whether the view is partitioned. While it is, the view receives no changes and is not confirmed. When the
// partition heals, the view gets the cluster's current documents.
func (v *View) SetPartitioned(partitioned bool) {
	v.ConfirmedAt() // confirms the replica as of now, before the partition
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

// SetDelay sets the delay with which the view receives later changes.
func (v *View) SetDelay(delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.delay = delay
}

// link returns the current state of the link to the cluster.
func (v *View) link() (partitioned bool, delay time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.partitioned, v.delay
}

// receive installs a snapshot after the view's delay. The snapshot is dropped if the view is partitioned when it is sent or when the
// delay ends.
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

// ConfirmedAt implements replication.View. A view that is not partitioned is confirmed as of the current time minus its delay.
func (v *View) ConfirmedAt() time.Time {
	partitioned, delay := v.link()
	if !partitioned {
		v.Confirm(v.Version(), time.Now().Add(-delay))
	}
	return v.Replica.ConfirmedAt()
}
