package quota

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/replication"
)

// Document is the key of the shared document that holds the set of limits in force.
const Document = "limits/set"

const (
	// earlyRequestIntervalPerPooler, multiplied by the size of the fleet, is the minimum interval between early requests of a pooler, so that
	// the fleet sends at most a thousand a second. In a small fleet the interval is minEarlyRequestInterval.
	earlyRequestIntervalPerPooler = time.Millisecond
	minEarlyRequestInterval       = 20 * time.Millisecond
	// refusalLogInterval is the interval between log lines about limits that had no token available.
	refusalLogInterval = 5 * time.Second
)

// Options configures a Component.
type Options struct {
	Instance  string        // identifies this process among all processes of the pooler
	Term      time.Duration // term of quotas
	Drift     time.Duration // maximum difference between two monotonic clocks over a term
	FleetSize int           // number of poolers in the settings
	Limits    config.Limits // limits initially read from the operator's file
}

// Component enforces the fleet's limits at one pooler: it requests quotas, and allocates them while the pooler is the leader. Before it
// runs, and while there is no leader, the Client applies the safe shares of the limits in the operator's file. It is safe for concurrent use.
type Component struct {
	*Client
	options Options

	mu         sync.Mutex    // guards the fields below
	proposed   config.Limits // limits in the operator's file
	allocator  *Allocator    // for the last token with which this pooler was the leader; nil if it never was
	allocating bool          // whether this pooler was the leader at the last updateLeadership
}

var _ fleet.Component = (*Component)(nil)

// New returns a component for one process of a pooler.
func New(o Options) *Component {
	return &Component{Client: NewClient(o.Instance, o.Term, o.FleetSize, o.Limits), options: o, proposed: o.Limits}
}

// Propose sets the limits read from the operator's file. If their revision is the highest, they apply at this pooler immediately, and at all
// poolers once they have been proposed at the leader.
func (c *Component) Propose(limits config.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed = limits
	c.SetLimits(limits)
}

// proposedLimits returns the limits in the operator's file.
func (c *Component) proposedLimits() config.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposed
}

// Run implements fleet.Component. It runs until ctx is done and never returns an error: without a leader, messages or documents the safe
// shares apply.
func (c *Component) Run(ctx context.Context, runtime fleet.Runtime) error {
	s := &session{
		component:      c,
		runtime:        runtime,
		leadership:     runtime.Campaign(ctx, LeaseName),
		term:           c.options.Term,
		requests:       make(chan receivedRequest, maxQueuedRequests),
		leaderObserved: make(chan struct{}, 1),
	}
	var answering sync.WaitGroup
	for range grantSenders {
		answering.Go(func() { s.answerRequests(ctx) }) // ends with ctx
	}
	defer answering.Wait()
	s.handleMessages()
	s.run(ctx)
	return nil
}

// session is one run of a Component. Its fields are immutable.
type session struct {
	component      *Component
	runtime        fleet.Runtime
	leadership     replication.Leadership
	term           time.Duration        // term of quotas
	requests       chan receivedRequest // requests of other poolers that wait for an answer
	leaderObserved chan struct{}        // wakes run when another pooler has announced its leadership
}

// run sends requests and handles changes of the leadership and of the documents until ctx is done.
func (s *session) run(ctx context.Context) {
	s.waitForRandomDelay(ctx)
	regularRequests := time.NewTicker(s.component.requestInterval())
	defer regularRequests.Stop()
	earlyRequests := time.NewTicker(max(minEarlyRequestInterval, time.Duration(s.component.options.FleetSize)*earlyRequestIntervalPerPooler))
	defer earlyRequests.Stop()
	refusalLog := time.NewTicker(refusalLogInterval)
	defer refusalLog.Stop()
	var logged Metrics
	documentsChanged := s.runtime.View.Changed()
	s.syncLimits(ctx)
	for ctx.Err() == nil {
		select {
		case <-s.leadership.Changed():
			s.updateLeadership()
		case <-documentsChanged:
			documentsChanged = s.runtime.View.Changed()
			s.syncLimits(ctx)
		case <-regularRequests.C:
			s.updateLeadership()
			s.sendRequest(ctx)
			s.syncLimits(ctx)
		case <-refusalLog.C:
			logged = s.logRefusals(logged)
		case <-earlyRequests.C:
			s.sendEarlyRequest(ctx)
		case <-s.leaderObserved:
			s.sendEarlyRequest(ctx)
		case <-ctx.Done():
		}
	}
}

// waitForRandomDelay waits for a random part of the interval between regular requests, so that poolers that start at the same time do not
// send their requests at the same time.
func (s *session) waitForRandomDelay(ctx context.Context) {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(s.component.requestInterval()))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// updateLeadership begins or ends allocation by this pooler, and announces its leadership to the other poolers.
func (s *session) updateLeadership() {
	token, _, leads := s.leadership.Token()
	if !leads {
		s.endAllocation()
		return
	}
	s.beginAllocation(token)
	s.component.ObserveLeader(s.runtime.Bus.Self(), token)
	s.announceLeadership(token)
}

// endAllocation ends allocation by this pooler, if it has begun. It keeps the allocator: an expired lease can be renewed under the same
// token, and poolers that apply a grant with that token report only its number, which a new allocator would not know.
func (s *session) endAllocation() {
	c := s.component
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allocating {
		return
	}
	c.allocating = false
	s.runtime.Log.Info().Uint64("token", c.allocator.token).Msg("quota: another pooler allocates from now on")
}

// beginAllocation begins allocation by this pooler with a token, unless it has begun. It reuses the allocator if it has the same token.
func (s *session) beginAllocation(token uint64) {
	c := s.component
	c.mu.Lock()
	defer c.mu.Unlock()
	sameToken := c.allocator != nil && c.allocator.token == token
	if c.allocating && sameToken {
		return
	}
	if !sameToken {
		c.allocator = NewAllocator(token, s.term, c.options.Drift, s.poolerCount(), c.Limits())
	}
	c.allocating = true
	s.runtime.Log.Info().Uint64("token", token).Msg("quota: this pooler allocates from now on")
	s.runtime.Audit(audit.Record{Act: audit.QuotasAllocated, Token: token})
}

// activeAllocator returns the allocator if this pooler is the leader with the allocator's token, and nil otherwise.
func (s *session) activeAllocator() *Allocator {
	token, _, leads := s.leadership.Token()
	s.component.mu.Lock()
	defer s.component.mu.Unlock()
	allocator := s.component.allocator
	if !leads || allocator == nil || allocator.token != token {
		return nil
	}
	return allocator
}

// poolerCount returns the number of poolers that share a reserve: the number in the settings, or the number of poolers alive if it is larger.
func (s *session) poolerCount() int {
	return max(s.component.options.FleetSize, s.runtime.Bus.Size())
}

// syncLimits applies the limits in the fleet's document. At the leader it also writes the limits in the operator's file to the document if
// they are newer.
func (s *session) syncLimits(ctx context.Context) {
	document, found := s.runtime.View.Get(Document)
	var limits config.Limits
	if found {
		var err error
		limits, err = config.ParseLimits(document.Value)
		if err != nil { // written by a newer build: keep the limits in force
			s.runtime.Log.Error().Err(err).Uint64("version", document.Version).Msg("quota: decoding the fleet's limits failed; keeping the previous limits")
			return
		}
	}
	if s.component.SetLimits(limits) {
		s.runtime.Log.Info().Uint64("revision", limits.Revision).Int("limits", len(limits.List)).Msg("quota: limits applied")
	}
	allocator := s.activeAllocator()
	if allocator == nil {
		return
	}
	allocator.SetLimits(s.component.Limits())
	if proposed := s.component.proposedLimits(); proposed.Revision > limits.Revision {
		s.writeLimits(ctx, proposed, document.Version, allocator.token)
	}
}

// writeLimits writes the limits in the operator's file to the fleet's document. After a failure the next syncLimits tries again.
func (s *session) writeLimits(ctx context.Context, limits config.Limits, version, token uint64) {
	value, err := json.Marshal(limits)
	if err != nil {
		s.runtime.Log.Error().Err(err).Msg("quota: encoding the limits from the file failed")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.component.requestInterval())
	defer cancel()
	_, err = s.runtime.Store.Put(ctx, Document, version, value, replication.Fence{Lease: LeaseName, Token: token})
	if err != nil && !errors.Is(err, replication.ErrConflict) {
		s.runtime.Log.Warn().Err(err).Msg("quota: writing the limits from the file to the voters failed; will retry")
	}
}

// logRefusals logs each limit that had no token available since the metrics in logged: how often that was, and the rate in force at this
// pooler. It returns the current metrics.
func (s *session) logRefusals(logged Metrics) Metrics {
	metrics := s.component.Metrics()
	leader, token := s.component.Leader()
	for limit, total := range metrics.Refused {
		if refused := total - logged.Refused[limit]; refused > 0 {
			s.runtime.Log.Info().Str("limit", limit).Uint64("refused", refused).Float64("rate_here", metrics.Rate[limit]).
				Str("leader", leader).Uint64("token", token).Msg("quota: limit reached")
		}
	}
	return metrics
}
