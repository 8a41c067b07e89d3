package outlier

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// hotShare is the share of an observer's requests from which a tenant is hot to it. For the fleet the weighted median of observers
	// counts: a tenant that is hot at a few poolers alone is theirs to limit.
	hotShare = 0.5
	// minHotRequests is below how many requests shares are chance.
	minHotRequests = 2 * maxRecentAttempts
	// maxTenants bounds the tenants that an observer counts in half an evidenceSpan; later ones are counted as others.
	maxTenants         = 256
	maxReportedTenants = 4
)

// tenantCounts counts requests by tenant over the last half to whole evidenceSpan. It is not safe for use by several goroutines.
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

// rotate begins another half of an evidenceSpan, if the last one is over.
func (c *tenantCounts) rotate(now time.Time) {
	age := now.Sub(c.rotatedAt)
	if c.current != nil && age < evidenceSpan/2 {
		return
	}
	c.previous, c.previousTotal = c.current, c.total
	if age >= evidenceSpan {
		c.previous, c.previousTotal = nil, 0
	}
	c.current, c.total = map[string]uint32{}, 0
	c.rotatedAt = now
}

// observation returns a tenant's share of the requests in the form of a server's attempts: Failed is its own part.
func (c *tenantCounts) observation(tenant string) Observation {
	all, own := c.total+c.previousTotal, c.current[tenant]+c.previous[tenant]
	if all < minHotRequests || own == all { // a tenant alone is hot to nobody
		return Observation{Server: tenant}
	}
	share := float64(own) / float64(all)
	failed := uint32(min(share*failureThreshold/hotShare, 1) * maxRecentAttempts)
	return Observation{Server: tenant, Failed: failed, Good: maxRecentAttempts - failed}
}

// observations returns those of hot tenants, and of tenants that others report as hot.
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

// candidates returns the tenants that have requests here and a name that can be reported, and those that others report.
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
