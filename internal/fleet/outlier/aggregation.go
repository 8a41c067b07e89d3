package outlier

import (
	"fmt"
	"slices"
	"strings"
)

// maxNamedObservers is the maximum number of observers that a finding lists by name.
const maxNamedObservers = 8

// Finding is the aggregated evidence of all observers about one server or tenant.
type Finding struct {
	Server                           string
	Good, Failed, Slow               uint32   // attempts by outcome; complaints of unreliable observers are excluded
	Complainers, Zones               int      // number of observers that complain, and of their zones
	Satisfied                        int      // number of observers that have evidence and do not complain
	LostPrimary, LostPrimaryZones    int      // number of observers that lost the server as their group's primary, and of their zones
	ComplainerNames                  []string // at most maxNamedObservers
	complaintWeight, satisfiedWeight float64  // total weights of the observations that do, and do not, complain
	// FailureRateElsewhere is the median over observers of the share of their attempts at other servers that failed or were slow.
	FailureRateElsewhere float64
}

// String returns the evidence as text for the log.
func (f Finding) String() string {
	return fmt.Sprintf("%d observers in %d zones complain, %d do not; attempts: %d failed, %d slow, %d good; failure rate elsewhere: %.2f; complaining: %s",
		f.Complainers, f.Zones, f.Satisfied, f.Failed, f.Slow, f.Good, f.FailureRateElsewhere, strings.Join(f.ComplainerNames, ","))
}

// isUnreliable reports whether the complaints of an observer are ignored. An observer that complains about more than half of the servers
// for which it has evidence more likely has a bad link itself. As a consequence no server is ejected while more than half of all servers
// fail, which the limit on ejected members of a group would prevent anyway.
func isUnreliable(r Report) bool { return 2*r.Complaints > r.ServersSeen }

// aggregateServers aggregates the observations of servers and returns the findings by server. The result does not depend on the order of
// the reports.
func aggregateServers(reports []observerReport) map[string]Finding {
	findings := aggregate(reports, serversOf, isUnreliable)
	for server, finding := range findings {
		finding.FailureRateElsewhere = failureRateElsewhere(reports, server)
		findings[server] = finding
	}
	return findings
}

// aggregateTenants aggregates the observations of tenants and returns the findings by tenant.
func aggregateTenants(reports []observerReport) map[string]Finding {
	return aggregate(reports, tenantsOf, func(Report) bool { return false })
}

func serversOf(r observerReport) []Observation { return r.Servers }
func tenantsOf(r observerReport) []Observation { return r.Tenants }

// reportableNames returns the names of the servers or tenants with at least one reportable observation: a complaint or a lost primary.
func reportableNames(reports []observerReport, observationsOf func(observerReport) []Observation) map[string]bool {
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

// failureRateElsewhere returns the median over observers of the failure rate at all servers other than server, or 0 with fewer than
// minElsewhereObservers observers. While everything fails or is slow, as on overloaded machines, no single server is the cause.
func failureRateElsewhere(reports []observerReport, server string) float64 {
	var shares []float64
	for _, r := range reports {
		var observation Observation
		if i := slices.IndexFunc(r.Servers, func(o Observation) bool { return o.Server == server }); i >= 0 {
			observation = r.Servers[i]
		}
		if share, ok := r.failureRateElsewhere(observation); ok {
			shares = append(shares, share)
		}
	}
	if len(shares) < minElsewhereObservers {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// findingBuilder accumulates observations into a finding.
type findingBuilder struct {
	Finding
	zones            map[string]bool // zones of the complaining observers
	lostPrimaryZones map[string]bool // zones of the observers that lost the primary
}

// aggregate groups the observations selected by observationsOf by their server and returns one finding for each. unreliable reports
// whether the complaints of a report are ignored. aggregate sorts reports in place.
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

// add adds one observation of an observer. A complaint of an unreliable observer is ignored.
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
