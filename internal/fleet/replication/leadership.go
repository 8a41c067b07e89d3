package replication

import (
	"context"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
)

// Leadership provides the state of a lease that this pooler campaigns for. The pooler is the leader while it holds the lease. It is
// safe for concurrent use, and no method blocks.
type Leadership interface {
	// Token returns the fencing token under which this pooler may act as the leader, and the time at which the leadership ends unless it
	// is renewed. ok is false if this pooler is not the leader.
	Token() (token uint64, until time.Time, ok bool)
	// Changed returns a channel that is closed when the leadership is next won or lost.
	Changed() <-chan struct{}
}

// LeaseClient acquires and releases leases on behalf of one pooler. It is safe for concurrent use.
type LeaseClient interface {
	// Acquire requests a lease or its renewal. It returns the granted lease and true, or the current holder's lease and false.
	Acquire(ctx context.Context, name lease.Name, term time.Duration) (lease.Lease, bool, error)
	// Release releases a lease.
	Release(ctx context.Context, name lease.Name) error
}

// CandidateOptions configure a Candidate.
type CandidateOptions struct {
	LeaseTerm time.Duration
	// MaxClockDrift is the maximum difference between two monotonic clocks over a term, as in lease.Lessor.
	MaxClockDrift time.Duration
	// JitterFraction, in [0, 1), determines how long this pooler waits before it requests a lease that has become free. Poolers with
	// different values request it at different times.
	JitterFraction float64
}

// requestTimeout returns the timeout of a request for the lease. It allows for two attempts at a renewal before the lease ends.
func (o CandidateOptions) requestTimeout() time.Duration { return o.LeaseTerm / 4 }

// jitter returns the delay before this pooler requests a lease that may be free. Delays are spread over half a term, so that the
// requests of many poolers don't coincide and the first one comes soon.
func (o CandidateOptions) jitter() time.Duration {
	return time.Duration(o.JitterFraction * float64(o.LeaseTerm) / 2)
}

// Candidate campaigns for a lease: it requests the lease until it is granted and then renews it. It implements Leadership. Times that
// are stored as a time.Duration are measured since startedAt on the monotonic clock.
type Candidate struct {
	leases    LeaseClient
	leaseName lease.Name
	options   CandidateOptions
	startedAt time.Time
	done      chan struct{}

	mu           sync.Mutex // guards the fields below
	held         lease.LocalLease
	failingSince time.Duration // when the first request of the current run of failed requests was sent; notFailing if there is none
	leading      bool          // whether this pooler was the leader when changed was last replaced
	changed      chan struct{} // closed, and replaced, when leading changes
	expiryTimer  *time.Timer   // fires at the end of the lease; nil if this pooler is not the leader
}

var _ Leadership = (*Candidate)(nil)

// notFailing is the value of Candidate.failingSince after a request that succeeded.
const notFailing = time.Duration(-1)

// Campaign starts a Candidate, which campaigns for a lease until ctx ends and then releases it. Campaign does not wait for the lease.
func Campaign(ctx context.Context, leases LeaseClient, name lease.Name, opts CandidateOptions) *Candidate {
	c := &Candidate{leases: leases, leaseName: name, options: opts, startedAt: time.Now(), changed: make(chan struct{}), done: make(chan struct{}),
		failingSince: notFailing}
	c.held.MaxClockDrift = opts.MaxClockDrift
	go c.run(ctx) // ends once ctx has ended and the lease is released
	return c
}

// Token implements Leadership. The lease's term counts from the time of the request, and the leadership ends earlier than the lease by
// MaxClockDrift.
func (c *Candidate) Token() (token uint64, until time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token, ok = c.held.ValidToken(c.now())
	if !ok {
		return 0, time.Time{}, false
	}
	return token, c.startedAt.Add(c.held.RenewDeadline()), true
}

// Changed implements Leadership.
func (c *Candidate) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Done returns a channel that is closed once the campaign's context has ended and the lease was released.
func (c *Candidate) Done() <-chan struct{} { return c.done }

// now returns the time since startedAt on the monotonic clock.
func (c *Candidate) now() time.Duration { return time.Since(c.startedAt) }

// run requests the lease repeatedly, one request at a time, until ctx ends. Then it releases the lease and closes done.
func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		sleep(ctx, c.request(ctx))
	}
	if c.resign() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.requestTimeout())
		defer cancel()
		_ = c.leases.Release(callCtx, c.leaseName) // after an error the lease ends with its term
	}
}

// request requests the lease once and returns the delay before the next request.
func (c *Candidate) request(ctx context.Context) time.Duration {
	requestedAt := c.now()
	callCtx, cancel := context.WithTimeout(ctx, c.options.requestTimeout())
	current, granted, err := c.leases.Acquire(callCtx, c.leaseName, c.options.LeaseTerm)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.failingSince = notFailing
		c.held.HandleResponse(requestedAt, current, granted)
	case c.failingSince == notFailing:
		c.failingSince = requestedAt
	}
	c.updateLeading()
	return c.nextRequestDelay(c.now(), current, err)
}

// nextRequestDelay returns the delay before the next request. current is the lease in the response to the last request, and err that
// request's error. The caller must hold c.mu.
//   - The leader renews the lease after a third of the term. It retries a failed renewal after a twelfth of the term.
//   - While another pooler is the leader, a candidate waits for the end of that lease plus the clock drift and its jitter.
//   - After an error a candidate waits for a quarter of the term plus its jitter. Once requests have failed for a whole term, it waits
//     for two terms: if its requests reach the voters and only the responses are lost, each request would be granted the lease, and
//     other poolers could never acquire it.
func (c *Candidate) nextRequestDelay(now time.Duration, current lease.Lease, err error) time.Duration {
	term := c.options.LeaseTerm
	_, leading := c.held.ValidToken(now)
	switch {
	case leading && err != nil:
		return term / 12
	case leading:
		return max(c.held.RenewAt()-now, 0)
	case err != nil && now-c.failingSince >= term:
		return 2 * term
	case err != nil:
		return term/4 + c.options.jitter()
	}
	return min(max(current.Duration, 0), term) + c.options.MaxClockDrift + c.options.jitter()
}

// resign gives up the leadership locally, without a request, and reports whether this pooler was the leader.
func (c *Candidate) resign() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasLeading := c.leading
	c.held.Drop()
	c.updateLeading()
	return wasLeading
}

// updateLeading updates leading from the lease, closes changed if leading has changed, and sets expiryTimer while this pooler is the
// leader. The caller must hold c.mu.
func (c *Candidate) updateLeading() {
	now := c.now()
	_, leading := c.held.ValidToken(now)
	if leading != c.leading {
		c.leading = leading
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if c.expiryTimer != nil {
		c.expiryTimer.Stop()
		c.expiryTimer = nil
	}
	if leading {
		c.expiryTimer = time.AfterFunc(c.held.RenewDeadline()-now, c.handleExpiry)
	}
}

// handleExpiry updates the leadership when expiryTimer fires.
func (c *Candidate) handleExpiry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLeading()
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
