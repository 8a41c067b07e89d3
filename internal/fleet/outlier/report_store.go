package outlier

import "time"

const (
	// maxObservers bounds the reports that are kept, one an observer.
	maxObservers = 1024
	// reportMemory is how long a report's number is remembered. Whatever is older is refused by its age.
	reportMemory = time.Minute
)

// reportStore keeps the newest report of each observer. It is not safe for use by several goroutines.
type reportStore struct{ reports map[string]storedReport }

// storedReport is a report as it is kept.
type storedReport struct {
	Report
	expiresAt time.Time // it counts no longer
	forgetAt  time.Time // its number is forgotten
}

// observerReport is a report with its observer's name.
type observerReport struct {
	observer string
	Report
}

func newReportStore() reportStore { return reportStore{reports: map[string]storedReport{}} }

// add keeps a report that has come, and reports whether it did: not where a newer one of its observer is known, where it is older than any
// may be, and beyond maxObservers.
func (s *reportStore) add(now time.Time, observer string, r Report, lifetime time.Duration) bool {
	previous, known := s.reports[observer]
	age := max(now.Sub(time.Unix(0, r.SentAt)), 0)
	if known && !previous.before(r) || age > lifetime+maxClockSkew {
		return false
	}
	if !known && !s.makeRoom(now) {
		return false
	}
	remaining := min(lifetime, lifetime+maxClockSkew-age)
	s.reports[observer] = storedReport{Report: r, expiresAt: now.Add(remaining), forgetAt: now.Add(reportMemory)}
	return true
}

// makeRoom reports whether there is room for another observer.
func (s *reportStore) makeRoom(now time.Time) bool {
	if len(s.reports) < maxObservers {
		return true
	}
	for observer, stored := range s.reports {
		if now.After(stored.forgetAt) {
			delete(s.reports, observer)
		}
	}
	return len(s.reports) < maxObservers
}

// current returns the reports that count now.
func (s *reportStore) current(now time.Time) (reports []observerReport) {
	for observer, stored := range s.reports {
		switch {
		case now.Before(stored.expiresAt):
			reports = append(reports, observerReport{observer, stored.Report})
		case now.After(stored.forgetAt):
			delete(s.reports, observer)
		}
	}
	return reports
}
