package outlier

import "time"

const (
	// maxObservers is the maximum number of stored reports, one for each observer.
	maxObservers = 1024
	// sequenceRetention is how long a report is stored to detect reports that arrive late or twice. Even older ones are rejected by age.
	sequenceRetention = time.Minute
)

// reportStore stores the newest report of each observer. It is not safe for concurrent use.
type reportStore struct{ reports map[string]storedReport }

// storedReport is a report with its expiry times.
type storedReport struct {
	Report
	expiresAt time.Time // when the report stops counting as evidence
	removeAt  time.Time // when the report is removed from the store
}

// observerReport is a report with the name of its observer.
type observerReport struct {
	observer string
	Report
}

func newReportStore() reportStore { return reportStore{reports: map[string]storedReport{}} }

// add stores a received report and reports whether it did. It rejects a report that is not newer than the stored one of its observer, one
// older than lifetime and maxClockSkew together, and one of a new observer when maxObservers reports are stored.
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
	s.reports[observer] = storedReport{Report: r, expiresAt: now.Add(remaining), removeAt: now.Add(sequenceRetention)}
	return true
}

// makeRoom removes reports that are no longer needed if the store is full, and reports whether there is room for another observer.
func (s *reportStore) makeRoom(now time.Time) bool {
	if len(s.reports) < maxObservers {
		return true
	}
	for observer, stored := range s.reports {
		if now.After(stored.removeAt) {
			delete(s.reports, observer)
		}
	}
	return len(s.reports) < maxObservers
}

// current returns the reports that have not expired, in no particular order.
func (s *reportStore) current(now time.Time) (reports []observerReport) {
	for observer, stored := range s.reports {
		switch {
		case now.Before(stored.expiresAt):
			reports = append(reports, observerReport{observer, stored.Report})
		case now.After(stored.removeAt):
			delete(s.reports, observer)
		}
	}
	return reports
}
