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

// init makes the library compute holidays in UTC, where no midnight is skipped.
func init() { cal.DefaultLoc = time.UTC }

// Schedule is a compiled plan. It is immutable and safe for concurrent use.
type Schedule struct {
	Zone          *time.Location
	weekdayCloses [7]time.Duration // by time.Weekday: closing time counted from midnight, or closed
	holidays      []holiday
	exceptions    []exception
}

// holiday is a compiled Holiday.
type holiday struct {
	rule  cal.Holiday
	close time.Duration // closing time counted from midnight, or closed
}

// exception is a compiled Exception.
type exception struct {
	from, to time.Time     // first and last date, as midnight UTC
	close    time.Duration // closing time counted from midnight, or closed
}

// closed is the closing time of a day on which the site does not open.
const closed = time.Duration(-1)

// weekdays maps the names that a calendar uses to weekdays.
var weekdays = map[string]time.Weekday{
	"sunday":    time.Sunday,
	"monday":    time.Monday,
	"tuesday":   time.Tuesday,
	"wednesday": time.Wednesday,
	"thursday":  time.Thursday,
	"friday":    time.Friday,
	"saturday":  time.Saturday,
}

// maxEasterDistance is the largest number of days between a holiday and Easter Sunday.
const maxEasterDistance = 100

// Compile checks and compiles a plan. It returns an *Error for the first invalid value.
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

// loadZone returns a zone by its IANA name. It rejects "Local", which depends on the settings of the machine.
func loadZone(name string) (*time.Location, error) {
	if name == "" || name == "Local" {
		return nil, fmt.Errorf("%q is not an IANA time zone name", name)
	}
	return time.LoadLocation(name)
}

// compileWeekdays parses the closing times by weekday. Missing weekdays are closed.
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

// rule returns the library's rule for the date of the holiday in a year.
func (h Holiday) rule() (cal.Holiday, error) {
	switch {
	case h.Easter != nil:
		return h.easterRule()
	case h.Month < 1 || h.Month > 12:
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is not a month from 1 to 12", h.Month), "month")
	case h.Weekday != "":
		return h.weekdayRule()
	}
	return h.dayRule()
}

// easterRule returns the rule of a holiday that is a number of days before or after Easter Sunday.
func (h Holiday) easterRule() (cal.Holiday, error) {
	days := *h.Easter
	onlyEaster := h.Month == 0 && h.Day == 0 && h.Weekday == ""
	if !onlyEaster || days < -maxEasterDistance || days > maxEasterDistance {
		return cal.Holiday{}, wrapPath(errors.New("expected -100 to 100 days, and no month, day or weekday"), "easter")
	}
	return cal.Holiday{Offset: days, Func: cal.CalcEasterOffset}, nil
}

// weekdayRule returns the rule of the nth weekday of a month.
func (h Holiday) weekdayRule() (cal.Holiday, error) {
	weekday, ok := weekdays[h.Weekday]
	validNth := h.Nth != 0 && h.Nth >= -5 && h.Nth <= 5
	if !ok || !validNth || h.Day != 0 {
		return cal.Holiday{}, wrapPath(errors.New("expected the name of a weekday, nth from -5 to -1 or 1 to 5, and no day"), "weekday")
	}
	return cal.Holiday{Month: time.Month(h.Month), Weekday: weekday, Offset: h.Nth, Func: cal.CalcWeekdayOffset}, nil
}

// dayRule returns the rule of a fixed day of a month. It accepts February 29.
func (h Holiday) dayRule() (cal.Holiday, error) {
	month := time.Month(h.Month)
	if h.Day < 1 || time.Date(2024, month, h.Day, 0, 0, 0, 0, time.UTC).Month() != month {
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is not a day of month %d", h.Day, h.Month), "day")
	}
	return cal.Holiday{Month: month, Day: h.Day, Func: cal.CalcDayOfMonth}, nil
}

// compile checks and compiles an exception.
func (e Exception) compile() (compiled exception, err error) {
	if compiled.from, err = time.Parse(time.DateOnly, e.From); err != nil {
		return exception{}, wrapPath(fmt.Errorf("%q is not a date of the form 2026-12-19", e.From), "from")
	}
	compiled.to, err = time.Parse(time.DateOnly, cmp.Or(e.To, e.From))
	if err != nil || compiled.to.Before(compiled.from) {
		return exception{}, wrapPath(fmt.Errorf("%q is not a date on or after %s", e.To, e.From), "to")
	}
	if compiled.close, err = parseOptionalClose(e.Close); err != nil {
		return exception{}, wrapPath(err, "close")
	}
	return compiled, nil
}

// checkOverlap returns an error if the exception overlaps with an earlier one, since neither takes precedence.
func (e exception) checkOverlap(earlier []exception) error {
	for i, other := range earlier {
		if !e.from.After(other.to) && !other.from.After(e.to) {
			return wrapPath(fmt.Errorf("overlaps with exceptions[%d]", i), "from")
		}
	}
	return nil
}

// parseOptionalClose parses a closing time. It returns closed for an empty value.
func parseOptionalClose(value string) (time.Duration, error) {
	if value == "" {
		return closed, nil
	}
	return parseClose(value)
}

// parseClose parses a closing time, "HH:MM" or "HH:MM:SS", and returns it as the duration from midnight.
func parseClose(value string) (time.Duration, error) {
	units := []time.Duration{time.Hour, time.Minute, time.Second}
	parts := strings.Split(value, ":")
	valid := len(parts) == 2 || len(parts) == 3
	sinceMidnight := time.Duration(0)
	for i, part := range parts[:min(len(parts), len(units))] {
		number, err := strconv.ParseUint(part, 10, 8)
		inRange := i == 0 || number <= 59
		valid = valid && err == nil && len(part) == 2 && inRange
		sinceMidnight += time.Duration(number) * units[i]
	}
	if !valid || sinceMidnight > MaxClose {
		return 0, fmt.Errorf("%q is not a time from 00:00 to 36:00, as HH:MM or HH:MM:SS", value)
	}
	return sinceMidnight, nil
}

// formatClose formats a closing time as "HH:MM", or as "HH:MM:SS" if it has seconds.
func formatClose(sinceMidnight time.Duration) string {
	formatted := fmt.Sprintf("%02d:%02d", sinceMidnight/time.Hour, sinceMidnight/time.Minute%60)
	if seconds := sinceMidnight / time.Second % 60; seconds != 0 {
		formatted += fmt.Sprintf(":%02d", seconds)
	}
	return formatted
}
