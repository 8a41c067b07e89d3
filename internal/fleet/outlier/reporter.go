package outlier

import (
	"math/rand/v2"
	"slices"
	"time"
)

// reporter decides when this pooler reports, and what. It is not safe for use by several goroutines.
type reporter struct {
	startedAt    int64 // Unix ns
	zone         string
	sequence     uint64
	complained   map[string]bool // servers that the last report complains of
	nextReportAt time.Time       // not before
}

// reportingContext is what the others' reports ask of this pooler.
type reportingContext struct {
	settings  Settings
	accused   map[string]bool // servers that others complain of
	findings  map[string]Finding
	isEjected func(server string) bool
	fleetSize int
}

// due returns the report that is due now, encoded; nil: none is. A pooler reports while it complains, while it has evidence of a server
// that another complains of or that is ejected, as long as its side needs reports, and once more to withdraw a complaint: a calm fleet is
// silent.
func (r *reporter) due(now time.Time, report Report, c reportingContext) []byte {
	report.Servers = slices.DeleteFunc(report.Servers, func(o Observation) bool {
		return !o.isReportable() && !c.accused[o.Server] && !c.isEjected(o.Server)
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

// isNeeded reports whether a report has tenants, a lost primary, or an observation whose side needs more reports.
func (c reportingContext) isNeeded(report Report) bool {
	return len(report.Tenants) > 0 || slices.ContainsFunc(report.Servers, func(o Observation) bool {
		return o.LostPrimary || !c.settings.sufficientlyReported(c.findings[o.Server], o.complains())
	})
}

// withdraws reports whether the last report complains of a server that these complaints do not have.
func (r *reporter) withdraws(complaints map[string]bool) bool {
	for server := range r.complained {
		if !complaints[server] {
			return true
		}
	}
	return false
}

// complaintsOf returns the servers that observations complain of.
func complaintsOf(observations []Observation) map[string]bool {
	complaints := map[string]bool{}
	for _, o := range observations {
		if o.complains() {
			complaints[o.Server] = true
		}
	}
	return complaints
}

// reportCounts counts reports and their bytes since they were logged last.
type reportCounts struct{ sent, sentBytes, received, receivedBytes int }

func (c *reportCounts) addSent(bytes int) {
	c.sent++
	c.sentBytes += bytes
}

func (c *reportCounts) addReceived(bytes int) {
	c.received++
	c.receivedBytes += bytes
}
