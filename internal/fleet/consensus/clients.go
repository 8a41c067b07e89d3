package consensus

import (
	"context"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// ClientPool asks stewards for several goroutines of one pooler, over a connection for each ask that is under way. It implements
// shared.Store, shared.Asker and shared.Stewards.
type ClientPool struct{ idle chan *Client }

var (
	_ replication.Store       = (*ClientPool)(nil)
	_ replication.LeaseClient = (*ClientPool)(nil)

	_ replication.SnapshotFetcher = (*ClientPool)(nil)
)

// NewClientPool keeps so many clients; further asks wait for one.
func NewClientPool(n int, holder string, stewards []Peer, timeout time.Duration) *ClientPool {
	c := &ClientPool{idle: make(chan *Client, n)}
	for range n {
		c.idle <- &Client{Holder: holder, Voters: stewards, Timeout: timeout}
	}
	return c
}

// CountTraffic has what goes and comes counted from the first ask on.
func (c *ClientPool) CountTraffic(t *traffic.Counter) {
	for range cap(c.idle) {
		one := <-c.idle
		one.Traffic = t
		c.idle <- one
	}
}

// withClient does something with a client that is idle.
func (c *ClientPool) withClient(ctx context.Context, do func(*Client) error) error {
	select {
	case one := <-c.idle:
		defer func() { c.idle <- one }()
		return do(one)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire is documented with Client.
func (c *ClientPool) Acquire(ctx context.Context, d lease.Name, term time.Duration) (g lease.Lease, ok bool, err error) {
	err = c.withClient(ctx, func(one *Client) (err error) {
		g, ok, err = one.Acquire(ctx, d, term)
		return err
	})
	return g, ok, err
}

// Release is documented with Client.
func (c *ClientPool) Release(ctx context.Context, d lease.Name) error {
	return c.withClient(ctx, func(one *Client) error { return one.Release(ctx, d) })
}

// Put is documented with shared.Store.
func (c *ClientPool) Put(ctx context.Context, key string, expect uint64, value []byte, f replication.Fence) (version uint64, err error) {
	err = c.withClient(ctx, func(one *Client) (err error) {
		version, err = one.Put(ctx, replication.Write{Key: key, ExpectedVersion: expect, Value: value, Fence: f})
		return err
	})
	return version, err
}

// Read is documented with shared.Store.
func (c *ClientPool) Read(ctx context.Context, key string) (d replication.Document, err error) {
	err = c.withClient(ctx, func(one *Client) (err error) {
		d, err = one.Read(ctx, key)
		return err
	})
	return d, err
}

// Fetch is documented with shared.Stewards.
func (c *ClientPool) Fetch(ctx context.Context, since uint64, sure bool) (s replication.Snapshot, newer bool, err error) {
	err = c.withClient(ctx, func(one *Client) (err error) {
		s, newer, err = one.Fetch(ctx, since, sure)
		return err
	})
	return s, newer, err
}

// Close waits for the asks under way and ends the connections. No other may come.
func (c *ClientPool) Close() {
	for range cap(c.idle) {
		(<-c.idle).Close()
	}
}
