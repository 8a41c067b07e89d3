package outlier

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settings are what the operators set.
type Settings struct {
	MinObservers     int           // that must complain of a server, at least
	MinZones         int           // zones that these must be in, at least
	MaxEjectedShare  float64       // of a group's members that may be convicted, at most; one is always left
	BaseEjectionTime time.Duration // of a first verdict; the n-th in a row is n times as long, up to longest
}

const (
	// failureThreshold of an observer's attempts at a server, failed or slow, make a complaint of it: what rules.failLimit is to one
	// pooler alone.
	failureThreshold = 0.5
	// minFailuresPerObserver attempts, in times Rules.Observers, make a case: two failures of three poolers, or one of six that see less. Half
	// as many renew it, as few try a convicted server.
	minFailuresPerObserver = 2
	// minElsewhereObservers observers must see other servers for these to be a measure: one could be a liar.
	minElsewhereObservers = 3
	// sufficientReports, in times Rules.Observers, speak for one side: so many that a few more that are lost or fall silent change nothing.
	sufficientReports = 4
	// minClearingObservers observers with good answers end a verdict: one could be the only one whose link is good.
	minClearingObservers = 2
	maxNamedObservers    = 8 // observers that a finding names
)

// Finding is what the joined evidence of all observers says of one server, and what it rests on.
type Finding struct {
	Server                           string
	Good, Failed, Slow               uint32 // attempts, of observers that count
	Complainers, Zones               int    // observers that complain, and their zones
	Satisfied                        int    // observers that have evidence and do not complain
	LostPrimary, LostPrimaryZones    int    // observers for which it was a primary and lost that place, and their zones
	ComplainerNames                  []string
	complaintWeight, satisfiedWeight float64 // weights
	// Elsewhere is the median over observers of the share of their attempts at other servers that failed or were slow.
	Elsewhere float64
}

// String names the evidence.
func (f Finding) String() string {
	return fmt.Sprintf("%d observers in %d rooms against %d others; %d failed, %d slow, %d good; elsewhere %.2f bad; %s",
		f.Complainers, f.Zones, f.Satisfied, f.Failed, f.Slow, f.Good, f.Elsewhere, strings.Join(f.ComplainerNames, ","))
}

// observerReport is what one observer says now.
type observerReport struct {
	observer string
	Report
}

// isUnreliable tells whether an observer's complaints count for nothing: it complains of more than half of the servers that it
// has evidence of, so that its own link is the likelier cause. In an outage of more than half of all servers nobody is
// convicted, which is what the share of a group would forbid anyway.
func isUnreliable(r Report) bool { return 2*r.Complaints > r.ServersSeen }

// aggregateServers joins the evidence on servers, and weighTenants that on tenants. Their outcome follows from the set of voices alone, in whatever order they came.
func aggregateServers(voices []observerReport) map[string]Finding {
	found := aggregate(voices, func(v observerReport) []Observation { return v.Servers }, isUnreliable)
	for server, f := range found {
		f.Elsewhere = failureShareElsewhere(voices, server)
		found[server] = f
	}
	return found
}

// failureShareElsewhere is how bad all other servers are to the median observer: on a day when everything is slow or fails, as on machines
// that are overloaded, no one server is the cause.
func failureShareElsewhere(voices []observerReport, server string) float64 {
	var shares []float64
	for _, v := range voices {
		var l Observation
		if i := slices.IndexFunc(v.Servers, func(l Observation) bool { return l.Server == server }); i >= 0 {
			l = v.Servers[i]
		}
		if share, ok := v.failureShareElsewhere(l); ok {
			shares = append(shares, share)
		}
	}
	if len(shares) < minElsewhereObservers {
		return 0
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

func aggregateTenants(voices []observerReport) map[string]Finding {
	return aggregate(voices, func(v observerReport) []Observation { return v.Tenants }, func(Report) bool { return false })
}

func aggregate(voices []observerReport, of func(observerReport) []Observation, doubtful func(Report) bool) map[string]Finding {
	slices.SortFunc(voices, func(a, b observerReport) int { return strings.Compare(a.observer, b.observer) })
	type rooms map[string]bool
	found, accusers, lostOf := map[string]Finding{}, map[string]rooms{}, map[string]rooms{}
	for _, v := range voices {
		for _, l := range of(v) {
			f := found[l.Server]
			f.Server = l.Server
			if l.LostPrimary {
				if f.LostPrimary++; lostOf[l.Server] == nil {
					lostOf[l.Server] = rooms{}
				}
				lostOf[l.Server][v.Zone] = true
				f.LostPrimaryZones = len(lostOf[l.Server])
			}
			w := l.weight()
			if w > 0 && !(l.complains() && doubtful(v.Report)) {
				f.Good, f.Failed, f.Slow = f.Good+min(l.Good, maxRecentAttempts), f.Failed+min(l.Failed, maxRecentAttempts), f.Slow+min(l.Slow, maxRecentAttempts)
				if l.complains() {
					if accusers[l.Server] == nil {
						accusers[l.Server] = rooms{}
					}
					accusers[l.Server][v.Zone] = true
					if f.Complainers++; len(f.ComplainerNames) < maxNamedObservers {
						f.ComplainerNames = append(f.ComplainerNames, v.observer)
					}
					f.Zones, f.complaintWeight = len(accusers[l.Server]), f.complaintWeight+w
				} else {
					f.Satisfied, f.satisfiedWeight = f.Satisfied+1, f.satisfiedWeight+w
				}
			}
			found[l.Server] = f
		}
	}
	return found
}

// shouldEject tells whether the evidence is enough against a server: enough observers in enough rooms, the median observer, by
// weight, among them, and by far worse than the other servers are, as rules.failed has it for one pooler. Fewer liars or bad links than Observers never are enough; more of them are not while observers with
// good answers outweigh them.
func (r Settings) shouldEject(f Finding, renew bool) bool {
	return f.Complainers >= r.MinObservers && f.Zones >= r.MinZones && f.complaintWeight > f.satisfiedWeight && r.failureRateExceeded(f, renew)
}

// failureRateExceeded tells whether a server's attempts, of all observers that count, are enough and bad enough beside those elsewhere. Where
// half of what is elsewhere fails nobody is convicted: leaving one server helps nobody then.
func (r Settings) failureRateExceeded(f Finding, renew bool) bool {
	bad, least := float64(f.Failed)+float64(f.Slow), minFailuresPerObserver*r.MinObservers
	if renew {
		least = r.MinObservers
	}
	return f.Elsewhere < failureThreshold && bad >= float64(least) && bad/(bad+float64(f.Good))-f.Elsewhere >= failureThreshold*(1-f.Elsewhere)
}

// shouldClear tells whether it ends a verdict: good answers of several observers outweigh the complaints.
func (r Settings) shouldClear(f Finding) bool {
	return f.Satisfied >= minClearingObservers && f.satisfiedWeight > f.complaintWeight
}

// sufficientlyReported tells whether a side of a server's case needs no more voices: enough observers speak for it, and outweigh the other side
// twice. So a fleet of hundreds speaks with a dozen voices where it agrees; where it does not, all of the smaller side and twice
// its weight of the other are heard, and who is right does not change. A voice that falls silent counts for its life, and when
// it is over another takes its turn.
func (r Settings) sufficientlyReported(f Finding, against bool) bool {
	if against {
		return f.Complainers >= sufficientReports*r.MinObservers && f.complaintWeight >= 2*f.satisfiedWeight
	}
	return f.Satisfied >= sufficientReports*r.MinObservers && f.satisfiedWeight >= 2*f.complaintWeight
}

// shouldReportPrimaryDown tells whether enough observers in enough rooms have lost a server as their group's primary.
func (r Settings) shouldReportPrimaryDown(f Finding) bool {
	return f.LostPrimary >= r.MinObservers && f.LostPrimaryZones >= r.MinZones
}

// maxEjected is how many of a group's n members may be convicted at once: never the last one.
func (r Settings) maxEjected(n int) int { return max(min(int(r.MaxEjectedShare*float64(n)), n-1), 0) }

// selectEjected picks, of a group's convicted members, those that the fleet leaves: the first by name, as many as are allowed, so that
// all poolers with the same findings leave the same ones.
func (r Settings) selectEjected(members []string, convicted func(string) bool) (out []string) {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	n := r.maxEjected(len(members))
	for _, m := range members {
		if convicted(m) && len(out) < n {
			out = append(out, m)
		}
	}
	return out
}

// reportInterval is how often a pooler of a fleet of n casts what it has to say, when it has anything: each pooler then hears at most
// 50 reports a second in a fleet of up to 250, which cost it some 10 ms of processor time on a busy machine.
func reportInterval(n int) time.Duration {
	return min(max(time.Duration(n)*20*time.Millisecond, minReportInterval), maxReportInterval)
}

// reportLifetime is how long a report counts unless a newer one comes: so long that one of two may be lost.
func reportLifetime(n int) time.Duration { return reportInterval(n) * 5 / 2 }

const (
	minReportInterval = 500 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// maxClockSkew is the most by which poolers' wall clocks are taken to differ. A report that is older by them than its life and this
	// is refused: it hung in a stalled process's buffers, or a clock is wrong.
	maxClockSkew = 2 * time.Second
	// confirmationDelay is how long enough evidence must stand before a verdict, so that others can speak against it: SWIM's suspicion.
	confirmationDelay = 500 * time.Millisecond
	// maxEjectionMultiplier is the longest verdict, in terms.
	maxEjectionMultiplier = 6
	// probeInterval is how long a few poolers may try a convicted server before others do: each pooler's own trials are 3 s apart
	// (rules.trialMost).
	probeInterval = 3 * time.Second
	// minProbers poolers, in times Rules.Observers, try at the same time, so that their evidence alone can renew a verdict; of a
	// large fleet trialShare.
	minProbers  = 2
	proberShare = 1.0 / 20
)

// MaxStaleEjection is the longest time for which any pooler of a fleet of n may leave a server that is good again, for whatever its
// clients see of it, without a single good answer, with clocks that differ by skew at most: the last complaint is span old when
// it is told, counts for its life, longer where clocks differ (twice skew: one clock is ahead, and the report slow by so much),
// and a verdict that begins or is renewed by it at the very end lasts for its longest term and the spread.
func (r Settings) MaxStaleEjection(n int) time.Duration {
	return evidenceSpan + reportLifetime(n) + 2*maxClockSkew + maxEjectionMultiplier*r.BaseEjectionTime*5/4
}
