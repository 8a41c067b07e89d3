package outlier

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/policy"
)

const (
	topicReport        = "verdict"
	evaluationInterval = 100 * time.Millisecond // looks at the evidence; a fleet of more than 100 each 1 ms a pooler, as each look costs so much more
	trafficLogInterval = 10 * time.Second       // tells the log of what was said and heard, if anything was
	repeatInterval     = time.Second            // a word that stands is given to the module again: it may not have been able to take it
)

// Host carries out what the fleet's word means for this pooler. Its methods may be called on any goroutine and must not wait.
type Host interface {
	// SetEjected tells that the fleet holds a server to be bad, or no longer; the module weighs it against its own evidence.
	SetEjected(server string, bad bool)
	// ReportPrimaryDown tells that several poolers have lost a group's primary.
	ReportPrimaryDown(group int)
	// Members are the servers that are listed as ready, by group, as of lately.
	Members() map[int][]string
}

// Component is one pooler's share in the fleet's verdicts. It is a fleet.Part, and a routing.Guard that keeps reads from trying a
// convicted server while others do. MaySend must not be asked of a request that one member of its group alone can serve: a
// write, or a read of what was written just now. It is safe for use by several goroutines.
type Component struct {
	settings       Settings
	zone           string
	host           Host
	startedAt      int64
	jitterFraction float64 // of this pooler's verdicts, so that not all go back to a server at once

	mu                    sync.Mutex
	members               []string // poolers held to be alive; only Run changes it
	local                 localEvidence
	reports               reportStore
	ejections             ejections
	tenants               tenantCounts
	hotTenants            ejections           // by tenant
	ejected               map[string]bool     // servers that the fleet leaves
	alternatives          map[string][]string // of each, the members of its group that it does not leave
	probing               map[string]bool     // of those left, the ones that this pooler is to try now
	sequence              uint64
	complained            map[string]bool      // servers that the last report complains of
	nextReportAt          time.Time            // not before the next one
	hostNotifiedAt        map[string]time.Time // words given to the host, and when last
	primaryDownNotifiedAt map[int]time.Time

	// Reports said and heard since the log was told last, and their bytes.
	reportsSent, reportBytesSent, reportsReceived, reportBytesReceived int
}

// New returns a part that has seen nothing. room is the pooler's zone.
func New(r Settings, room string, host Host) *Component {
	return &Component{settings: r, zone: room, host: host, startedAt: time.Now().UnixNano(), jitterFraction: rand.Float64(), local: newLocalEvidence(), reports: reportStore{reports: map[string]storedReport{}},
		ejections: ejections{}, hotTenants: ejections{}, ejected: map[string]bool{}, alternatives: map[string][]string{}, probing: map[string]bool{}, hostNotifiedAt: map[string]time.Time{}, primaryDownNotifiedAt: map[int]time.Time{}}
}

// Observe takes in the end of an attempt: what it met with, and how long it took.
func (p *Component) Observe(server string, class int, kind Outcome, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.observe(time.Now(), server, class, kind, took)
}

// LostPrimary takes in that a server was its group's primary here and has lost that place by evidence.
func (p *Component) LostPrimary(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.local.recordLostPrimary(time.Now(), server)
}

// Admit passes every request, and counts it for its tenant: the key that it names, if any.
func (p *Component) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	if r.Key != "" {
		p.mu.Lock()
		p.tenants.observe(time.Now(), r.Key)
		p.mu.Unlock()
	}
	return dispatch.Admission{}
}

// Hot tells whether the fleet holds a tenant to make half of all requests or more. It is advice: nothing here acts by it.
func (p *Component) Hot(tenant string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hotTenants.isEjected(tenant)
}

// RequestEnded has no use for final answers: attempts say more.
func (p *Component) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}

// MaySend keeps a read off a server that the fleet leaves, trials of the module's among them, unless this pooler is one that
// tries it now, has good answers of it, or knows of no other member that answers: it is then no worse than none.
func (p *Component) MaySend(_ time.Duration, _ *dispatch.Request, server string) dispatch.SendDecision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !p.ejected[server] || p.probing[server] || p.local.overridesFleet(now, server) {
		return dispatch.Send
	}
	for _, m := range p.alternatives[server] {
		if l := p.local.observation(now, m, evidenceSpan); l.Good > 0 && !l.complains() {
			return dispatch.SendElsewhere
		}
	}
	return dispatch.Send
}

// Run hears, tells and judges until ctx ends. It returns no error: without the fleet's word the pooler goes by its own.
func (p *Component) Run(ctx context.Context, g fleet.Runtime) error {
	g.Bus.Handle(topicReport, func(from string, body []byte) {
		r, err := decode(body)
		if err != nil {
			g.Log.Debug().Err(err).Str("from", from).Msg("verdict: a report is refused")
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reportsReceived, p.reportBytesReceived = p.reportsReceived+1, p.reportBytesReceived+len(body)
		p.reports.add(time.Now(), from, r, reportLifetime(len(p.members)))
	})
	told := time.NewTicker(trafficLogInterval)
	defer told.Stop()
	members := time.NewTicker(repeatInterval)
	defer members.Stop()
	p.updateMembers(g)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-told.C:
			p.logTraffic(g)
		case <-members.C:
			p.updateMembers(g)
		case <-time.After(max(evaluationInterval, time.Duration(len(p.members))*time.Millisecond)):
			p.evaluate(time.Now(), g)
		}
	}
}

// updateMembers takes in who is alive. Each second is enough, and of hundreds it takes longer than to judge in a calm.
func (p *Component) updateMembers(g fleet.Runtime) {
	members := g.Bus.Members()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = members
}

// evaluate judges, tells, and gives the host the fleet's word.
func (p *Component) evaluate(now time.Time, g fleet.Runtime) {
	groups := p.host.Members()
	p.mu.Lock()
	report := Report{StartedAt: p.startedAt, SentAt: now.UnixNano(), Zone: p.zone}
	report.Servers, report.ServersSeen = p.local.observations(now)
	report.Complaints = countComplaints(report.Servers)
	for _, l := range report.Servers {
		report.FailedAttempts, report.Attempts = report.FailedAttempts+int(l.Failed+l.Slow), report.Attempts+int(l.Good+l.Failed+l.Slow)
	}
	voices := p.reports.current(now)
	servers := complainedAbout(voices, func(v observerReport) []Observation { return v.Servers }) // by others
	report.Tenants = p.tenants.observations(now, complainedAbout(voices, func(v observerReport) []Observation { return v.Tenants }))
	p.mu.Unlock() // joining what hundreds say takes longer than a front's loop should wait
	voices = append(voices, observerReport{g.Bus.Self(), report})
	found, hot := aggregateServers(voices), aggregateTenants(voices)
	p.mu.Lock()
	changes := p.ejections.update(now, p.settings, found, p.jitterFraction)
	tenants := p.hotTenants.update(now, p.settings, hot, p.jitterFraction)
	p.updateEjected(now, g.Bus.Self(), p.members, groups)
	words, suspects := p.dueEjections(now), p.duePrimaryDowns(now, found, groups)
	cast := p.dueReport(now, report, servers, found, len(p.members))
	p.mu.Unlock()

	for server, bad := range words {
		p.host.SetEjected(server, bad)
	}
	for _, group := range suspects {
		p.host.ReportPrimaryDown(group)
	}
	if cast != nil {
		g.Bus.Broadcast(topicReport, cast)
	}
	for _, c := range changes {
		c.record(g)
	}
	for _, c := range tenants {
		c.log(g, "tenant", "hot tenant: ")
	}
}

// updateEjected works out which servers the fleet leaves, with what is left of their groups, and which of them this pooler is to try.
func (p *Component) updateEjected(now time.Time, self string, fleetOf []string, groups map[int][]string) {
	clear(p.ejected)
	clear(p.alternatives)
	clear(p.probing)
	for _, members := range groups {
		for _, s := range p.settings.selectEjected(members, p.ejections.isEjected) {
			p.ejected[s] = true
			p.probing[s] = p.settings.isProber(now, self, fleetOf, s)
		}
		for _, s := range members {
			if p.ejected[s] {
				p.alternatives[s] = slices.DeleteFunc(slices.Clone(members), func(m string) bool { return p.ejected[m] })
			}
		}
	}
}

// isProber tells whether a pooler is one of the few that may try a convicted server now. Who that is follows from the time and
// the names alone; poolers whose clocks or members differ may try beside each other, or leave a turn out.
func (r Settings) isProber(now time.Time, self string, fleetOf []string, server string) bool {
	turn := now.UnixNano() / int64(probeInterval)
	rank := func(name string) uint64 {
		return xxhash.Sum64String(name + "\x00" + server + "\x00" + strconv.FormatInt(turn, 10))
	}
	mine, before := rank(self), 0
	for _, name := range fleetOf {
		if name != self && rank(name) < mine {
			before++
		}
	}
	return before < max(minProbers*r.MinObservers, int(proberShare*float64(len(fleetOf))))
}

// dueEjections is what the host is to be told: each server's word when it changes, and again while it stands, but for
// one that this pooler's own evidence outranks.
func (p *Component) dueEjections(now time.Time) map[string]bool {
	out := map[string]bool{}
	for server := range p.ejected {
		if at, ok := p.hostNotifiedAt[server]; (!ok || now.Sub(at) >= repeatInterval) && !p.local.overridesFleet(now, server) {
			out[server], p.hostNotifiedAt[server] = true, now
		}
	}
	for server := range p.hostNotifiedAt {
		if !p.ejected[server] {
			out[server] = false
			delete(p.hostNotifiedAt, server)
		}
	}
	return out
}

// duePrimaryDowns are the groups whose primary enough observers have lost, each told once a second while that stands.
func (p *Component) duePrimaryDowns(now time.Time, found map[string]Finding, groups map[int][]string) (out []int) {
	for group, members := range groups {
		if slices.ContainsFunc(members, func(m string) bool { return p.settings.shouldReportPrimaryDown(found[m]) }) && now.Sub(p.primaryDownNotifiedAt[group]) >= repeatInterval {
			p.primaryDownNotifiedAt[group] = now
			out = append(out, group)
		}
	}
	maps.DeleteFunc(p.primaryDownNotifiedAt, func(_ int, at time.Time) bool { return now.Sub(at) > ejectionMemory })
	return out
}

// logTraffic tells the log what was said and heard lately; a calm fleet has nothing to tell.
func (p *Component) logTraffic(g fleet.Runtime) {
	p.mu.Lock()
	said, saidBytes, heard, heardBytes := p.reportsSent, p.reportBytesSent, p.reportsReceived, p.reportBytesReceived
	p.reportsSent, p.reportBytesSent, p.reportsReceived, p.reportBytesReceived = 0, 0, 0, 0
	p.mu.Unlock()
	if said+heard > 0 {
		g.Log.Info().Int("said", said).Int("said_bytes", saidBytes).Int("heard", heard).Int("heard_bytes", heardBytes).Dur("in", trafficLogInterval).Msg("verdict: reports")
	}
}

// dueReport is the report that is due now, or nil. A pooler speaks while it complains, while it has evidence of a server that
// another complains of or that is convicted, as long as its side needs voices, and once more to take back a complaint: a calm
// fleet is silent.
func (p *Component) dueReport(now time.Time, r Report, accused map[string]bool, found map[string]Finding, n int) []byte {
	r.Servers = slices.DeleteFunc(r.Servers, func(l Observation) bool {
		return !l.isReportable() && !accused[l.Server] && !p.ejections.isEjected(l.Server)
	})
	complains, due := map[string]bool{}, len(r.Tenants) > 0
	for _, l := range r.Servers {
		due = due || l.LostPrimary || !p.settings.sufficientlyReported(found[l.Server], l.complains())
		if l.complains() {
			complains[l.Server] = true
		}
	}
	for server := range p.complained {
		due = due || !complains[server]
	}
	if !due || now.Before(p.nextReportAt) {
		return nil
	}
	p.complained = complains
	p.sequence++
	r.Sequence = p.sequence
	text := r.encode()
	p.reportsSent, p.reportBytesSent = p.reportsSent+1, p.reportBytesSent+len(text)
	p.nextReportAt = now.Add(time.Duration((0.75 + rand.Float64()/2) * float64(reportInterval(n))))
	return text
}

// record writes a change to the log and the journal.
func (c change) record(g fleet.Runtime) {
	act := audit.EjectionEnded
	if c.active {
		act = audit.EjectionBegun
	}
	if c.kind != changeRenewed {
		g.Audit(audit.Record{Act: act, Server: c.server})
	}
	c.log(g, "server", "verdict: ")
}

func (c change) log(g fleet.Runtime, key, what string) {
	g.Log.Info().Str(key, c.server).Str("evidence", c.finding.String()).Int("times", c.consecutive).Time("until", c.until).Msg(what + c.kind)
}

// FromResult is what an attempt's result, as routing.Core.OnOutcome tells it, says of its server; ok: anything.
func FromResult(r policy.Result) (kind Outcome, ok bool) {
	switch r {
	case policy.OK:
		return Success, true
	case policy.ConnectFailed, policy.ConnectionReset, policy.ServerError:
		return Failure, true
	case policy.TimedOut, policy.Cancelled:
		return Timeout, true
	}
	return 0, false // turned or sent away: it may be busy, or not the primary
}
