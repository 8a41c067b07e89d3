package calendar

import (
	"errors"
	"strings"
	"testing"
	"time"
	_ "time/tzdata"

	"pgregory.net/rapid"
)

func zone(t testing.TB, name string) *time.Location {
	t.Helper()
	z, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// The readings that a clock skips or shows twice, and zones whose rules change.
func TestFirst(t *testing.T) {
	for _, c := range []struct{ zone, reading, want, why string }{
		{"Europe/Budapest", "2026-07-01 20:00", "2026-07-01T18:00:00Z", "summer"},
		{"Europe/Budapest", "2026-12-02 20:00", "2026-12-02T19:00:00Z", "winter"},
		{"Europe/Budapest", "2026-03-29 02:30", "2026-03-29T01:00:00Z", "skipped: the first instant behind the gap"},
		{"Europe/Budapest", "2026-03-29 03:00", "2026-03-29T01:00:00Z", "the first reading behind the gap"},
		{"Europe/Budapest", "2026-10-25 02:30", "2026-10-25T00:30:00Z", "repeated: the first, in summer time"},
		{"Europe/Budapest", "2026-10-25 03:00", "2026-10-25T02:00:00Z", "behind the repeated hour"},
		{"Europe/Budapest", "2027-03-28 02:00", "2027-03-28T01:00:00Z", "the gap's own beginning"},
		{"Europe/Budapest", "2027-10-31 02:00", "2027-10-31T00:00:00Z", "the repeated hour's beginning"},
		{"America/Jamaica", "2026-03-29 02:30", "2026-03-29T07:30:00Z", "Kingston has no daylight saving"},
		{"America/Jamaica", "2026-10-25 02:30", "2026-10-25T07:30:00Z", "nor its end"},
		{"America/New_York", "2027-03-14 02:30", "2027-03-14T07:00:00Z", "another gap"},
		{"America/Mexico_City", "2022-04-04 20:00", "2022-04-05T01:00:00Z", "daylight saving, the last year of it"},
		{"America/Mexico_City", "2023-04-04 20:00", "2023-04-05T02:00:00Z", "and none since"},
		{"Africa/Casablanca", "2026-02-20 20:00", "2026-02-20T20:00:00Z", "the clock goes back for Ramadan"},
		{"Africa/Casablanca", "2026-04-20 20:00", "2026-04-20T19:00:00Z", "and on again"},
		{"Pacific/Apia", "2011-12-30 18:00", "2011-12-30T10:00:00Z", "a date that was left out"},
		{"Australia/Lord_Howe", "2026-04-05 01:45", "2026-04-04T14:45:00Z", "half an hour twice"},
	} {
		reading, err := time.Parse("2006-01-02 15:04", c.reading)
		if err != nil {
			t.Fatal(err)
		}
		if got := FirstInstant(zone(t, c.zone), reading).Format(time.RFC3339); got != c.want {
			t.Errorf("%s %s: %s, want %s (%s)", c.zone, c.reading, got, c.want, c.why)
		}
	}
}

// The rule itself, minute by minute.
func TestFirstIsTheFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"Europe/Budapest", "America/Jamaica", "America/New_York", "Africa/Casablanca", "Pacific/Apia", "Australia/Lord_Howe"}).Draw(t, "zone")
		z, err := time.LoadLocation(name)
		if err != nil {
			t.Fatal(err)
		}
		at := time.Date(2011+rapid.IntRange(0, 17).Draw(t, "year"), 1, 1, 0, 0, 0, 0, time.UTC)
		if _, end := at.AddDate(0, rapid.IntRange(0, 11).Draw(t, "month"), 0).In(z).ZoneBounds(); !end.IsZero() {
			at = end // readings near a change of the clock
		}
		reading := at.Add(time.Duration(rapid.IntRange(-26*60, 26*60).Draw(t, "minutes")) * time.Minute).Truncate(time.Minute).UTC()
		wall := func(t time.Time) time.Time { // as if it were UTC
			l := t.In(z)
			return time.Date(l.Year(), l.Month(), l.Day(), l.Hour(), l.Minute(), l.Second(), 0, time.UTC)
		}
		want := reading.Add(-30 * time.Hour)
		for wall(want).Before(reading) {
			want = want.Add(time.Minute)
		}
		if got := FirstInstant(z, reading); !got.Equal(want) {
			t.Fatalf("%s %s: %s, the clock reads it first at %s", name, reading, got, want)
		}
	})
}

func easter(days int) *int { return &days }

var budapest = Plan{"Europe/Budapest", Calendar{Close: map[string]string{"monday": "20:00", "tuesday": "20:00", "wednesday": "20:00", "thursday": "20:00", "friday": "25:30"},
	Holidays:   []Holiday{{Name: "Easter Monday", Easter: easter(1)}, {Name: "St Stephen", Month: 8, Day: 20}, {Name: "Christmas Eve", Month: 12, Day: 24, Close: "12:00"}},
	Exceptions: []Exception{{From: "2026-12-28", To: "2027-01-03"}, {From: "2026-12-19", Close: "14:00"}}}}

var kingston = Plan{"America/Jamaica", Calendar{Close: map[string]string{"monday": "18:00", "saturday": "13:00"},
	Holidays: []Holiday{{Name: "Labour Day", Month: 5, Day: 23, MondayIfWeekend: true}, {Name: "Heroes' Day", Month: 10, Weekday: "monday", Nth: 3}}}}

// Weekdays, holidays, exceptions and nights over a change of the clock; each date closes once.
func TestBetween(t *testing.T) {
	for _, c := range []struct {
		plan     Plan
		from, to string
		want     []string
	}{
		{budapest, "2026-12-18T12:00:00Z", "2026-12-25T00:00:00Z", []string{"2026-12-18 25:30 2026-12-19T00:30:00Z", "2026-12-19 14:00 2026-12-19T13:00:00Z",
			"2026-12-21 20:00 2026-12-21T19:00:00Z", "2026-12-22 20:00 2026-12-22T19:00:00Z", "2026-12-23 20:00 2026-12-23T19:00:00Z", "2026-12-24 12:00 2026-12-24T11:00:00Z"}},
		{budapest, "2026-12-26T12:00:00Z", "2027-01-04T20:00:00Z", []string{"2027-01-04 20:00 2027-01-04T19:00:00Z"}},
		{budapest, "2026-04-05T12:00:00Z", "2026-04-07T20:00:00Z", []string{"2026-04-07 20:00 2026-04-07T18:00:00Z"}},
		{budapest, "2026-08-19T18:00:00Z", "2026-08-21T23:30:00Z", []string{"2026-08-21 25:30 2026-08-21T23:30:00Z"}},
		{Plan{"Europe/Budapest", Calendar{Close: map[string]string{"saturday": "26:30", "sunday": "02:45"}}}, "2026-03-28T00:00:00Z", "2026-03-30T00:00:00Z",
			[]string{"2026-03-28 26:30 2026-03-29T01:00:00Z", "2026-03-29 02:45 2026-03-29T01:00:00Z"}}, // both in the gap: two occurrences
		{Plan{"Europe/Budapest", Calendar{Close: map[string]string{"saturday": "26:30"}}}, "2026-10-24T00:00:00Z", "2026-10-26T00:00:00Z",
			[]string{"2026-10-24 26:30 2026-10-25T00:30:00Z"}}, // the repeated hour: once
		{Plan{"America/Jamaica", Calendar{Close: map[string]string{"monday": "18:00:07"}}}, "2026-05-25T00:00:00Z", "2026-05-26T00:00:00Z",
			[]string{"2026-05-25 18:00:07 2026-05-25T23:00:07Z"}},
		{kingston, "2026-05-23T00:00:00Z", "2026-05-26T00:00:00Z", []string{"2026-05-23 13:00 2026-05-23T18:00:00Z"}},
		{kingston, "2026-10-18T00:00:00Z", "2026-10-20T23:00:00Z", nil},
	} {
		s, err := Compile(c.plan)
		if err != nil {
			t.Fatal(err)
		}
		from, _ := time.Parse(time.RFC3339, c.from)
		to, _ := time.Parse(time.RFC3339, c.to)
		var got []string
		for _, o := range s.Between(from, to) {
			got = append(got, o.Date+" "+o.Close+" "+o.At.Format(time.RFC3339))
		}
		if strings.Join(got, ", ") != strings.Join(c.want, ", ") {
			t.Errorf("%s, %s to %s: %q, want %q", c.plan.Zone, c.from, c.to, got, c.want)
		}
	}
}

// What spans meet is the same however a time is cut into spans.
func TestBetweenAddsUp(t *testing.T) {
	s, err := Compile(budapest)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		from := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 500*24*60).Draw(t, "from")) * time.Minute)
		a, b := time.Duration(rapid.IntRange(0, 10000).Draw(t, "a"))*time.Minute, time.Duration(rapid.IntRange(0, 10000).Draw(t, "b"))*time.Minute
		whole, first, second := s.Between(from, from.Add(a+b)), s.Between(from, from.Add(a)), s.Between(from.Add(a), from.Add(a+b))
		if len(whole) != len(first)+len(second) {
			t.Fatalf("%d occurrences, in parts %d and %d", len(whole), len(first), len(second))
		}
		seen := map[string]bool{}
		for _, o := range whole {
			if seen[o.Date] {
				t.Fatalf("%s closes twice", o.Date)
			}
			seen[o.Date] = true
		}
	})
}

func TestCompileSaysWhere(t *testing.T) {
	for _, c := range []struct {
		plan Plan
		want string
	}{
		{Plan{Zone: "Europe/Buda"}, "zone: "},
		{Plan{Zone: "Local"}, "zone: "},
		{Plan{"UTC", Calendar{Close: map[string]string{"mon": "20:00"}}}, "close.mon: "},
		{Plan{"UTC", Calendar{Close: map[string]string{"monday": "8pm"}}}, "close.monday: "},
		{Plan{"UTC", Calendar{Close: map[string]string{"monday": "36:01"}}}, "close.monday: "},
		{Plan{"UTC", Calendar{Close: map[string]string{"monday": "20:00:60"}}}, "close.monday: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Name: "x", Month: 2, Day: 30}}}}, "holidays.0.day: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Name: "x", Month: 13}}}}, "holidays.0.month: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Name: "x", Month: 1, Weekday: "monday"}}}}, "holidays.0.weekday: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Name: "x", Easter: easter(1), Month: 3}}}}, "holidays.0.easter: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Month: 3, Day: 1}}}}, "holidays.0.name: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-30"}}}}, "exceptions.0.from: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-03", To: "2026-02-02"}}}}, "exceptions.0.to: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-03"}, {From: "2026-02-01", To: "2026-02-04"}}}}, "exceptions.1.from: overlaps"},
	} {
		_, err := Compile(c.plan)
		var at *Error
		if !errors.As(err, &at) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: %v, want %q", c.plan, err, c.want)
		}
	}
}

// Two tables of rules for one zone differ in their digest once they differ within the span.
func TestDigest(t *testing.T) {
	z := zone(t, "Europe/Budapest")
	fixed := time.FixedZone("CET", 3600)
	winter, spring := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC), time.Date(2027, 4, 1, 0, 0, 0, 0, time.UTC)
	if Digest(z, winter, winter.AddDate(0, 1, 0)) != Digest(fixed, winter, winter.AddDate(0, 1, 0)) {
		t.Error("the same offsets differ")
	}
	if Digest(z, winter, spring) == Digest(fixed, winter, spring) {
		t.Error("a zone without the spring's change has the same digest")
	}
}
