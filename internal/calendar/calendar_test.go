package calendar

import (
	"errors"
	"strings"
	"testing"
	"time"
	_ "time/tzdata"

	"pgregory.net/rapid"
)

func mustLoadZone(t testing.TB, name string) *time.Location {
	t.Helper()
	location, err := time.LoadLocation(name)
	if err != nil {
		t.Fatal(err)
	}
	return location
}

// TestFirstInstant covers clock readings that are skipped or repeated, and zones whose rules change.
func TestFirstInstant(t *testing.T) {
	for _, c := range []struct{ zone, reading, want, why string }{
		{"Europe/Budapest", "2026-07-01 20:00", "2026-07-01T18:00:00Z", "summer"},
		{"Europe/Budapest", "2026-12-02 20:00", "2026-12-02T19:00:00Z", "winter"},
		{"Europe/Budapest", "2026-03-29 02:30", "2026-03-29T01:00:00Z", "skipped hour: first instant after the gap"},
		{"Europe/Budapest", "2026-03-29 03:00", "2026-03-29T01:00:00Z", "first reading after the gap"},
		{"Europe/Budapest", "2026-10-25 02:30", "2026-10-25T00:30:00Z", "repeated hour: first occurrence, in summer time"},
		{"Europe/Budapest", "2026-10-25 03:00", "2026-10-25T02:00:00Z", "after the repeated hour"},
		{"Europe/Budapest", "2027-03-28 02:00", "2027-03-28T01:00:00Z", "start of the gap"},
		{"Europe/Budapest", "2027-10-31 02:00", "2027-10-31T00:00:00Z", "start of the repeated hour"},
		{"America/Jamaica", "2026-03-29 02:30", "2026-03-29T07:30:00Z", "no daylight saving: no gap in spring"},
		{"America/Jamaica", "2026-10-25 02:30", "2026-10-25T07:30:00Z", "no daylight saving: no repeated hour in autumn"},
		{"America/New_York", "2027-03-14 02:30", "2027-03-14T07:00:00Z", "gap in another zone"},
		{"America/Mexico_City", "2022-04-04 20:00", "2022-04-05T01:00:00Z", "last year with daylight saving"},
		{"America/Mexico_City", "2023-04-04 20:00", "2023-04-05T02:00:00Z", "daylight saving abolished"},
		{"Africa/Casablanca", "2026-02-20 20:00", "2026-02-20T20:00:00Z", "clock set back for Ramadan"},
		{"Africa/Casablanca", "2026-04-20 20:00", "2026-04-20T19:00:00Z", "clock set forward after Ramadan"},
		{"Pacific/Apia", "2011-12-30 18:00", "2011-12-30T10:00:00Z", "date skipped by the zone"},
		{"Australia/Lord_Howe", "2026-04-05 01:45", "2026-04-04T14:45:00Z", "repeated half hour"},
	} {
		reading, err := time.Parse("2006-01-02 15:04", c.reading)
		if err != nil {
			t.Fatal(err)
		}
		if got := FirstInstant(mustLoadZone(t, c.zone), reading).Format(time.RFC3339); got != c.want {
			t.Errorf("%s %s: got %s, want %s (%s)", c.zone, c.reading, got, c.want, c.why)
		}
	}
}

// TestFirstInstantIsEarliest compares FirstInstant with a search minute by minute for the first instant at which the clock shows the
// reading.
func TestFirstInstantIsEarliest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"Europe/Budapest", "America/Jamaica", "America/New_York", "Africa/Casablanca", "Pacific/Apia", "Australia/Lord_Howe"}).Draw(t, "zone")
		location, err := time.LoadLocation(name)
		if err != nil {
			t.Fatal(err)
		}
		at := time.Date(2011+rapid.IntRange(0, 17).Draw(t, "year"), 1, 1, 0, 0, 0, 0, time.UTC)
		if _, end := at.AddDate(0, rapid.IntRange(0, 11).Draw(t, "month"), 0).In(location).ZoneBounds(); !end.IsZero() {
			at = end // draw readings near a change of the offset
		}
		reading := at.Add(time.Duration(rapid.IntRange(-26*60, 26*60).Draw(t, "minutes")) * time.Minute).Truncate(time.Minute).UTC()
		localReading := func(t time.Time) time.Time { // local clock reading, as a time in UTC
			local := t.In(location)
			return time.Date(local.Year(), local.Month(), local.Day(), local.Hour(), local.Minute(), local.Second(), 0, time.UTC)
		}
		want := reading.Add(-30 * time.Hour)
		for localReading(want).Before(reading) {
			want = want.Add(time.Minute)
		}
		if got := FirstInstant(location, reading); !got.Equal(want) {
			t.Fatalf("%s %s: got %s, want %s", name, reading, got, want)
		}
	})
}

func daysAfterEaster(days int) *int { return &days }

var budapest = Plan{"Europe/Budapest", Calendar{Close: map[string]string{"monday": "20:00", "tuesday": "20:00", "wednesday": "20:00", "thursday": "20:00", "friday": "25:30"},
	Holidays:   []Holiday{{Name: "Easter Monday", Easter: daysAfterEaster(1)}, {Name: "St Stephen", Month: 8, Day: 20}, {Name: "Christmas Eve", Month: 12, Day: 24, Close: "12:00"}},
	Exceptions: []Exception{{From: "2026-12-28", To: "2027-01-03"}, {From: "2026-12-19", Close: "14:00"}}}}

var kingston = Plan{"America/Jamaica", Calendar{Close: map[string]string{"monday": "18:00", "saturday": "13:00"},
	Holidays: []Holiday{{Name: "Labour Day", Month: 5, Day: 23, MondayIfWeekend: true}, {Name: "Heroes' Day", Month: 10, Weekday: "monday", Nth: 3}}}}

// TestBetween covers weekdays, holidays, exceptions, and closing times after midnight on nights with a clock change. Each date has at most
// one close.
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
			[]string{"2026-03-28 26:30 2026-03-29T01:00:00Z", "2026-03-29 02:45 2026-03-29T01:00:00Z"}}, // both readings in the gap: two occurrences at one instant
		{Plan{"Europe/Budapest", Calendar{Close: map[string]string{"saturday": "26:30"}}}, "2026-10-24T00:00:00Z", "2026-10-26T00:00:00Z",
			[]string{"2026-10-24 26:30 2026-10-25T00:30:00Z"}}, // reading in the repeated hour: one occurrence
		{Plan{"America/Jamaica", Calendar{Close: map[string]string{"monday": "18:00:07"}}}, "2026-05-25T00:00:00Z", "2026-05-26T00:00:00Z",
			[]string{"2026-05-25 18:00:07 2026-05-25T23:00:07Z"}},
		{kingston, "2026-05-23T00:00:00Z", "2026-05-26T00:00:00Z", []string{"2026-05-23 13:00 2026-05-23T18:00:00Z"}},
		{kingston, "2026-10-18T00:00:00Z", "2026-10-20T23:00:00Z", nil},
	} {
		schedule, err := Compile(c.plan)
		if err != nil {
			t.Fatal(err)
		}
		from, _ := time.Parse(time.RFC3339, c.from)
		to, _ := time.Parse(time.RFC3339, c.to)
		var got []string
		for _, occurrence := range schedule.Between(from, to) {
			got = append(got, occurrence.Date+" "+occurrence.Close+" "+occurrence.At.Format(time.RFC3339))
		}
		if strings.Join(got, ", ") != strings.Join(c.want, ", ") {
			t.Errorf("%s, %s to %s: got %q, want %q", c.plan.Zone, c.from, c.to, got, c.want)
		}
	}
}

// TestBetweenOfAdjacentSpans checks that two adjacent spans together have as many occurrences as the whole span, so none is lost or
// repeated at the boundary, and that each date closes once.
func TestBetweenOfAdjacentSpans(t *testing.T) {
	schedule, err := Compile(budapest)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		from := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(rapid.IntRange(0, 500*24*60).Draw(t, "from")) * time.Minute)
		firstLength, secondLength := time.Duration(rapid.IntRange(0, 10000).Draw(t, "a"))*time.Minute, time.Duration(rapid.IntRange(0, 10000).Draw(t, "b"))*time.Minute
		whole, first, second := schedule.Between(from, from.Add(firstLength+secondLength)), schedule.Between(from, from.Add(firstLength)), schedule.Between(from.Add(firstLength), from.Add(firstLength+secondLength))
		if len(whole) != len(first)+len(second) {
			t.Fatalf("%d occurrences in the whole span, but %d and %d in its two parts", len(whole), len(first), len(second))
		}
		seen := map[string]bool{}
		for _, occurrence := range whole {
			if seen[occurrence.Date] {
				t.Fatalf("%s has two closes", occurrence.Date)
			}
			seen[occurrence.Date] = true
		}
	})
}

// TestCompileErrorPath checks that the error for an invalid plan starts with the path of the invalid key.
func TestCompileErrorPath(t *testing.T) {
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
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Name: "x", Easter: daysAfterEaster(1), Month: 3}}}}, "holidays.0.easter: "},
		{Plan{"UTC", Calendar{Holidays: []Holiday{{Month: 3, Day: 1}}}}, "holidays.0.name: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-30"}}}}, "exceptions.0.from: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-03", To: "2026-02-02"}}}}, "exceptions.0.to: "},
		{Plan{"UTC", Calendar{Exceptions: []Exception{{From: "2026-02-03"}, {From: "2026-02-01", To: "2026-02-04"}}}}, "exceptions.1.from: overlaps"},
	} {
		_, err := Compile(c.plan)
		var pathError *Error
		if !errors.As(err, &pathError) || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%+v: got error %v, want prefix %q", c.plan, err, c.want)
		}
	}
}

// TestDigest checks that two sets of zone rules have the same digest if and only if their offsets are the same within the span.
func TestDigest(t *testing.T) {
	location := mustLoadZone(t, "Europe/Budapest")
	fixed := time.FixedZone("CET", 3600)
	winter, spring := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC), time.Date(2027, 4, 1, 0, 0, 0, 0, time.UTC)
	if Digest(location, winter, winter.AddDate(0, 1, 0)) != Digest(fixed, winter, winter.AddDate(0, 1, 0)) {
		t.Error("digests differ for the same offsets")
	}
	if Digest(location, winter, spring) == Digest(fixed, winter, spring) {
		t.Error("digest does not depend on the clock change in spring")
	}
}
