// Package calendar decides when a site closes: local closing times by weekday, holidays and exceptions of a term, in an IANA
// zone, put into instants. It owns nothing and reads no clock; the caller owes it zone data (time/tzdata or the machine's) and
// must compare Digest with others before it takes their instants and its own for the same.
//
// What holds: an occurrence is named by its local date and its close, both as the operators wrote them, so that no change of
// zone data renames it; the same plan and the same zone data give the same occurrences everywhere. A close is a reading of the
// local clock, and falls on the first instant at which that clock reads it or later (see First).
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

// Easter and weekdays of a month are counted by the library in a zone of its own; UTC has no skipped midnight.
func init() { cal.DefaultLoc = time.UTC }

// MaxClose is the latest close of a day, counted from its midnight: a night that ends at noon.
const MaxClose = 36 * time.Hour

// Calendar is when a kind of site closes, as its operators write it.
type Calendar struct {
	// Close has closing times by weekday in English, small letters, "HH:MM" or "HH:MM:SS" on the local clock; a weekday that is
	// not named has none. "25:30" is half past one in the night that follows: it belongs to the day on which the site opened.
	Close      map[string]string `json:"close"`
	Holidays   []Holiday         `json:"holidays,omitempty"`
	Exceptions []Exception       `json:"exceptions,omitempty"` // they go before holidays and weekdays
}

// Holiday is a day of each year: of a month, the nth weekday of a month (negative: from its end), or so many days from Easter.
type Holiday struct {
	Name            string `json:"name"`
	Month           int    `json:"month,omitempty"`
	Day             int    `json:"day,omitempty"`
	Weekday         string `json:"weekday,omitempty"`
	Nth             int    `json:"nth,omitempty"`
	Easter          *int   `json:"easter,omitempty"`
	MondayIfWeekend bool   `json:"monday_if_weekend,omitempty"` // kept on the Monday that follows a Saturday or Sunday
	Close           string `json:"close,omitempty"`             // empty: the site does not open
}

// Exception is a span of dates, "2026-12-19" to To or that day alone, with a close of its own or none.
type Exception struct {
	From  string `json:"from"`
	To    string `json:"to,omitempty"`
	Close string `json:"close,omitempty"` // empty: the site does not open
}

// Plan is what one site closes by.
type Plan struct {
	Zone string `json:"zone"` // an IANA name
	Calendar
}

// Error is what is wrong with a calendar, and at which key.
type Error struct {
	Path []string // keys and, as numbers from 0, places in lists
	Err  error
}

func (e *Error) Error() string { return strings.Join(e.Path, ".") + ": " + e.Err.Error() }

// Unwrap is the cause.
func (e *Error) Unwrap() error { return e.Err }

func wrapPath(err error, path ...string) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) {
		return &Error{append(path, inner.Path...), inner.Err}
	}
	return &Error{path, err}
}

// Schedule is a plan made ready. It does not change and is safe for use by several goroutines.
type Schedule struct {
	Zone          *time.Location
	weekdayCloses [7]time.Duration
	holidays      []holiday
	exceptions    []exception
}

type holiday struct {
	rule  cal.Holiday
	close time.Duration
}

type exception struct {
	from, to time.Time // dates, at midnight UTC
	close    time.Duration
}

const closed = time.Duration(-1)

var weekdays = map[string]time.Weekday{"sunday": time.Sunday, "monday": time.Monday, "tuesday": time.Tuesday, "wednesday": time.Wednesday,
	"thursday": time.Thursday, "friday": time.Friday, "saturday": time.Saturday}

// Compile checks a plan and makes it ready. Errors are *Error.
func Compile(p Plan) (*Schedule, error) {
	s := &Schedule{}
	var err error
	if p.Zone == "" || p.Zone == "Local" { // Local is whatever each machine is set to
		return nil, wrapPath(fmt.Errorf("%q is no IANA zone", p.Zone), "zone")
	}
	if s.Zone, err = time.LoadLocation(p.Zone); err != nil {
		return nil, wrapPath(err, "zone")
	}
	for i := range s.weekdayCloses {
		s.weekdayCloses[i] = closed
	}
	for _, name := range slices.Sorted(maps.Keys(p.Close)) {
		day, ok := weekdays[name]
		if !ok {
			return nil, wrapPath(errors.New("no weekday"), "close", name)
		}
		if s.weekdayCloses[day], err = parseClose(p.Close[name], false); err != nil {
			return nil, wrapPath(err, "close", name)
		}
	}
	for i, h := range p.Holidays {
		made, err := h.compile()
		if err != nil {
			return nil, wrapPath(err, "holidays", strconv.Itoa(i))
		}
		s.holidays = append(s.holidays, made)
	}
	for i, e := range p.Exceptions {
		made, err := e.compile()
		if err != nil {
			return nil, wrapPath(err, "exceptions", strconv.Itoa(i))
		}
		for j, o := range s.exceptions { // which of two counts would be anybody's guess
			if !made.from.After(o.to) && !o.from.After(made.to) {
				return nil, wrapPath(fmt.Errorf("overlaps with exceptions[%d]", j), "exceptions", strconv.Itoa(i), "from")
			}
		}
		s.exceptions = append(s.exceptions, made)
	}
	return s, nil
}

// compile returns the holiday as a rule of the calendar library, with its close.
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
	closeAt, err := parseClose(h.Close, true)
	if err != nil {
		return holiday{}, wrapPath(err, "close")
	}
	return holiday{rule: rule, close: closeAt}, nil
}

// rule returns the rule for the day of the year.
func (h Holiday) rule() (cal.Holiday, error) {
	switch {
	case h.Easter != nil:
		return h.easterRule()
	case h.Month < 1 || h.Month > 12:
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is no month", h.Month), "month")
	case h.Weekday != "":
		return h.weekdayRule()
	case h.Day < 1 || time.Date(leapYear, time.Month(h.Month), h.Day, 0, 0, 0, 0, time.UTC).Month() != time.Month(h.Month):
		return cal.Holiday{}, wrapPath(fmt.Errorf("%d is no day of month %d", h.Day, h.Month), "day")
	}
	return cal.Holiday{Month: time.Month(h.Month), Day: h.Day, Func: cal.CalcDayOfMonth}, nil
}

// leapYear has every day that a holiday can be on.
const leapYear = 2024

// maxEasterOffset is how many days from Easter a holiday may be.
const maxEasterOffset = 100

func (h Holiday) easterRule() (cal.Holiday, error) {
	if h.Month != 0 || h.Day != 0 || h.Weekday != "" || *h.Easter < -maxEasterOffset || *h.Easter > maxEasterOffset {
		return cal.Holiday{}, wrapPath(fmt.Errorf("stands alone, within %d days", maxEasterOffset), "easter")
	}
	return cal.Holiday{Offset: *h.Easter, Func: cal.CalcEasterOffset}, nil
}

// maxNth is how often a weekday can be in a month.
const maxNth = 5

func (h Holiday) weekdayRule() (cal.Holiday, error) {
	weekday, known := weekdays[h.Weekday]
	if !known || h.Day != 0 || h.Nth == 0 || h.Nth < -maxNth || h.Nth > maxNth {
		return cal.Holiday{}, wrapPath(errors.New("it takes a weekday's name and nth from -5 to 5, not 0, and no day"), "weekday")
	}
	return cal.Holiday{Month: time.Month(h.Month), Weekday: weekday, Offset: h.Nth, Func: cal.CalcWeekdayOffset}, nil
}

func (e Exception) compile() (out exception, err error) {
	if out.from, err = time.Parse(time.DateOnly, e.From); err != nil {
		return out, wrapPath(fmt.Errorf("%q is no date such as 2026-12-19", e.From), "from")
	}
	if out.to, err = time.Parse(time.DateOnly, cmp.Or(e.To, e.From)); err != nil || out.to.Before(out.from) {
		return out, wrapPath(fmt.Errorf("%q is no date from %s on", e.To, e.From), "to")
	}
	if out.close, err = parseClose(e.Close, true); err != nil {
		return out, wrapPath(err, "close")
	}
	return out, nil
}

// parseClose reads a close.
func parseClose(text string, mayBeClosed bool) (time.Duration, error) {
	if text == "" && mayBeClosed {
		return closed, nil
	}
	parts := strings.Split(text, ":")
	var d time.Duration
	bad := len(parts) < 2 || len(parts) > 3
	for i, unit := range []time.Duration{time.Hour, time.Minute, time.Second}[:min(len(parts), 3)] {
		n, err := strconv.ParseUint(parts[i], 10, 8)
		bad = bad || err != nil || len(parts[i]) != 2 || i > 0 && n > 59
		d += time.Duration(n) * unit
	}
	if bad || d > MaxClose {
		return 0, fmt.Errorf("%q is no time of day from 00:00 to 36:00", text)
	}
	return d, nil
}
