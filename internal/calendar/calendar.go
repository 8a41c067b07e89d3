// Package calendar computes when a site closes. It converts local closing times, defined by weekday, by holiday and by exceptions for spans
// of dates, in an IANA time zone, to instants. It has no state, reads no clock, and its functions may be called concurrently. The caller
// must provide zone data (time/tzdata or the machine's), and must compare Digest with that of another process before it relies on both
// computing the same instants.
//
// Invariants: an occurrence is identified by its local date and its closing time as written by the operators, so a change of zone data
// never changes its identity. The same plan and the same zone data yield the same occurrences everywhere. A closing time is a local clock
// reading, and occurs at the first instant at which the local clock shows that reading or a later one (FirstInstant).
package calendar

import (
	"errors"
	"strings"
	"time"
)

// MaxClose is the latest closing time of a day, counted from the day's midnight: noon of the following day.
const MaxClose = 36 * time.Hour

// Calendar holds the closing times of one kind of site, as written by the operators.
type Calendar struct {
	// Close holds the closing time by weekday, as "HH:MM" or "HH:MM:SS" on the local clock. Weekdays are English and in lower case. The
	// site does not open on a missing weekday. "25:30" is 01:30 of the following day, and belongs to the day on which the site opened.
	Close      map[string]string `json:"close"`
	Holidays   []Holiday         `json:"holidays,omitempty"`
	Exceptions []Exception       `json:"exceptions,omitempty"` // take precedence over holidays and weekdays
}

// Holiday is a day of each year: a fixed day of a month, the nth weekday of a month (counted from the end of the month if negative), or a
// number of days before or after Easter Sunday.
type Holiday struct {
	Name            string `json:"name"`
	Month           int    `json:"month,omitempty"`             // 1 to 12; 0 with Easter
	Day             int    `json:"day,omitempty"`               // day of the month; 0 with Weekday or Easter
	Weekday         string `json:"weekday,omitempty"`           // as in Calendar.Close; requires Nth
	Nth             int    `json:"nth,omitempty"`               // -5 to 5, but not 0
	Easter          *int   `json:"easter,omitempty"`            // days after Easter Sunday; negative: before it
	MondayIfWeekend bool   `json:"monday_if_weekend,omitempty"` // observed on the following Monday if it falls on a weekend
	Close           string `json:"close,omitempty"`             // empty: the site does not open
}

// Exception is a span of dates with its own closing time: the dates From ("2026-12-19") to To inclusive, or From alone if To is empty.
type Exception struct {
	From  string `json:"from"`
	To    string `json:"to,omitempty"`
	Close string `json:"close,omitempty"` // empty: the site does not open
}

// Plan is the time zone and the calendar of one site.
type Plan struct {
	Zone string `json:"zone"` // IANA time zone name
	Calendar
}

// Error is an invalid value in a calendar, with the path of its key.
type Error struct {
	Path []string // keys, and indexes of list elements counted from 0
	Err  error
}

// Error implements error. It returns the path and the cause.
func (e *Error) Error() string { return strings.Join(e.Path, ".") + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapPath returns err as an *Error with the given path, followed by the path of err if it is an *Error itself. It returns nil if err is
// nil.
func wrapPath(err error, path ...string) error {
	if err == nil {
		return nil
	}
	var inner *Error
	if errors.As(err, &inner) {
		return &Error{Path: append(path, inner.Path...), Err: inner.Err}
	}
	return &Error{Path: path, Err: err}
}
