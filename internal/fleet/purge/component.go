package purge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
)

// reportInterval is how often what the caches did is logged.
const reportInterval = time.Minute

// Component is the purges at one pooler. Its exported fields are set before Run. It is safe for concurrent use.
type Component struct {
	Site            string
	JournalPath     string        // path of the pooler's audit journal; empty: purges of earlier processes are not known
	RotatedJournals int           // rotated files beside the journal
	Term            time.Duration // of leases

	edge            atomic.Pointer[Edge] // nil while the component does not run
	proposalChanged chan struct{}        // wakes proposePlans
	eventsChanged   chan struct{}        // wakes firePurges
	wall            func() int64         // Unix ns; nil: the machine's wall clock
	clocks          *clockExchange

	mu       sync.Mutex // guards the fields below
	proposal Proposal
	guards   []*CacheGuard
}

var _ fleet.Component = (*Component)(nil)

// New returns a component that proposes what its operators' file says.
func New(site string, p Proposal) *Component {
	return &Component{
		Site:            site,
		proposal:        p,
		proposalChanged: make(chan struct{}, 1),
		eventsChanged:   make(chan struct{}, 1),
		clocks:          newClockExchange(),
	}
}

// Propose replaces the proposal, when the operators' file was read again.
func (c *Component) Propose(next Proposal) {
	c.mu.Lock()
	c.proposal = next
	c.mu.Unlock()
	notify(c.proposalChanged)
}

// currentProposal returns the proposal.
func (c *Component) currentProposal() Proposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposal
}

// currentGuards returns the frontends' guards.
func (c *Component) currentGuards() []*CacheGuard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.guards)
}

// Run implements fleet.Component. It returns no error. While the component does not run, requests are answered as without it.
func (c *Component) Run(ctx context.Context, runtime fleet.Runtime) error {
	history, err := ReadHistory(c.JournalPath, c.RotatedJournals)
	if err != nil { // purges may be recorded again; answers are as ever
		runtime.Log.Error().Err(err).Msg("purge: journal can't be read")
	}
	s := &session{Component: c, runtime: runtime}
	s.edge = NewEdge(c.Site, runtime.View, history, s.handlePurge)
	if c.wall != nil {
		s.edge.wall = c.wall
	}
	runtime.Bus.Handle(clockTopic, func(from string, body []byte) { s.handleClockMessage(ctx, from, body) })
	c.edge.Store(s.edge)
	defer c.edge.Store(nil)
	var running sync.WaitGroup
	defer running.Wait() // all end with ctx
	running.Go(func() { s.followDocuments(ctx) })
	running.Go(func() { s.compareClocks(ctx) })
	running.Go(func() { s.firePurges(ctx) })
	running.Go(func() { s.syncProposal(ctx) })
	running.Go(func() { s.report(ctx) })
	return nil
}

// session is one run of a Component.
type session struct {
	*Component
	runtime fleet.Runtime
	edge    *Edge
}

// handlePurge records a purge, and empties the caches. Their answers would not be given any more in any case.
func (s *session) handlePurge(e Event, now int64) {
	s.runtime.Audit(audit.Record{Act: audit.Purged, Purge: e.ID, Due: e.At})
	s.runtime.Log.Info().Str("purge", e.ID).Int64("due_ns", e.At).Int64("at_ns", now).Msg("purge: purged")
	for _, g := range s.currentGuards() {
		g.cache.Drop(e.Cluster, e.Cluster == AllClusters)
	}
}

// followDocuments has the edge load each newer version of the documents.
func (s *session) followDocuments(ctx context.Context) {
	logged := ""
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		s.edge.Refresh()
		notify(s.eventsChanged)
		err := s.edge.Err()
		switch {
		case err == nil:
			logged = ""
		case err.Error() != logged:
			logged = err.Error()
			s.runtime.Log.Warn().Err(err).Msg("purge: nothing is answered from the cache")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// firePurges records purges as they come.
func (s *session) firePurges(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(s.edge.FireDue())
		select {
		case <-ctx.Done():
		case <-s.eventsChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// report logs what the caches did, now and then and at the end.
func (s *session) report(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		for _, g := range s.currentGuards() {
			s.runtime.Log.Info().Stringer("answers", g).Msg("purge: cache")
		}
	}
}

// bounds returns the fleet's bounds, or those of this pooler's proposal while it knows of no plan.
func (s *session) bounds() Bounds {
	plan, _, err := parseDocuments(s.runtime.View.List(keyPrefix))
	if err == nil && plan != nil {
		return plan.Bounds
	}
	return s.currentProposal().Bounds
}

// notify wakes the receiver of a channel that holds one element.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
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
