package outlier

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet"
)

// topicReport is the topic on which reports are broadcast.
const topicReport = "verdict"

const (
	// evaluationInterval is the minimum time between two evaluations. In a fleet of more than 100 poolers the interval is 1 ms for each
	// pooler, as the cost of an evaluation grows with the fleet.
	evaluationInterval = 100 * time.Millisecond
	// trafficLogInterval is the time between two log lines about report traffic.
	trafficLogInterval = 10 * time.Second
	// membersInterval is the time between two reads of the fleet's members. With hundreds of members, reading them takes longer than an
	// evaluation without complaints.
	membersInterval = time.Second
)

// Host enforces the fleet's ejections at this pooler. Its methods may be called from any goroutine and must not block.
type Host interface {
	// SetEjected sets whether the fleet ejects a server. The host combines this with the pooler's own evidence.
	SetEjected(server string, ejected bool)
	// ReportPrimaryDown reports that enough poolers have lost the primary of a group.
	ReportPrimaryDown(group int)
	// Members returns, by group, the servers that were listed as ready when the host last refreshed them.
	Members() map[int][]string
}

// Component is one pooler's part of the fleet's outlier detection. It implements fleet.Component, and dispatch.Guard to divert reads from an
// ejected server while other poolers probe it. MaySend must not be called for a request that only one member of its group can serve: a
// write, or a read that must see the latest write. Component is safe for concurrent use.
type Component struct {
	settings Settings
	host     Host
	jitter   float64 // in [0, 1): lengthens this pooler's ejections, so that the poolers do not all return to a server at once

	mu         sync.Mutex // guards the fields below
	fleet      []string   // names of the poolers that are alive
	local      localEvidence
	reports    reportStore // reports of the other poolers
	ejections  ejections
	selection  selection
	tenants    tenantCounts
	hotTenants ejections // findings that a tenant is hot, tracked like ejections, by tenant
	reporter   reporter
	notifier   notifier
	counts     reportCounts // since the last traffic log line
}

var (
	_ fleet.Component = (*Component)(nil)
	_ dispatch.Guard  = (*Component)(nil)
)

// New returns a component without any evidence. zone is the zone of this pooler.
func New(settings Settings, zone string, host Host) *Component {
	return &Component{
		settings:   settings,
		host:       host,
		jitter:     rand.Float64(),
		local:      newLocalEvidence(),
		reports:    newReportStore(),
		ejections:  ejections{},
		selection:  newSelection(),
		hotTenants: ejections{},
		reporter:   reporter{startedAt: time.Now().UnixNano(), zone: zone},
		notifier:   newNotifier(),
	}
}

// Observe records a finished attempt at a server, for a request of a class, with its outcome and latency.
func (c *Component) Observe(server string, class int, outcome Outcome, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.observe(time.Now(), server, class, outcome, latency)
}

// LostPrimary records that this pooler no longer regards server as the primary of its group.
func (c *Component) LostPrimary(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.recordLostPrimary(time.Now(), server)
}

// Hot reports whether a tenant sends at least half of all requests at most poolers. The result is advisory: the package does not act on
// it.
func (c *Component) Hot(tenant string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hotTenants.isEjected(tenant)
}

// Admit implements dispatch.Guard. It admits every request, and counts a request with a key for the tenant of that key.
func (c *Component) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	if r.Key != "" {
		c.mu.Lock()
		c.tenants.observe(time.Now(), r.Key)
		c.mu.Unlock()
	}
	return dispatch.Admission{}
}

// MaySend implements dispatch.Guard. It returns dispatch.SendElsewhere for an ejected server, unless this pooler is one of its current
// probers, has fresh good answers from it, or knows no other member of the group that is responsive.
func (c *Component) MaySend(_ time.Duration, _ *dispatch.Request, server string) dispatch.SendDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.selection.ejected[server] || c.selection.probing[server] || c.local.overridesFleet(now, server) {
		return dispatch.Send
	}
	isResponsive := func(member string) bool { return c.local.isResponsive(now, member) }
	if slices.ContainsFunc(c.selection.alternatives[server], isResponsive) {
		return dispatch.SendElsewhere
	}
	return dispatch.Send
}

// RequestEnded implements dispatch.Guard. It does nothing: outcomes are counted for each attempt (Observe), not for final answers.
func (c *Component) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}

// Run implements fleet.Component. It receives reports, evaluates the evidence and sends reports until ctx is done. It never returns an
// error: without the fleet's evidence the pooler relies on its own.
func (c *Component) Run(ctx context.Context, r fleet.Runtime) error {
	r.Bus.Handle(topicReport, func(from string, body []byte) { c.receive(r, from, body) })
	traffic := time.NewTicker(trafficLogInterval)
	defer traffic.Stop()
	members := time.NewTicker(membersInterval)
	defer members.Stop()
	c.updateFleet(r)
	evaluation := time.NewTimer(c.evaluationDelay())
	defer evaluation.Stop()
	for {
		evaluation.Reset(c.evaluationDelay())
		select {
		case <-ctx.Done():
			return nil
		case <-traffic.C:
			c.logTraffic(r)
		case <-members.C:
			c.updateFleet(r)
		case <-evaluation.C:
			c.evaluate(time.Now(), r)
		}
	}
}
