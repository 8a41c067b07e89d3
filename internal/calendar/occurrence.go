package calendar

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"
)

// Occurrence is one close of one site.
type Occurrence struct {
	Date  string // local, of the day on which the site opened: "2026-12-02"
	Close string // "20:00", from that day's midnight, as the operators wrote it
	At    time.Time
}

// Between returns the occurrences after from and up to to, in the order of their instants, then of their dates.
func (s *Schedule) Between(from, to time.Time) []Occurrence {
	// A local date begins within 15 hours of its midnight in UTC, and its close is at most MaxClose later.
	const around = 15*time.Hour + MaxClose
	var occurrences []Occurrence
	firstDay := from.UTC().Add(-around).Truncate(24 * time.Hour)
	for day := firstDay; !day.After(to.Add(around)); day = day.AddDate(0, 0, 1) {
		sinceMidnight := s.closeOf(day)
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

// closeOf returns the close of a date (midnight UTC), from that midnight, or closed. Exceptions take precedence over holidays, and a
// holiday, on the day on which it is kept, over the weekday's close.
func (s *Schedule) closeOf(day time.Time) time.Duration {
	for _, e := range s.exceptions {
		if !day.Before(e.from) && !day.After(e.to) {
			return e.close
		}
	}
	for _, h := range s.holidays {
		if h.isKeptOn(day) {
			return h.close
		}
	}
	return s.weekdayCloses[day.Weekday()]
}

// isKeptOn reports whether the holiday is kept on a date. One of a year's last days may be kept in the next year.
func (h holiday) isKeptOn(day time.Time) bool {
	for year := day.Year() - 1; year <= day.Year(); year++ {
		if _, keptOn := h.rule.Calc(year); keptOn.Equal(day) {
			return true
		}
	}
	return false
}

// FirstInstant returns the first instant at which the clock of a zone reads a reading or later; the reading's own zone does not count. So
// a close in an hour that is skipped falls on the first instant after the gap, one in an hour that comes twice on the first of the two,
// and one on a date that the zone leaves out on the beginning of the next date: each exactly once.
func FirstInstant(zone *time.Location, reading time.Time) time.Time {
	want := time.Date(reading.Year(), reading.Month(), reading.Day(), reading.Hour(), reading.Minute(), reading.Second(), 0, time.UTC)
	const beforeAnyZone = 48 * time.Hour // no zone is or was as far from UTC, nor moved by more
	for at := want.Add(-beforeAnyZone); ; {
		local := at.In(zone)
		_, offset := local.Zone()
		_, end := local.ZoneBounds()
		hit := want.Add(-time.Duration(offset) * time.Second)
		if hit.Before(at) {
			hit = at
		}
		if end.IsZero() || hit.Before(end) {
			return hit.UTC()
		}
		at = end
	}
}

// Digest returns a digest of a zone's rules: of all offsets that the zone has from from to to.
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
