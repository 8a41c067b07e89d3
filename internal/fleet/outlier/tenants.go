package outlier

import (
	"slices"
	"strings"
	"time"
)

// When a tenant is hot to one observer, and how many it counts.
const (
	// hotShare of an observer's requests make a tenant hot to it. What the fleet holds is the weighted median of observers: a
	// tenant that is hot at a few poolers alone is theirs to limit.
	hotShare           = 0.5
	minHotRequests     = 2 * maxRecentAttempts // requests within the span below which shares are chance
	maxTenants         = 256                   // that an observer counts in half a span; later ones are counted as others
	maxReportedTenants = 4                     // that it tells of
)

// tenantCounts counts requests by tenant over the last half to whole span. The caller holds its mutex.
type tenantCounts struct {
	rotatedAt            time.Time
	current, previous    map[string]uint32
	total, previousTotal uint32
}

// observe counts a request of a tenant.
func (t *tenantCounts) observe(now time.Time, tenant string) {
	t.rotate(now)
	if t.total++; len(t.current) < maxTenants || t.current[tenant] > 0 {
		t.current[tenant]++
	}
}

func (t *tenantCounts) rotate(now time.Time) {
	age := now.Sub(t.rotatedAt)
	if t.current != nil && age < evidenceSpan/2 {
		return
	}
	t.previous, t.previousTotal = t.current, t.total
	if age >= evidenceSpan {
		t.previous, t.previousTotal = nil, 0
	}
	t.current, t.total, t.rotatedAt = map[string]uint32{}, 0, now
}

// observation is a tenant's share of the requests beside others', in attempts as a server's line has them: what is against it is its own part.
func (t *tenantCounts) observation(tenant string) Observation {
	all, mine := t.total+t.previousTotal, t.current[tenant]+t.previous[tenant]
	if all < minHotRequests || mine == all { // one alone is hot to nobody
		return Observation{Server: tenant}
	}
	against := uint32(min(float64(mine)/float64(all)*failureThreshold/hotShare, 1) * maxRecentAttempts)
	return Observation{Server: tenant, Failed: against, Good: maxRecentAttempts - against}
}

// observations are those of hot tenants, and of tenants that others hold to be hot.
func (t *tenantCounts) observations(now time.Time, accused map[string]bool) (out []Observation) {
	t.rotate(now)
	names := map[string]bool{}
	for _, counts := range []map[string]uint32{t.current, t.previous} {
		for tenant := range counts {
			names[tenant] = len(tenant) <= maxNameLength && tenant != ""
		}
	}
	for tenant := range accused {
		names[tenant] = true
	}
	for tenant, told := range names {
		if l := t.observation(tenant); told && (l.complains() || accused[tenant] && l.weight() > 0) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b Observation) int {
		if a.Failed != b.Failed {
			return int(b.Failed) - int(a.Failed)
		}
		return strings.Compare(a.Server, b.Server)
	})
	return out[:min(len(out), maxReportedTenants)]
}
