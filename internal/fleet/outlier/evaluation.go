package outlier

import (
	"time"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
)

// receive stores a report received from another pooler. A report that cannot be decoded is ignored.
func (c *Component) receive(r fleet.Runtime, from string, body []byte) {
	report, err := decode(body)
	if err != nil {
		r.Log.Debug().Err(err).Str("from", from).Msg("outlier: invalid report ignored")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.addReceived(len(body))
	c.reports.add(time.Now(), from, report, reportLifetime(len(c.fleet)))
}

// updateFleet reads which poolers are alive from the bus.
func (c *Component) updateFleet(r fleet.Runtime) {
	members := r.Bus.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = members
}

// evaluationDelay returns the time to wait before the next evaluation.
func (c *Component) evaluationDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(evaluationInterval, time.Duration(len(c.fleet))*time.Millisecond)
}

// evidence is the input of one evaluation.
type evidence struct {
	own              Report           // this pooler's observations of servers and tenants
	reports          []observerReport // current reports of all observers, including own
	reportedByOthers map[string]bool  // servers of which another observer reports a complaint or a lost primary
}

// gather returns the current evidence.
func (c *Component) gather(now time.Time, self string) evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := evidence{own: c.local.newReport(now), reports: c.reports.current(now)}
	e.own.StartedAt, e.own.Zone = c.reporter.startedAt, c.reporter.zone
	e.reportedByOthers = reportableNames(e.reports, serversOf)
	e.own.Tenants = c.tenants.observations(now, reportableNames(e.reports, tenantsOf))
	e.reports = append(e.reports, observerReport{self, e.own})
	return e
}

// outcome holds the decisions of one evaluation.
type outcome struct {
	serverChanges, tenantChanges []change
	hostEjections                map[string]bool // arguments for Host.SetEjected: whether each server is ejected
	hostPrimaryDowns             []int           // arguments for Host.ReportPrimaryDown: groups
	report                       []byte          // encoded report to broadcast; nil if none is due
}

// evaluate decides from the current evidence, notifies the host, broadcasts a report if one is due, and writes the changes to the log and
// the journal. It aggregates the reports without holding the mutex: with hundreds of reports that would block the pooler's event loops for
// too long.
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

// decide updates the state of the component with the findings about servers and tenants, and returns the resulting decisions.
func (c *Component) decide(now time.Time, self string, groups map[int][]string, e evidence, servers, tenants map[string]Finding) (decided outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	decided.serverChanges = c.ejections.update(now, c.settings, servers, c.jitter)
	decided.tenantChanges = c.hotTenants.update(now, c.settings, tenants, c.jitter)
	c.selection.update(now, c.settings, c.ejections.isEjected, groups, self, c.fleet)
	decided.hostEjections = c.notifier.dueEjections(now, c.selection.ejected, func(server string) bool { return c.local.overridesFleet(now, server) })
	decided.hostPrimaryDowns = c.notifier.duePrimaryDowns(now, groups, func(server string) bool { return c.settings.shouldReportPrimaryDown(servers[server]) })
	decided.report = c.reporter.dueReport(now, e.own, reportingContext{c.settings, e.reportedByOthers, servers, c.ejections.isEjected, len(c.fleet)})
	if decided.report != nil {
		c.counts.addSent(len(decided.report))
	}
	return decided
}

// logTraffic logs how many reports were sent and received since the previous call, if any were.
func (c *Component) logTraffic(r fleet.Runtime) {
	c.mu.Lock()
	counts := c.counts
	c.counts = reportCounts{}
	c.mu.Unlock()
	if counts.sent+counts.received > 0 {
		r.Log.Info().Int("sent", counts.sent).Int("sent_bytes", counts.sentBytes).Int("received", counts.received).
			Int("received_bytes", counts.receivedBytes).Dur("in", trafficLogInterval).Msg("outlier: report traffic")
	}
}

// audit writes the beginning or the end of an ejection to the journal. A renewal is not recorded.
func (c change) audit(r fleet.Runtime) {
	switch {
	case c.kind == changeRenewed:
	case c.active:
		r.Audit(audit.Record{Act: audit.EjectionBegun, Server: c.server})
	default:
		r.Audit(audit.Record{Act: audit.EjectionEnded, Server: c.server})
	}
}

// log logs a change with its evidence. key is the log field that names the server or tenant, and prefix begins the message.
func (c change) log(r fleet.Runtime, key, prefix string) {
	r.Log.Info().Str(key, c.server).Str("evidence", c.finding.String()).Int("times", c.consecutive).Time("until", c.until).Msg(prefix + string(c.kind))
}
