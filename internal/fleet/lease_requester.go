package fleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
)

// maxQueuedLeaseRequests is the capacity of the queue of lease requests and releases.
const maxQueuedLeaseRequests = 16

// leaseRequest is a request for the leader's lease, its renewal or its release.
type leaseRequest struct {
	release bool
	done    func(current lease.Lease, granted bool, err error) // called once; nil for a release
}

// leaseRequester sends the requests for the leader's lease one at a time, on a separate goroutine.
type leaseRequester struct {
	client *consensus.Client // used only by run
	term   time.Duration     // of the lease
	queue  chan leaseRequest
	log    zerolog.Logger
}

// newLeaseRequester returns a leaseRequester that owns the client; run closes it.
func newLeaseRequester(client *consensus.Client, term time.Duration, log zerolog.Logger) *leaseRequester {
	return &leaseRequester{client: client, term: term, queue: make(chan leaseRequest, maxQueuedLeaseRequests), log: log}
}

// enqueue queues a request without blocking. If the queue is full, as it may become after run has returned, a request fails with
// consensus.ErrNoLeader and a release is dropped, so that the lease expires.
func (q *leaseRequester) enqueue(r leaseRequest) {
	select {
	case q.queue <- r:
	default:
		q.log.Warn().Msg("lease: request queue is full; request dropped")
		if !r.release {
			go r.done(lease.Lease{}, false, consensus.ErrNoLeader)
		}
	}
}

// run sends the queued requests until shutdown is closed and the queue is empty, then closes the client.
func (q *leaseRequester) run(shutdown <-chan struct{}) {
	defer q.client.Close()
	for r, ok := receive(q.queue, shutdown); ok; r, ok = receive(q.queue, shutdown) {
		q.send(r)
	}
}

// send sends a request and blocks for at most the client's timeout. The shutdown does not cancel it, so that a queued release
// is still sent.
func (q *leaseRequester) send(r leaseRequest) {
	ctx := context.Background()
	if r.release {
		_ = q.client.Release(ctx, discoveryleader.LeaseName) // after an error the lease expires by itself
		return
	}
	r.done(q.client.Acquire(ctx, discoveryleader.LeaseName, q.term))
}
