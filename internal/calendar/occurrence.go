package calendar

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// Occurrence is one close of a site.
type Occurrence struct {
	Date  string // local date of the day on which the site opened: "2026-12-02"
	Close string // closing time counted from that day's midnight, as the operators write it: "20:00"
	At    time.Time
}

// Between returns the occurrences after from and up to to, sorted by instant and then by date.
func (s *Schedule) Between(from, to time.Time) []Occurrence {
	// A local date begins within 15 hours of midnight UTC of that date, and its close is at most MaxClose later.
	const searchMargin = 15*time.Hour + MaxClose
	var occurrences []Occurrence
	firstDay := from.UTC().Add(-searchMargin).Truncate(24 * time.Hour)
	for day := firstDay; !day.After(to.Add(searchMargin)); day = day.AddDate(0, 0, 1) {
		sinceMidnight := s.closeOn(day)
		if sinceMidnight == closed {
			continue
		}
		if at := FirstInstant(s.Zone, day.Add(sinceMidnight)); at.After(from) && !at.After(to) {
			occurrences = append(occurrences, Occurrence{Date: day.Format(time.DateOnly), Close: formatClose(sinceMidnight), At: at})
		}
	}
	slices.SortStableFunc(occurrences, func(a, b Occurrence) int { return a.At.Compare(b.At) })
	return occurrences
}

// closeOn returns the closing time on a date (given as midnight UTC), counted from midnight, or closed. Exceptions take precedence over
// holidays, and a holiday takes precedence over the weekday on the day on which it is observed.
func (s *Schedule) closeOn(day time.Time) time.Duration {
	for _, e := range s.exceptions {
		if !day.Before(e.from) && !day.After(e.to) {
			return e.close
		}
	}
	for _, h := range s.holidays {
		if h.isObservedOn(day) {
			return h.close
		}
	}
	return s.weekdayCloses[day.Weekday()]
}

// isObservedOn reports whether the holiday is observed on a date. A holiday at the end of a year may be observed in the next year.
func (h holiday) isObservedOn(day time.Time) bool {
	for year := day.Year() - 1; year <= day.Year(); year++ {
		if _, observed := h.rule.Calc(year); observed.Equal(day) {
			return true
		}
	}
	return false
}

// FirstInstant returns the first instant at which the local clock of a zone shows the given reading or a later one; the location of reading
// is ignored. A reading in a skipped hour thus maps to the first instant after the gap, one in a repeated hour to its first occurrence,
// and one on a date that the zone skipped to the start of the next date. Every reading maps to exactly one instant.
func FirstInstant(zone *time.Location, reading time.Time) time.Time {
	target := time.Date(reading.Year(), reading.Month(), reading.Day(), reading.Hour(), reading.Minute(), reading.Second(), 0, time.UTC)
	const offsetLimit = 48 * time.Hour // exceeds every UTC offset and every change of one, past or present
	for at := target.Add(-offsetLimit); ; {
		local := at.In(zone)
		_, offset := local.Zone()
		_, end := local.ZoneBounds()
		instant := target.Add(-time.Duration(offset) * time.Second)
		if instant.Before(at) {
			instant = at
		}
		if end.IsZero() || instant.Before(end) {
			return instant.UTC()
		}
		at = end
	}
}

// Digest returns a hash of a zone's UTC offsets between from and to, and of the times at which they change.
func Digest(zone *time.Location, from, to time.Time) uint64 {
	hash := fnv.New64a()
	for at := from; at.Before(to); {
		local := at.In(zone)
		_, offset := local.Zone()
		_, end := local.ZoneBounds()
		entry := binary.LittleEndian.AppendUint64(nil, uint64(at.Unix()))
		hash.Write(binary.LittleEndian.AppendUint64(entry, uint64(offset)))
		if end.IsZero() {
			break
		}
		at = end
	}
	return hash.Sum64()
}
