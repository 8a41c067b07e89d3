package outlier

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamedObservers bounds the observers that a finding names.
const maxNamedObservers = 8

// Finding is what the joined reports of all observers say of one server, and what that rests on.
type Finding struct {
	Server                           string
	Good, Failed, Slow               uint32 // attempts, of observers that count
	Complainers, Zones               int    // observers that complain, and their zones
	Satisfied                        int    // observers that have evidence and do not complain
	LostPrimary, LostPrimaryZones    int    // observers for which it lost the place of its group's primary, and their zones
	ComplainerNames                  []string
	complaintWeight, satisfiedWeight float64 // of the observations
	// Elsewhere is the median over observers of the share of their attempts at other servers that failed or were slow.
	Elsewhere float64
}

// String tells the evidence in the log.
func (f Finding) String() string {
	return fmt.Sprintf("%d observers in %d zones against %d others; %d failed, %d slow, %d good; elsewhere %.2f bad; %s",
		f.Complainers, f.Zones, f.Satisfied, f.Failed, f.Slow, f.Good, f.Elsewhere, strings.Join(f.ComplainerNames, ","))
}

// isUnreliable reports whether an observer's complaints do not count: it complains of more than half of the servers that it has evidence
// of, so that its own link is the likelier cause. Where more than half of all servers fail no server is ejected, which the share of a
// group would forbid anyway.
func isUnreliable(r Report) bool { return 2*r.Complaints > r.ServersSeen }

// aggregateServers joins the reports' observations of servers. The findings follow from the set of reports alone, whatever their order.
func aggregateServers(reports []observerReport) map[string]Finding {
	findings := aggregate(reports, serversOf, isUnreliable)
	for server, finding := range findings {
		finding.Elsewhere = failureShareElsewhere(reports, server)
		findings[server] = finding
	}
	return findings
}

// aggregateTenants joins the reports' observations of tenants, by tenant.
func aggregateTenants(reports []observerReport) map[string]Finding {
	return aggregate(reports, tenantsOf, func(Report) bool { return false })
}

func serversOf(r observerReport) []Observation { return r.Servers }
func tenantsOf(r observerReport) []Observation { return r.Tenants }

// complainedAbout returns the servers or tenants that any report complains of, or has lost as a primary.
func complainedAbout(reports []observerReport, observationsOf func(observerReport) []Observation) map[string]bool {
	names := map[string]bool{}
	for _, r := range reports {
		for _, o := range observationsOf(r) {
			if o.isReportable() {
				names[o.Server] = true
			}
		}
	}
	return names
}

// failureShareElsewhere returns how bad all other servers are to the median observer: on a day when everything is slow or fails, as on
// overloaded machines, no one server is the cause.
func failureShareElsewhere(reports []observerReport, server string) float64 {
	var shares []float64
	for _, r := range reports {
		var observation Observation
		if i := slices.IndexFunc(r.Servers, func(o Observation) bool { return o.Server == server }); i >= 0 {
			observation = r.Servers[i]
		}
		if share, ok := r.failureShareElsewhere(observation); ok {
			shares = append(shares, share)
		}
	}
	if len(shares) < minElsewhereObservers {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// findingBuilder is a finding while observations are added.
type findingBuilder struct {
	Finding
	zones            map[string]bool // of complainers
	lostPrimaryZones map[string]bool
}

// aggregate joins observations by their server. unreliable reports whether a report's complaints do not count.
func aggregate(reports []observerReport, observationsOf func(observerReport) []Observation, unreliable func(Report) bool) map[string]Finding {
	slices.SortFunc(reports, func(a, b observerReport) int { return strings.Compare(a.observer, b.observer) })
	builders := map[string]*findingBuilder{}
	for _, r := range reports {
		for _, o := range observationsOf(r) {
			builder := builders[o.Server]
			if builder == nil {
				builder = &findingBuilder{Finding: Finding{Server: o.Server}, zones: map[string]bool{}, lostPrimaryZones: map[string]bool{}}
				builders[o.Server] = builder
			}
			builder.add(r, o, unreliable(r.Report))
		}
	}
	findings := make(map[string]Finding, len(builders))
	for server, builder := range builders {
		findings[server] = builder.Finding
	}
	return findings
}

// add adds one observer's observation.
func (b *findingBuilder) add(r observerReport, o Observation, unreliable bool) {
	if o.LostPrimary {
		b.LostPrimary++
		b.lostPrimaryZones[r.Zone] = true
		b.LostPrimaryZones = len(b.lostPrimaryZones)
	}
	weight, complains := o.weight(), o.complains()
	if weight == 0 || complains && unreliable {
		return
	}
	b.Good += min(o.Good, maxRecentAttempts)
	b.Failed += min(o.Failed, maxRecentAttempts)
	b.Slow += min(o.Slow, maxRecentAttempts)
	if !complains {
		b.Satisfied++
		b.satisfiedWeight += weight
		return
	}
	b.Complainers++
	b.complaintWeight += weight
	b.zones[r.Zone] = true
	b.Zones = len(b.zones)
	if len(b.ComplainerNames) < maxNamedObservers {
		b.ComplainerNames = append(b.ComplainerNames, r.observer)
	}
}
