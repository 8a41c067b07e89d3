package replication

import (
	"context"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
)

// Leadership is a lease that this pooler campaigns for. It is safe for concurrent use, and no method blocks.
type Leadership interface {
	// Token returns the fencing token under which this pooler may act as the leader, and until when; ok is false if it may not.
	Token() (token uint64, until time.Time, ok bool)
	// Changed returns a channel that is closed when the leadership is next won or lost.
	Changed() <-chan struct{}
}

// LeaseClient acquires and releases leases for one pooler. It is safe for concurrent use.
type LeaseClient interface {
	Acquire(ctx context.Context, name lease.Name, term time.Duration) (lease.Lease, bool, error)
	Release(ctx context.Context, name lease.Name) error
}

// CandidateOptions say how a pooler campaigns for a lease.
type CandidateOptions struct {
	LeaseTerm time.Duration
	// MaxClockDrift is the most by which two monotonic clocks differ over a term, as in lease.Lessor.
	MaxClockDrift time.Duration
	// JitterFraction, from 0 up to 1, is this pooler's place among those that campaign: the higher, the later it requests a lease that
	// has become free.
	JitterFraction float64
}

// requestTimeout bounds a request for the lease, so that a renewal can be tried twice before the lease ends.
func (o CandidateOptions) requestTimeout() time.Duration { return o.LeaseTerm / 4 }

// jitter is how long this pooler waits before it requests a lease that may be free, so that of many poolers the first comes soon.
func (o CandidateOptions) jitter() time.Duration {
	return time.Duration(o.JitterFraction * float64(o.LeaseTerm) / 2)
}

// Candidate campaigns for a lease. It implements Leadership. Its durations are on its monotonic clock, since startedAt.
type Candidate struct {
	leases    LeaseClient
	leaseName lease.Name
	options   CandidateOptions
	startedAt time.Time
	done      chan struct{}

	mu              sync.Mutex // guards the fields below
	held            lease.LocalLease
	unansweredSince time.Duration // when the first of the requests that got no answer was sent; notUnanswered: the last got one
	leading         bool          // as changed last announced
	changed         chan struct{} // closed, and replaced, when leading changes
	expiryTimer     *time.Timer   // runs while leading, up to the end of the lease
}

var _ Leadership = (*Candidate)(nil)

// notUnanswered is the value of Candidate.unansweredSince while requests are answered.
const notUnanswered = time.Duration(-1)

// Campaign campaigns for a lease until ctx ends, and then releases it.
func Campaign(ctx context.Context, leases LeaseClient, name lease.Name, o CandidateOptions) *Candidate {
	c := &Candidate{leases: leases, leaseName: name, options: o, startedAt: time.Now(), changed: make(chan struct{}), done: make(chan struct{}),
		unansweredSince: notUnanswered}
	c.held.MaxClockDrift = o.MaxClockDrift
	go c.run(ctx) // ends, and closes done, once ctx has ended and the lease is released
	return c
}

// Token implements Leadership. Leadership ends a clock drift before the lease does, and the lease's term counts from the request.
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

// now is the time on the candidate's clock.
func (c *Candidate) now() time.Duration { return time.Since(c.startedAt) }

// run requests the lease again and again, one request at a time, and releases it at the end.
func (c *Candidate) run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		sleep(ctx, c.request(ctx))
	}
	if c.resign() {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.requestTimeout())
		defer cancel()
		_ = c.leases.Release(call, c.leaseName) // the lease ends by itself otherwise
	}
}

// request requests the lease once, and returns how long to wait before the next request.
func (c *Candidate) request(ctx context.Context) time.Duration {
	requestedAt := c.now()
	call, cancel := context.WithTimeout(ctx, c.options.requestTimeout())
	granted, ok, err := c.leases.Acquire(call, c.leaseName, c.options.LeaseTerm)
	cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.unansweredSince = notUnanswered
		c.held.HandleResponse(requestedAt, granted, ok)
	case c.unansweredSince == notUnanswered:
		c.unansweredSince = requestedAt
	}
	c.updateLeading()
	return c.nextRequestDelay(c.now(), granted, err)
}

// nextRequestDelay decides how long to wait before the next request, after an answer or an error. The caller holds the mutex.
//   - The leader renews a third of the term in, and a twelfth of the term after a renewal that failed.
//   - While another pooler leads, a candidate waits for the end of that lease and for its jitter.
//   - After an error a candidate waits for a quarter of the term and for its jitter. After a term of errors it waits for two terms:
//     voters that hear this pooler, while it does not hear them, grant it the lease with every request, and keep it from others.
func (c *Candidate) nextRequestDelay(now time.Duration, other lease.Lease, err error) time.Duration {
	term := c.options.LeaseTerm
	_, leading := c.held.ValidToken(now)
	switch {
	case leading && err != nil:
		return term / 12
	case leading:
		return max(c.held.RenewAt()-now, 0)
	case err != nil && now-c.unansweredSince >= term:
		return 2 * term
	case err != nil:
		return term/4 + c.options.jitter()
	}
	return min(max(other.Duration, 0), term) + c.options.MaxClockDrift + c.options.jitter()
}

// resign drops the lease here, and reports whether it was held.
func (c *Candidate) resign() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasLeading := c.leading
	c.held.Drop()
	c.updateLeading()
	return wasLeading
}

// updateLeading announces a leadership that was won or lost, and sets expiryTimer for the end of one that is held. The caller holds
// the mutex.
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

// handleExpiry looks at the lease again when it may have ended.
func (c *Candidate) handleExpiry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLeading()
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
