package consensus

import (
	"context"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// ClientPool sends requests to the voters for several goroutines of one pooler, over a connection for each request in flight.
// It implements replication.Store, replication.LeaseClient and replication.SnapshotFetcher.
type ClientPool struct{ idle chan *Client }

var (
	_ replication.Store           = (*ClientPool)(nil)
	_ replication.LeaseClient     = (*ClientPool)(nil)
	_ replication.SnapshotFetcher = (*ClientPool)(nil)
)

// NewClientPool keeps size clients, each with the timeout of a request; further requests wait for one. The caller owes Close.
func NewClientPool(size int, holder string, voters []Peer, timeout time.Duration) *ClientPool {
	p := &ClientPool{idle: make(chan *Client, size)}
	for range size {
		p.idle <- &Client{Holder: holder, Voters: voters, Timeout: timeout}
	}
	return p
}

// CountTraffic has what is sent and received counted. It must be called before the first request.
func (p *ClientPool) CountTraffic(t *traffic.Counter) {
	for range cap(p.idle) {
		c := <-p.idle
		c.Traffic = t
		p.idle <- c
	}
}

// withClient calls f with an idle client, when there is one.
func (p *ClientPool) withClient(ctx context.Context, f func(*Client) error) error {
	select {
	case c := <-p.idle:
		defer func() { p.idle <- c }()
		return f(c)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire is documented with Client.
func (p *ClientPool) Acquire(ctx context.Context, name lease.Name, duration time.Duration) (current lease.Lease, granted bool, err error) {
	err = p.withClient(ctx, func(c *Client) (err error) {
		current, granted, err = c.Acquire(ctx, name, duration)
		return err
	})
	return current, granted, err
}

// Release is documented with Client.
func (p *ClientPool) Release(ctx context.Context, name lease.Name) error {
	return p.withClient(ctx, func(c *Client) error { return c.Release(ctx, name) })
}

// Put is documented with replication.Store.
func (p *ClientPool) Put(ctx context.Context, key string, expectedVersion uint64, value []byte, f replication.Fence) (version uint64, err error) {
	err = p.withClient(ctx, func(c *Client) (err error) {
		version, err = c.Put(ctx, replication.Write{Key: key, ExpectedVersion: expectedVersion, Value: value, Fence: f})
		return err
	})
	return version, err
}

// Read is documented with replication.Store.
func (p *ClientPool) Read(ctx context.Context, key string) (document replication.Document, err error) {
	err = p.withClient(ctx, func(c *Client) (err error) {
		document, err = c.Read(ctx, key)
		return err
	})
	return document, err
}

// Fetch is documented with replication.SnapshotFetcher.
func (p *ClientPool) Fetch(ctx context.Context, since uint64, linearizable bool) (s replication.Snapshot, newer bool, err error) {
	err = p.withClient(ctx, func(c *Client) (err error) {
		s, newer, err = c.Fetch(ctx, since, linearizable)
		return err
	})
	return s, newer, err
}

// Close waits for the requests in flight and closes the connections. No request may follow.
func (p *ClientPool) Close() {
	for range cap(p.idle) {
		(<-p.idle).Close()
	}
}
