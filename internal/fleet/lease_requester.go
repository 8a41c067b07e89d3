package fleet

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
)

// maxQueuedLeaseRequests is how many requests and releases may wait for the voters.
const maxQueuedLeaseRequests = 16

// leaseRequest requests the leader's lease, or its renewal, or releases it.
type leaseRequest struct {
	release bool
	done    func(current lease.Lease, granted bool, err error) // called once; nil: it is a release
}

// leaseRequester sends the requests for the leader's lease on a goroutine of its own, one at a time.
type leaseRequester struct {
	client   *consensus.Client // used by run alone
	duration time.Duration     // of the lease
	queue    chan leaseRequest
	log      zerolog.Logger
}

// newLeaseRequester takes over the client, which run closes.
func newLeaseRequester(client *consensus.Client, duration time.Duration, log zerolog.Logger) *leaseRequester {
	return &leaseRequester{client: client, duration: duration, queue: make(chan leaseRequest, maxQueuedLeaseRequests), log: log}
}

// enqueue never blocks: where too many requests wait, or after the end, a request fails with consensus.ErrNoLeader, and a
// release is left to the lease's expiry.
func (q *leaseRequester) enqueue(r leaseRequest) {
	select {
	case q.queue <- r:
	default:
		q.log.Warn().Msg("lease: too many requests wait for the voters")
		if !r.release {
			go r.done(lease.Lease{}, false, consensus.ErrNoLeader)
		}
	}
}

// run sends what is queued, until shutdown is closed and the queue is empty, and closes the client.
func (q *leaseRequester) run(shutdown <-chan struct{}) {
	defer q.client.Close()
	for r, ok := receive(q.queue, shutdown); ok; r, ok = receive(q.queue, shutdown) {
		q.send(r)
	}
}

// send is not ended by the shutdown: a release that waits is sent, within the client's timeout.
func (q *leaseRequester) send(r leaseRequest) {
	ctx := context.Background()
	if r.release {
		_ = q.client.Release(ctx, discoveryleader.LeaseName) // if that fails the lease expires
		return
	}
	r.done(q.client.Acquire(ctx, discoveryleader.LeaseName, q.duration))
}
