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

// reportInterval is the interval at which cache statistics are logged.
const reportInterval = time.Minute

// Component runs the purges of one pooler. Its exported fields must be set before Run and not changed afterwards. It is safe for concurrent
// use.
type Component struct {
	Site            string        // name of the pooler's site in the plan
	JournalPath     string        // path of the pooler's audit journal; if empty, purges recorded by earlier processes are unknown
	RotatedJournals int           // number of rotated files beside the journal
	Term            time.Duration // length of the writer's lease

	edge            atomic.Pointer[Edge] // nil unless Run is active
	proposalChanged chan struct{}        // wakes syncProposal
	eventsChanged   chan struct{}        // wakes firePurges
	wall            func() int64         // replaces the machine's wall clock if not nil; Unix ns
	clocks          *clockExchange

	mu       sync.Mutex // guards the fields below
	proposal Proposal
	guards   []*CacheGuard
}

var _ fleet.Component = (*Component)(nil)

// New returns the component of a pooler at a site, with the proposal from the operators' configuration file.
func New(site string, p Proposal) *Component {
	return &Component{
		Site:            site,
		proposal:        p,
		proposalChanged: make(chan struct{}, 1),
		eventsChanged:   make(chan struct{}, 1),
		clocks:          newClockExchange(),
	}
}

// Propose replaces the proposal after the configuration file was reloaded.
func (c *Component) Propose(next Proposal) {
	c.mu.Lock()
	c.proposal = next
	c.mu.Unlock()
	notify(c.proposalChanged)
}

func (c *Component) currentProposal() Proposal {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proposal
}

// currentGuards returns a copy of the list of guards.
func (c *Component) currentGuards() []*CacheGuard {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.guards)
}

// Run implements fleet.Component. It blocks until ctx ends and always returns nil. While the component does not run, no request is
// answered from a cache.
func (c *Component) Run(ctx context.Context, runtime fleet.Runtime) error {
	history, err := ReadHistory(c.JournalPath, c.RotatedJournals)
	if err != nil { // purges may be recorded twice; cached answers are not affected
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
	defer running.Wait() // all goroutines end with ctx
	running.Go(func() { s.followDocuments(ctx) })
	running.Go(func() { s.compareClocks(ctx) })
	running.Go(func() { s.firePurges(ctx) })
	running.Go(func() { s.syncProposal(ctx) })
	running.Go(func() { s.report(ctx) })
	return nil
}

// session is one call of Component.Run.
type session struct {
	*Component
	runtime fleet.Runtime
	edge    *Edge
}

// handlePurge records a purge in the journal, and removes the purged answers from the caches to free memory. The edge would not serve them
// even if they stayed.
func (s *session) handlePurge(e Event, now int64) {
	s.runtime.Audit(audit.Record{Act: audit.Purged, Purge: e.ID, Due: e.At})
	s.runtime.Log.Info().Str("purge", e.ID).Int64("due_ns", e.At).Int64("at_ns", now).Msg("purge: purged")
	for _, g := range s.currentGuards() {
		g.cache.Drop(e.Cluster, e.Cluster == AllClusters)
	}
}

// followDocuments makes the edge load each new version of the documents. It blocks until ctx ends.
func (s *session) followDocuments(ctx context.Context) {
	lastLogged := ""
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		s.edge.Refresh()
		notify(s.eventsChanged)
		err := s.edge.Err()
		switch {
		case err == nil:
			lastLogged = ""
		case err.Error() != lastLogged:
			lastLogged = err.Error()
			s.runtime.Log.Warn().Err(err).Msg("purge: no usable plan; cached answers are disabled")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// firePurges records each purge when it becomes due. It blocks until ctx ends.
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

// report logs cache statistics every reportInterval and when ctx ends.
func (s *session) report(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reportInterval)
		for _, g := range s.currentGuards() {
			s.runtime.Log.Info().Stringer("answers", g).Msg("purge: cache statistics")
		}
	}
}

// bounds returns the bounds of the fleet's plan, or those of this pooler's proposal if there is no readable plan.
func (s *session) bounds() Bounds {
	plan, _, err := parseDocuments(s.runtime.View.List(keyPrefix))
	if err == nil && plan != nil {
		return plan.Bounds
	}
	return s.currentProposal().Bounds
}

// notify wakes the receiver of a channel with a buffer of one element. It does not block.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// sleep blocks for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
