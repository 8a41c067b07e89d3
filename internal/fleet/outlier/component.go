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

// topicReport is the topic of reports.
const topicReport = "verdict"

const (
	// evaluationInterval is the time between two evaluations; a fleet of more than 100 has 1 ms for each pooler, as each evaluation takes
	// so much longer.
	evaluationInterval = 100 * time.Millisecond
	// trafficLogInterval is the time between two lines on the reports' traffic.
	trafficLogInterval = 10 * time.Second
	// membersInterval is the time between two looks at the fleet's members: of hundreds that takes longer than to evaluate in a calm.
	membersInterval = time.Second
)

// Host carries ejections out at this pooler. Its methods may be called on any goroutine and must not wait.
type Host interface {
	// SetEjected tells that the fleet ejects a server, or no longer; the pooler weighs that against its own evidence.
	SetEjected(server string, ejected bool)
	// ReportPrimaryDown tells that several poolers have lost a group's primary.
	ReportPrimaryDown(group int)
	// Members returns the servers that are listed as ready, by group, as of lately.
	Members() map[int][]string
}

// Component is the fleet's outlier detection at one pooler. It is a fleet.Component, and a dispatch.Guard that keeps reads off an ejected
// server while other poolers probe it. MaySend must not be asked about a request that only one member of its group can serve: a write, or
// a read of what was written just now. It is safe for use by several goroutines.
type Component struct {
	settings Settings
	host     Host
	jitter   float64 // of this pooler's ejections, so that not all poolers return to a server at once

	mu         sync.Mutex // guards the fields below
	fleet      []string   // poolers that are alive
	local      localEvidence
	reports    reportStore // of the others
	ejections  ejections
	selection  selection
	tenants    tenantCounts
	hotTenants ejections // by tenant
	reporter   reporter
	notifier   notifier
	counts     reportCounts
}

var (
	_ fleet.Component = (*Component)(nil)
	_ dispatch.Guard  = (*Component)(nil)
)

// New returns a component that has seen nothing. zone is the pooler's.
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

// Observe records the end of an attempt: its outcome, and how long it took.
func (c *Component) Observe(server string, class int, outcome Outcome, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.observe(time.Now(), server, class, outcome, latency)
}

// LostPrimary records that a server was its group's primary here, and has lost that place by evidence.
func (c *Component) LostPrimary(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local.recordLostPrimary(time.Now(), server)
}

// Hot reports whether a tenant makes half of all requests or more at most poolers. It is advice: nothing here acts by it.
func (c *Component) Hot(tenant string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hotTenants.isEjected(tenant)
}

// Admit implements dispatch.Guard: it admits every request, and counts it for the tenant whose key it names, if any.
func (c *Component) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	if r.Key != "" {
		c.mu.Lock()
		c.tenants.observe(time.Now(), r.Key)
		c.mu.Unlock()
	}
	return dispatch.Admission{}
}

// MaySend implements dispatch.Guard: it keeps a read off an ejected server unless this pooler is to probe it now, has good answers of it,
// or knows of no other member that answers.
func (c *Component) MaySend(_ time.Duration, _ *dispatch.Request, server string) dispatch.SendDecision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.selection.ejected[server] || c.selection.probing[server] || c.local.overridesFleet(now, server) {
		return dispatch.Send
	}
	answers := func(member string) bool { return c.local.answers(now, member) }
	if slices.ContainsFunc(c.selection.alternatives[server], answers) {
		return dispatch.SendElsewhere
	}
	return dispatch.Send
}

// RequestEnded implements dispatch.Guard. Attempts say more than final answers, which have no effect.
func (c *Component) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}

// Run implements fleet.Component: it receives reports, evaluates and reports until ctx ends. It returns no error, as the pooler goes by its
// own evidence without the fleet's.
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
