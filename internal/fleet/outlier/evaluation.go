package outlier

import (
	"time"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
)

// receive keeps another pooler's report. One that can't be decoded has no effect.
func (c *Component) receive(r fleet.Runtime, from string, body []byte) {
	report, err := decode(body)
	if err != nil {
		r.Log.Debug().Err(err).Str("from", from).Msg("outlier: report refused")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.addReceived(len(body))
	c.reports.add(time.Now(), from, report, reportLifetime(len(c.fleet)))
}

// updateFleet looks which poolers are alive.
func (c *Component) updateFleet(r fleet.Runtime) {
	members := r.Bus.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = members
}

// evaluationDelay returns how long to wait before the next evaluation.
func (c *Component) evaluationDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(evaluationInterval, time.Duration(len(c.fleet))*time.Millisecond)
}

// evidence is what is known at one evaluation.
type evidence struct {
	own     Report           // this pooler's observations, and those of tenants
	reports []observerReport // of all observers, the own one among them
	accused map[string]bool  // servers that others complain of
}

// gather returns the evidence as of now.
func (c *Component) gather(now time.Time, self string) evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := evidence{own: c.local.newReport(now), reports: c.reports.current(now)}
	e.own.StartedAt, e.own.Zone = c.reporter.startedAt, c.reporter.zone
	e.accused = complainedAbout(e.reports, serversOf)
	e.own.Tenants = c.tenants.observations(now, complainedAbout(e.reports, tenantsOf))
	e.reports = append(e.reports, observerReport{self, e.own})
	return e
}

// outcome is what an evaluation has decided.
type outcome struct {
	serverChanges, tenantChanges []change
	hostEjections                map[string]bool // by server: what the host is to be told
	hostPrimaryDowns             []int           // groups
	report                       []byte          // to be broadcast; nil: none
}

// evaluate decides by all evidence, tells the host, reports, and writes the changes to the log and the journal. The reports are joined
// without the mutex: of hundreds that takes longer than the pooler's event loops should wait.
func (c *Component) evaluate(now time.Time, r fleet.Runtime) {
	groups := c.host.Members()
	e := c.gather(now, r.Bus.Self())
	servers, tenants := aggregateServers(e.reports), aggregateTenants(e.reports)
	decided := c.decide(now, r.Bus.Self(), groups, e, servers, tenants)

	for server, ejected := range decided.hostEjections {
		c.host.SetEjected(server, ejected)
	}
	for _, group := range decided.hostPrimaryDowns {
		c.host.ReportPrimaryDown(group)
	}
	if decided.report != nil {
		r.Bus.Broadcast(topicReport, decided.report)
	}
	for _, change := range decided.serverChanges {
		change.audit(r)
		change.log(r, "server", "outlier: ")
	}
	for _, change := range decided.tenantChanges {
		change.log(r, "tenant", "outlier: hot tenant: ")
	}
}

// decide updates the ejections and what follows from them by the findings on servers and tenants.
func (c *Component) decide(now time.Time, self string, groups map[int][]string, e evidence, servers, tenants map[string]Finding) (decided outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decided.serverChanges = c.ejections.update(now, c.settings, servers, c.jitter)
	decided.tenantChanges = c.hotTenants.update(now, c.settings, tenants, c.jitter)
	c.selection.update(now, c.settings, c.ejections.isEjected, groups, self, c.fleet)
	decided.hostEjections = c.notifier.dueEjections(now, c.selection.ejected, func(server string) bool { return c.local.overridesFleet(now, server) })
	decided.hostPrimaryDowns = c.notifier.duePrimaryDowns(now, groups, func(server string) bool { return c.settings.shouldReportPrimaryDown(servers[server]) })
	decided.report = c.reporter.due(now, e.own, reportingContext{c.settings, e.accused, servers, c.ejections.isEjected, len(c.fleet)})
	if decided.report != nil {
		c.counts.addSent(len(decided.report))
	}
	return decided
}

// logTraffic logs the reports sent and received lately, if there were any.
func (c *Component) logTraffic(r fleet.Runtime) {
	c.mu.Lock()
	counts := c.counts
	c.counts = reportCounts{}
	c.mu.Unlock()
	if counts.sent+counts.received > 0 {
		r.Log.Info().Int("sent", counts.sent).Int("sent_bytes", counts.sentBytes).Int("received", counts.received).
			Int("received_bytes", counts.receivedBytes).Dur("in", trafficLogInterval).Msg("outlier: reports")
	}
}

// audit writes the beginning or the end of an ejection to the journal.
func (c change) audit(r fleet.Runtime) {
	switch {
	case c.kind == changeRenewed:
	case c.active:
		r.Audit(audit.Record{Act: audit.EjectionBegun, Server: c.server})
	default:
		r.Audit(audit.Record{Act: audit.EjectionEnded, Server: c.server})
	}
}

// log writes a change to the log, with its evidence.
func (c change) log(r fleet.Runtime, key, prefix string) {
	r.Log.Info().Str(key, c.server).Str("evidence", c.finding.String()).Int("times", c.consecutive).Time("until", c.until).Msg(prefix + string(c.kind))
}
