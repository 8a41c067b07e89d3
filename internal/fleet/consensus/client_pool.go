package consensus

import (
	"context"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// ClientPool is a pool of Clients of one pooler, each with its own connection. It implements replication.Store,
// replication.LeaseClient and replication.SnapshotFetcher, and is safe for concurrent use.
type ClientPool struct{ idle chan *Client }

var (
	_ replication.Store           = (*ClientPool)(nil)
	_ replication.LeaseClient     = (*ClientPool)(nil)
	_ replication.SnapshotFetcher = (*ClientPool)(nil)
)

// NewClientPool returns a pool of size clients, which bounds the requests in flight. timeout is Client.Timeout. The caller must
// call Close.
func NewClientPool(size int, holder string, voters []Peer, timeout time.Duration) *ClientPool {
	pool := &ClientPool{idle: make(chan *Client, size)}
	for range size {
		pool.idle <- &Client{Holder: holder, Voters: voters, Timeout: timeout}
	}
	return pool
}

// CountTraffic sets the counter of messages sent and received. It must be called before the first request.
func (p *ClientPool) CountTraffic(counter *traffic.Counter) {
	for range cap(p.idle) {
		client := <-p.idle
		client.Traffic = counter
		p.idle <- client
	}
}

// withClient waits for an idle client and calls use with it. It returns use's error, or ctx's error if ctx ends first.
func (p *ClientPool) withClient(ctx context.Context, use func(*Client) error) error {
	select {
	case client := <-p.idle:
		defer func() { p.idle <- client }()
		return use(client)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Acquire requests a lease or its renewal, as Client.Acquire does.
func (p *ClientPool) Acquire(ctx context.Context, name lease.Name, duration time.Duration) (current lease.Lease, granted bool, err error) {
	err = p.withClient(ctx, func(client *Client) (err error) {
		current, granted, err = client.Acquire(ctx, name, duration)
		return err
	})
	return current, granted, err
}

// Release releases a lease, as Client.Release does.
func (p *ClientPool) Release(ctx context.Context, name lease.Name) error {
	return p.withClient(ctx, func(client *Client) error { return client.Release(ctx, name) })
}

// Put writes a document, as Client.Put does.
func (p *ClientPool) Put(ctx context.Context, key string, expectedVersion uint64, value []byte, fence replication.Fence) (version uint64, err error) {
	err = p.withClient(ctx, func(client *Client) (err error) {
		version, err = client.Put(ctx, replication.Write{Key: key, ExpectedVersion: expectedVersion, Value: value, Fence: fence})
		return err
	})
	return version, err
}

// Read returns a document by a linearizable read, as Client.Read does.
func (p *ClientPool) Read(ctx context.Context, key string) (document replication.Document, err error) {
	err = p.withClient(ctx, func(client *Client) (err error) {
		document, err = client.Read(ctx, key)
		return err
	})
	return document, err
}

// Fetch returns all documents if they are newer than a version, as Client.Fetch does.
func (p *ClientPool) Fetch(ctx context.Context, since uint64, linearizable bool) (snapshot replication.Snapshot, newer bool, err error) {
	err = p.withClient(ctx, func(client *Client) (err error) {
		snapshot, newer, err = client.Fetch(ctx, since, linearizable)
		return err
	})
	return snapshot, newer, err
}

// Close waits for the requests in flight and closes the connections. No request may be made afterwards.
func (p *ClientPool) Close() {
	for range cap(p.idle) {
		(<-p.idle).Close()
	}
}
