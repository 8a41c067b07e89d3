package outlier

import "time"

// reportStore holds the newest report of each observer. The caller holds its mutex.
type reportStore struct{ reports map[string]storedReport }

type storedReport struct {
	Report
	expiresAt time.Time // it counts no longer
	forgetAt  time.Time // its number is no longer remembered: whatever is older is refused by its age
}

// The board's bounds: one report of maxReport bytes an observer, which memberlist's name tells.
const (
	maxObservers = 1024
	reportMemory = time.Minute
)

// add joins a report that has come. It is refused where a newer one of its observer is known, where it is older than any may
// be, and beyond maxObservers.
func (b *reportStore) add(now time.Time, from string, r Report, life time.Duration) bool {
	old, known := b.reports[from]
	age := max(now.Sub(time.Unix(0, r.SentAt)), 0)
	if known && !old.before(r) || age > life+maxClockSkew {
		return false
	}
	if !known && len(b.reports) >= maxObservers {
		for name, e := range b.reports {
			if now.After(e.forgetAt) {
				delete(b.reports, name)
			}
		}
		if len(b.reports) >= maxObservers {
			return false
		}
	}
	b.reports[from] = storedReport{Report: r, expiresAt: now.Add(min(life, life+maxClockSkew-age)), forgetAt: now.Add(reportMemory)}
	return true
}

// current are the reports that count now.
func (b *reportStore) current(now time.Time) (out []observerReport) {
	for from, e := range b.reports {
		switch {
		case now.Before(e.expiresAt):
			out = append(out, observerReport{from, e.Report})
		case now.After(e.forgetAt):
			delete(b.reports, from)
		}
	}
	return out
}

// complainedAbout are the servers that any voice complains of, or has lost as a primary; or the same of tenants.
func complainedAbout(voices []observerReport, of func(observerReport) []Observation) map[string]bool {
	out := map[string]bool{}
	for _, v := range voices {
		for _, l := range of(v) {
			if l.isReportable() {
				out[l.Server] = true
			}
		}
	}
	return out
}
