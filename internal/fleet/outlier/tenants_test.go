package outlier

import (
	"fmt"
	"testing"
	"time"
)

// tenantFleet simulates nine poolers that count requests by tenant. At the first busy poolers most requests are from the tenant "big".
type tenantFleet struct {
	now     time.Time
	busy    int // number of poolers
	counts  [9]tenantCounts
	reports []observerReport
	hot     ejections
}

// step records ten requests at each pooler, and aggregates the poolers' reports.
func (f *tenantFleet) step(bigIsThere bool) {
	f.now = f.now.Add(evidenceWindow / 4)
	reported := reportableNames(f.reports, tenantsOf)
	f.reports = f.reports[:0]
	for i := range f.counts {
		for k := range 10 {
			tenant := fmt.Sprint("other", k)
			if bigIsThere && i < f.busy && k > 2 {
				tenant = "big"
			}
			f.counts[i].observe(f.now, tenant)
		}
		report := Report{Zone: fmt.Sprint("z", i%3), Tenants: f.counts[i].observations(f.now, reported)}
		f.reports = append(f.reports, observerReport{fmt.Sprint("n", i), report})
	}
	f.hot.update(f.now, testSettings, aggregateTenants(f.reports), 0)
}

// A tenant that sends most of the requests at most poolers is hot, and one that does so at only a few is not. No tenant stays hot without
// requests.
func TestHotTenant(t *testing.T) {
	for busy, want := range map[int]bool{2: false, 4: false, 7: true} {
		f := tenantFleet{now: time.Unix(1000, 0), busy: busy, hot: ejections{}}
		for range 12 {
			f.step(true)
		}
		if got := f.hot.isEjected("big"); got != want || len(f.hot) > 1 {
			t.Errorf("busy at %d of 9: got hot %v, of %d tenants, want %v", busy, got, len(f.hot), want)
		}
		for range 30 {
			f.step(false)
		}
		if f.hot.isEjected("big") {
			t.Errorf("busy at %d of 9: still hot without requests", busy)
		}
	}
}
