package calendar

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rickar/cal/v2"
)

// init has the library count Easter and the weekdays of a month in UTC, which has no skipped midnight.
func init() { cal.DefaultLoc = time.UTC }

// Schedule is a compiled plan. It does not change and is safe for concurrent use.
type Schedule struct {
	Zone          *time.Location
	weekdayCloses [7]time.Duration // by time.Weekday, from the day's midnight; or closed
	holidays      []holiday
	exceptions    []exception
}

// holiday is a compiled Holiday.
type holiday struct {
	rule  cal.Holiday
	close time.Duration // from the day's midnight; or closed
}

// exception is a compiled Exception.
type exception struct {
	from, to time.Time     // dates, at midnight UTC
	close    time.Duration // from the day's midnight; or closed
}

// closed stands for the close of a day on which the site does not open.
const closed = time.Duration(-1)

// weekdays is the names of weekdays in a calendar.
var weekdays = map[string]time.Weekday{
	"sunday":    time.Sunday,
	"monday":    time.Monday,
	"tuesday":   time.Tuesday,
	"wednesday": time.Wednesday,
	"thursday":  time.Thursday,
	"friday":    time.Friday,
	"saturday":  time.Saturday,
}

// maxEasterDistance bounds how many days a holiday may be from Easter.
const maxEasterDistance = 100

// Compile checks and compiles a plan. Its error is an *Error.
func Compile(p Plan) (*Schedule, error) {
	s := &Schedule{}
	var err error
	if s.Zone, err = loadZone(p.Zone); err != nil {
		return nil, wrapPath(err, "zone")
	}
	if s.weekdayCloses, err = compileWeekdays(p.Close); err != nil {
		return nil, wrapPath(err, "close")
	}
	for i, h := range p.Holidays {
		compiled, err := h.compile()
		if err != nil {
			return nil, wrapPath(err, "holidays", strconv.Itoa(i))
		}
		s.holidays = append(s.holidays, compiled)
	}
	for i, e := range p.Exceptions {
		compiled, err := e.compile()
		if err == nil {
			err = compiled.checkOverlap(s.exceptions)
		}
		if err != nil {
			return nil, wrapPath(err, "exceptions", strconv.Itoa(i))
		}
		s.exceptions = append(s.exceptions, compiled)
	}
	return s, nil
}

// loadZone returns a zone by its IANA name. "Local" is none: it is whatever each machine is set to.
func loadZone(name string) (*time.Location, error) {
	if name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is no IANA zone", name)
	}
	return time.LoadLocation(name)
}

// compileWeekdays compiles the closes by weekday.
func compileWeekdays(closes map[string]string) ([7]time.Duration, error) {
	var compiled [7]time.Duration
	for day := range compiled {
		compiled[day] = closed
	}
	for _, name := range slices.Sorted(maps.Keys(closes)) {
		day, ok := weekdays[name]
		if !ok {
			return compiled, wrapPath(errors.New("no weekday"), name)
		}
		var err error
		if compiled[day], err = parseClose(closes[name]); err != nil {
			return compiled, wrapPath(err, name)
		}
	}
	return compiled, nil
}

// compile checks and compiles a holiday.
func (h Holiday) compile() (holiday, error) {
	if h.Name == "" {
		return holiday{}, wrapPath(errors.New("missing"), "name")
	}
	rule, err := h.rule()
	if err != nil {
		return holiday{}, err
	}
	rule.Name = h.Name
	if h.MondayIfWeekend {
		rule.Observed = []cal.AltDay{{Day: time.Saturday, Offset: 2}, {Day: time.Sunday, Offset: 1}}
	}
	compiled := holiday{rule: rule}
	if compiled.close, err = parseOptionalClose(h.Close); err != nil {
		return holiday{}, wrapPath(err, "close")
	}
	return compiled, nil
}

// rule returns on which day of a year the holiday is.
func (h Holiday) rule() (cal.Holiday, error) {
	switch {
	case h.Easter != nil:
		return h.easterRule()
	case h.Month < 1 || h.Month > 12:
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is no month", h.Month), "month")
	case h.Weekday != "":
		return h.weekdayRule()
	}
	return h.dayRule()
}

// easterRule is the rule of a holiday at a distance from Easter.
func (h Holiday) easterRule() (cal.Holiday, error) {
	days := *h.Easter
	alone := h.Month == 0 && h.Day == 0 && h.Weekday == ""
	if !alone || days < -maxEasterDistance || days > maxEasterDistance {
		return cal.Holiday{}, wrapPath(errors.New("stands alone, within 100 days"), "easter")
	}
	return cal.Holiday{Offset: days, Func: cal.CalcEasterOffset}, nil
}

// weekdayRule is the rule of the nth weekday of a month.
func (h Holiday) weekdayRule() (cal.Holiday, error) {
	weekday, ok := weekdays[h.Weekday]
	validNth := h.Nth != 0 && h.Nth >= -5 && h.Nth <= 5
	if !ok || !validNth || h.Day != 0 {
		return cal.Holiday{}, wrapPath(errors.New("it takes a weekday's name and nth from -5 to 5, not 0, and no day"), "weekday")
	}
	return cal.Holiday{Month: time.Month(h.Month), Weekday: weekday, Offset: h.Nth, Func: cal.CalcWeekdayOffset}, nil
}

// dayRule is the rule of a day of a month, of a leap year.
func (h Holiday) dayRule() (cal.Holiday, error) {
	month := time.Month(h.Month)
	if h.Day < 1 || time.Date(2024, month, h.Day, 0, 0, 0, 0, time.UTC).Month() != month {
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is no day of month %d", h.Day, h.Month), "day")
	}
	return cal.Holiday{Month: month, Day: h.Day, Func: cal.CalcDayOfMonth}, nil
}

// compile checks and compiles an exception.
func (e Exception) compile() (compiled exception, err error) {
	if compiled.from, err = time.Parse(time.DateOnly, e.From); err != nil {
		return exception{}, wrapPath(fmt.Errorf("%q is no date such as 2026-12-19", e.From), "from")
	}
	compiled.to, err = time.Parse(time.DateOnly, cmp.Or(e.To, e.From))
	if err != nil || compiled.to.Before(compiled.from) {
		return exception{}, wrapPath(fmt.Errorf("%q is no date from %s on", e.To, e.From), "to")
	}
	if compiled.close, err = parseOptionalClose(e.Close); err != nil {
		return exception{}, wrapPath(err, "close")
	}
	return compiled, nil
}

// checkOverlap refuses an exception that overlaps with an earlier one: nothing says which of two counts.
func (e exception) checkOverlap(earlier []exception) error {
	for i, other := range earlier {
		if !e.from.After(other.to) && !other.from.After(e.to) {
			return wrapPath(fmt.Errorf("overlaps with exceptions[%d]", i), "from")
		}
	}
	return nil
}

// parseOptionalClose parses a close; an empty text is closed.
func parseOptionalClose(text string) (time.Duration, error) {
	if text == "" {
		return closed, nil
	}
	return parseClose(text)
}

// parseClose parses a close, "HH:MM" or "HH:MM:SS", as the time from midnight.
func parseClose(text string) (time.Duration, error) {
	units := []time.Duration{time.Hour, time.Minute, time.Second}
	parts := strings.Split(text, ":")
	valid := len(parts) == 2 || len(parts) == 3
	sinceMidnight := time.Duration(0)
	for i, part := range parts[:min(len(parts), len(units))] {
		n, err := strconv.ParseUint(part, 10, 8)
		inRange := i == 0 || n <= 59
		valid = valid && err == nil && len(part) == 2 && inRange
		sinceMidnight += time.Duration(n) * units[i]
	}
	if !valid || sinceMidnight > MaxClose {
		return 0, fmt.Errorf("%q is no time of day from 00:00 to 36:00", text)
	}
	return sinceMidnight, nil
}

// formatClose returns a close as the operators write it.
func formatClose(sinceMidnight time.Duration) string {
	text := fmt.Sprintf("%02d:%02d", sinceMidnight/time.Hour, sinceMidnight/time.Minute%60)
	if seconds := sinceMidnight / time.Second % 60; seconds != 0 {
		text += fmt.Sprintf(":%02d", seconds)
	}
	return text
}
