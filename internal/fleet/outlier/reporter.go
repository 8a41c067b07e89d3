package outlier

import (
	"math/rand/v2"
	"slices"
	"time"
)

// reporter decides when this pooler sends a report, and which observations it contains. It is not safe for concurrent use.
type reporter struct {
	startedAt    int64 // Unix ns
	zone         string
	sequence     uint64          // number of the last report
	complained   map[string]bool // servers that the last report complains about
	nextReportAt time.Time       // earliest time of the next report
}

// reportingContext is the fleet's state that determines which observations this pooler must report.
type reportingContext struct {
	settings         Settings
	reportedByOthers map[string]bool // servers of which another observer reports a complaint or a lost primary
	findings         map[string]Finding
	isEjected        func(server string) bool
	fleetSize        int
}

// dueReport returns the encoded report that is due now, or nil. A pooler reports its complaints, and its evidence about servers that
// another observer has reported or that are ejected, while further reports are needed (sufficientlyReported). It sends one more report to
// withdraw a complaint. While no pooler complains, no reports are sent.
func (r *reporter) dueReport(now time.Time, report Report, c reportingContext) []byte {
	report.Servers = slices.DeleteFunc(report.Servers, func(o Observation) bool {
		return !o.isReportable() && !c.reportedByOthers[o.Server] && !c.isEjected(o.Server)
	})
	complaints := complaintsOf(report.Servers)
	if now.Before(r.nextReportAt) || !c.isNeeded(report) && !r.withdraws(complaints) {
		return nil
	}
	r.complained = complaints
	r.sequence++
	report.StartedAt, report.Zone, report.Sequence = r.startedAt, r.zone, r.sequence
	jitter := 0.75 + rand.Float64()/2
	r.nextReportAt = now.Add(time.Duration(jitter * float64(reportInterval(c.fleetSize))))
	return report.encode()
}

// isNeeded reports whether a report contains tenants, a lost primary, or an observation that is not yet sufficiently reported.
func (c reportingContext) isNeeded(report Report) bool {
	return len(report.Tenants) > 0 || slices.ContainsFunc(report.Servers, func(o Observation) bool {
		return o.LostPrimary || !c.settings.sufficientlyReported(c.findings[o.Server], o.complains())
	})
}

// withdraws reports whether the last report complained about a server that is not in complaints.
func (r *reporter) withdraws(complaints map[string]bool) bool {
	for server := range r.complained {
		if !complaints[server] {
			return true
		}
	}
	return false
}

// complaintsOf returns the servers that the observations complain about.
func complaintsOf(observations []Observation) map[string]bool {
	complaints := map[string]bool{}
	for _, o := range observations {
		if o.complains() {
			complaints[o.Server] = true
		}
	}
	return complaints
}

// reportCounts counts reports and their bytes since the last traffic log line.
type reportCounts struct{ sent, sentBytes, received, receivedBytes int }

func (c *reportCounts) addSent(bytes int) {
	c.sent++
	c.sentBytes += bytes
}

func (c *reportCounts) addReceived(bytes int) {
	c.received++
	c.receivedBytes += bytes
}
