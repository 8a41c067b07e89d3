package replication

import (
	"context"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
)

// LeaseClient asks the stewards for leases, for one pooler. It is safe for use by several goroutines.
type LeaseClient interface {
	Acquire(ctx context.Context, d lease.Name, term time.Duration) (lease.Lease, bool, error)
	Release(ctx context.Context, d lease.Name) error
}

var _ Leadership = (*Candidate)(nil)

// CandidateOptions is how a pooler stands for a duty.
type CandidateOptions struct {
	LeaseTerm      time.Duration // of the lease
	MaxClockDrift  time.Duration // as in lease.Table
	JitterFraction float64       // from 0 up to 1, by the pooler's own seed: when it asks, among all
}

// Campaign stands for a duty until ctx ends, and then gives it up.
func Campaign(ctx context.Context, ask LeaseClient, d lease.Name, t CandidateOptions) *Candidate {
	s := &Candidate{leases: ask, leaseName: d, options: t, startedAt: time.Now(), changed: make(chan struct{}), done: make(chan struct{}), unansweredSince: -1}
	s.holder.MaxClockDrift = t.MaxClockDrift
	go s.run(ctx)
	return s
}

// Candidate is a Tenure under way. Its clock is monotonic, from start on.
type Candidate struct {
	leases    LeaseClient
	leaseName lease.Name
	options   CandidateOptions
	startedAt time.Time
	done      chan struct{}

	mu              sync.Mutex
	holder          lease.LocalLease
	unansweredSince time.Duration // the ask since which nothing was answered; below 0: the last one was
	leading         bool          // as was last told by changed
	changed         chan struct{}
	expiryTimer     *time.Timer
}

// run asks, and asks again, one ask at a time.
func (s *Candidate) run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		asked := time.Since(s.startedAt)
		call, cancel := context.WithTimeout(ctx, s.options.LeaseTerm/4) // so that a renewal can be tried twice
		g, ok, err := s.leases.Acquire(call, s.leaseName, s.options.LeaseTerm)
		cancel()
		s.mu.Lock()
		if err == nil {
			s.unansweredSince = -1
			s.holder.HandleResponse(asked, g, ok)
		} else if s.unansweredSince < 0 {
			s.unansweredSince = asked
		}
		s.updateLeading()
		next := s.nextRequestDelay(time.Since(s.startedAt), g, err)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(next):
		}
	}
	s.mu.Lock()
	held := s.leading
	s.holder.Drop()
	s.updateLeading()
	s.mu.Unlock()
	if held {
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.options.LeaseTerm/4)
		defer cancel()
		_ = s.leases.Release(call, s.leaseName) // else it runs out by itself
	}
}

// nextRequestDelay is how long to wait: until a third of the term is over for the holder, a twelfth after a renewal that failed, as long
// as another's lease has left and a share of half a term by the spread, so that of many the first comes soon; two terms after a term of
// silence, for stewards that hear this pooler and that it does not hear give it a lease by each ask. The caller has the lock.
func (s *Candidate) nextRequestDelay(now time.Duration, g lease.Lease, err error) time.Duration {
	spread := time.Duration(s.options.JitterFraction * float64(s.options.LeaseTerm) / 2)
	switch _, acts := s.holder.ValidToken(now); {
	case acts && err != nil:
		return s.options.LeaseTerm / 12
	case acts:
		return max(s.holder.RenewAt()-now, 0)
	case err != nil && now-s.unansweredSince >= s.options.LeaseTerm:
		return 2 * s.options.LeaseTerm
	case err != nil:
		return s.options.LeaseTerm/4 + spread
	default:
		return min(max(g.Duration, 0), s.options.LeaseTerm) + s.options.MaxClockDrift + spread
	}
}

// updateLeading tells whether the duty was won or lost since it was last told, and has it looked again when acting must stop. The caller
// has the lock.
func (s *Candidate) updateLeading() {
	now := time.Since(s.startedAt)
	_, acts := s.holder.ValidToken(now)
	if acts != s.leading {
		s.leading = acts
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	if acts {
		s.expiryTimer = time.AfterFunc(s.holder.RenewDeadline()-now, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.updateLeading()
		})
	}
}

// Token is documented with Tenure: acting ends a drift bound before the term does, counted from the asking.
func (s *Candidate) Token() (token uint64, until time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token, ok = s.holder.ValidToken(time.Since(s.startedAt)); !ok {
		return 0, time.Time{}, false
	}
	return token, s.startedAt.Add(s.holder.RenewDeadline()), true
}

// Done is closed once the duty has been given up, after ctx has ended.
func (s *Candidate) Done() <-chan struct{} { return s.done }

// Changed is documented with Tenure.
func (s *Candidate) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
