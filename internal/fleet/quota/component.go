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

// Document is the key of the document that holds the set of limits in force.
const Document = "limits/set"

const (
	// requestGapPerPooler, times the fleet's size, is the least time between requests out of turn, so that the fleet sends a thousand a
	// second at most; minRequestGap is the least time in a small fleet.
	requestGapPerPooler = time.Millisecond
	minRequestGap       = 20 * time.Millisecond
	// refusalLogInterval is how often refusals are logged, if there were any.
	refusalLogInterval = 5 * time.Second
)

// Options configure a Component.
type Options struct {
	Instance  string        // tells this process apart from the pooler's earlier processes
	Term      time.Duration // of quotas
	Drift     time.Duration // the most by which two monotonic clocks differ over a term
	FleetSize int           // poolers, by the settings
	Limits    config.Limits // of the operators' file, as it was read first
}

// Component is one pooler's part in keeping the limits: it requests quotas, and allocates them while the pooler leads. Until it runs,
// and without a leader, the Client's safe shares of the operators' limits hold. It is safe for concurrent use.
type Component struct {
	*Client
	options Options

	mu         sync.Mutex    // guards the fields below
	proposed   config.Limits // of the operators' file
	allocator  *Allocator    // of the last token by which this pooler led; nil: it has not led
	allocating bool          // the pooler leads, as updateLeadership last saw it
}

var _ fleet.Component = (*Component)(nil)

// New returns the component of one process.
func New(o Options) *Component {
	return &Component{Client: NewClient(o.Instance, o.Term, o.FleetSize, o.Limits), options: o, proposed: o.Limits}
}

// Propose takes over the operators' file when it was read again. If its revision is the highest it is in force here at once, and at all
// poolers once the leader has it.
func (c *Component) Propose(limits config.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed = limits
	c.SetLimits(limits)
}

// proposedLimits returns the limits of the operators' file.
func (c *Component) proposedLimits() config.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposed
}

// Run implements fleet.Component. It never returns an error: without a leader, messages or documents the safe shares hold.
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

// session is one run of a Component. Its fields do not change.
type session struct {
	component      *Component
	runtime        fleet.Runtime
	leadership     replication.Leadership
	term           time.Duration        // of quotas
	requests       chan receivedRequest // of other poolers, to be answered
	leaderObserved chan struct{}        // wakes run: another pooler has announced that it leads
}

// run sends requests and follows the leadership and the documents, until ctx ends.
func (s *session) run(ctx context.Context) {
	s.waitForTurn(ctx)
	inTurn := time.NewTicker(s.component.requestInterval())
	defer inTurn.Stop()
	outOfTurn := time.NewTicker(max(minRequestGap, time.Duration(s.component.options.FleetSize)*requestGapPerPooler))
	defer outOfTurn.Stop()
	logDue := time.NewTicker(refusalLogInterval)
	defer logDue.Stop()
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
		case <-inTurn.C:
			s.updateLeadership()
			s.sendRequest(ctx)
			s.syncLimits(ctx)
		case <-logDue.C:
			logged = s.logRefusals(logged)
		case <-outOfTurn.C:
			s.sendDueRequest(ctx)
		case <-s.leaderObserved:
			s.sendDueRequest(ctx)
		case <-ctx.Done():
		}
	}
}

// waitForTurn waits for a random part of the interval between requests, so that poolers that start at one instant do not send their
// requests at one instant.
func (s *session) waitForTurn(ctx context.Context) {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(s.component.requestInterval()))))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// updateLeadership begins or ends this pooler's allocation, and announces to the others that it leads.
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

// endAllocation ends this pooler's allocation, if it has begun. The allocator stays: a lease that lapsed here can be renewed under the same
// token, and poolers that apply a grant of that token report only its number, which a new allocator would not know.
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

// beginAllocation begins this pooler's allocation by a token, unless it has begun, and goes on with the token's allocator if there is one.
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

// activeAllocator returns the allocator while this pooler may act by its token; otherwise nil.
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

// poolerCount is how many poolers share a reserve: the settings' number, or those alive where they are more.
func (s *session) poolerCount() int {
	return max(s.component.options.FleetSize, s.runtime.Bus.Size())
}

// syncLimits puts the fleet's limits in force, and as the leader writes those of the operators' file where they are newer.
func (s *session) syncLimits(ctx context.Context) {
	document, found := s.runtime.View.Get(Document)
	var limits config.Limits
	if found {
		var err error
		limits, err = config.ParseLimits(document.Value)
		if err != nil { // of a newer build: what is in force stays
			s.runtime.Log.Error().Err(err).Uint64("version", document.Version).Msg("quota: fleet's limits can't be decoded")
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

// writeLimits writes the limits of the operators' file as the fleet's. A failure is made up for at the next syncLimits.
func (s *session) writeLimits(ctx context.Context, limits config.Limits, version, token uint64) {
	value, err := json.Marshal(limits)
	if err != nil {
		s.runtime.Log.Error().Err(err).Msg("quota: file's limits can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.component.requestInterval())
	defer cancel()
	_, err = s.runtime.Store.Put(ctx, Document, version, value, replication.Fence{Lease: LeaseName, Token: token})
	if err != nil && !errors.Is(err, replication.ErrConflict) {
		s.runtime.Log.Warn().Err(err).Msg("quota: file's limits not written to the voters, tried again")
	}
}

// logRefusals logs, for each limit that had no token since the last time, how often that was and what may be taken here now.
func (s *session) logRefusals(logged Metrics) Metrics {
	metrics := s.component.Metrics()
	leader, token := s.component.Leader()
	for limit, total := range metrics.Refused {
		if refused := total - logged.Refused[limit]; refused > 0 {
			s.runtime.Log.Info().Str("limit", limit).Uint64("refused", refused).Float64("rate_here", metrics.Rate[limit]).
				Str("leader", leader).Uint64("token", token).Msg("quota: no token")
		}
	}
	return metrics
}
