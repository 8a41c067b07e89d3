package calendar

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Occurrence is one close of one site.
type Occurrence struct {
	Date  string // local, of the day that the site opened: "2026-12-02"
	Close string // "20:00", as far from that day's midnight as the operators wrote it
	At    time.Time
}

// Between are the occurrences after from and up to to, in the order of their instants, then dates.
func (s *Schedule) Between(from, to time.Time) []Occurrence {
	var out []Occurrence
	// A local date begins within 15 h of its midnight in UTC, and its close is at most MostClose later.
	const around = 15*time.Hour + MaxClose
	for day := from.UTC().Add(-around).Truncate(24 * time.Hour); !day.After(to.Add(around)); day = day.AddDate(0, 0, 1) {
		d := s.closeOf(day)
		if d == closed {
			continue
		}
		if at := FirstInstant(s.Zone, day.Add(d)); at.After(from) && !at.After(to) {
			out = append(out, Occurrence{day.Format(time.DateOnly), formatClose(d), at})
		}
	}
	slices.SortStableFunc(out, func(a, b Occurrence) int { return a.At.Compare(b.At) })
	return out
}

// formatClose is a close as the operators write it.
func formatClose(d time.Duration) string {
	text := fmt.Sprintf("%02d:%02d", d/time.Hour, d/time.Minute%60)
	if s := d / time.Second % 60; s != 0 {
		text += fmt.Sprintf(":%02d", s)
	}
	return text
}

// closeOf is the close of a date (midnight UTC), from that midnight on, or closed. Exceptions go before holidays, and a holiday
// as it is kept before the weekday's close.
func (s *Schedule) closeOf(day time.Time) time.Duration {
	for _, e := range s.exceptions {
		if !day.Before(e.from) && !day.After(e.to) {
			return e.close
		}
	}
	for _, h := range s.holidays {
		for year := day.Year() - 1; year <= day.Year(); year++ { // one of the year's last days may be kept in the next
			if _, kept := h.rule.Calc(year); kept.Equal(day) {
				return h.close
			}
		}
	}
	return s.weekdayCloses[day.Weekday()]
}

// FirstInstant is the first instant at which the clock of a zone reads reading (whose own zone counts for nothing) or later. So a close
// in an hour that is skipped falls on the first instant behind the gap, one in an hour that comes twice on the first of the two,
// and one on a date that the zone leaves out on the beginning of the next: each exactly once.
func FirstInstant(zone *time.Location, reading time.Time) time.Time {
	want := time.Date(reading.Year(), reading.Month(), reading.Day(), reading.Hour(), reading.Minute(), reading.Second(), 0, time.UTC)
	for at := want.Add(-48 * time.Hour); ; { // no zone is or was as far from UTC, nor moved by more
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

// Digest tells two sets of rules for a zone apart: it is of all offsets that the zone has from from to to.
func Digest(zone *time.Location, from, to time.Time) uint64 {
	h := fnv.New64a()
	for at := from; at.Before(to); {
		local := at.In(zone)
		_, offset := local.Zone()
		_, end := local.ZoneBounds()
		h.Write(binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, uint64(at.Unix())), uint64(offset)))
		if end.IsZero() {
			break
		}
		at = end
	}
	return h.Sum64()
}
