package outlier

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// hotShare is the share of an observer's requests from which a tenant is hot for that observer. A tenant is hot for the fleet if it is
	// for the weighted majority of observers. Limiting a tenant that is hot at only a few poolers is left to those poolers.
	hotShare = 0.5
	// minHotRequests is the minimum number of requests for shares to be significant.
	minHotRequests = 2 * maxRecentAttempts
	// maxTenants is the maximum number of tenants that an observer counts separately in half an evidenceWindow. Requests of further tenants
	// count only towards the total.
	maxTenants         = 256
	maxReportedTenants = 4
)

// tenantCounts counts requests by tenant in two consecutive halves of an evidenceWindow. It is not safe for concurrent use.
type tenantCounts struct {
	rotatedAt            time.Time
	current, previous    map[string]uint32
	total, previousTotal uint32
}

// observe counts a request of a tenant.
func (c *tenantCounts) observe(now time.Time, tenant string) {
	c.rotate(now)
	c.total++
	if len(c.current) < maxTenants || c.current[tenant] > 0 {
		c.current[tenant]++
	}
}

// rotate starts a new half of the window if the current one is over.
func (c *tenantCounts) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if c.current != nil && age < evidenceWindow/2 {
		return
	}
	c.previous, c.previousTotal = c.current, c.total
	if age >= evidenceWindow {
		c.previous, c.previousTotal = nil, 0
	}
	c.current, c.total = map[string]uint32{}, 0
	c.rotatedAt = now
}

// observation returns a tenant's share of the requests as an observation, so that the rules for servers apply: Failed is the tenant's
// share, scaled so that hotShare corresponds to failureThreshold, and Good is the rest of maxRecentAttempts.
func (c *tenantCounts) observation(tenant string) Observation {
	requests, own := c.total+c.previousTotal, c.current[tenant]+c.previous[tenant]
	if requests < minHotRequests || own == requests { // a tenant without others is not hot
		return Observation{Server: tenant}
	}
	share := float64(own) / float64(requests)
	failed := uint32(min(share*failureThreshold/hotShare, 1) * maxRecentAttempts)
	return Observation{Server: tenant, Failed: failed, Good: maxRecentAttempts - failed}
}

// observations returns the observations of hot tenants and of tenants that other observers report as hot, at most maxReportedTenants,
// those with the largest shares first.
func (c *tenantCounts) observations(now time.Time, reported map[string]bool) (observations []Observation) {
	c.rotate(now)
	for tenant := range c.candidates(reported) {
		o := c.observation(tenant)
		if o.complains() || reported[tenant] && o.weight() > 0 {
			observations = append(observations, o)
		}
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(b.Failed, a.Failed), strings.Compare(a.Server, b.Server))
	})
	return observations[:min(len(observations), maxReportedTenants)]
}

// candidates returns the tenants with requests at this pooler whose names are valid in a report, and the tenants that others report.
func (c *tenantCounts) candidates(reported map[string]bool) map[string]bool {
	names := map[string]bool{}
	for _, counts := range []map[string]uint32{c.current, c.previous} {
		for tenant := range counts {
			if tenant != "" && len(tenant) <= maxNameLength {
				names[tenant] = true
			}
		}
	}
	for tenant := range reported {
		names[tenant] = true
	}
	return names
}
