// Package calendar decides when a site closes: local closing times by weekday, and holidays and exceptions of a term, in an IANA zone,
// converted to instants. It owns nothing, reads no clock, and its functions may be called concurrently. The caller owes it zone data
// (time/tzdata or the machine's), and must compare Digest with other processes before it takes their instants and its own for the same.
//
// Invariants: an occurrence is named by its local date and its close, both as the operators wrote them, so no change of zone data renames
// it; the same plan and the same zone data give the same occurrences everywhere. A close is a reading of the local clock, and falls on
// the first instant at which that clock reads it or later (FirstInstant).
package calendar

import (
	"errors"
	"strings"
	"time"
)

// MaxClose is the latest close of a day, counted from the day's midnight: a night that ends at noon.
const MaxClose = 36 * time.Hour

// Calendar is when a kind of site closes, as its operators write it.
type Calendar struct {
	// Close has closing times by weekday, in English and lower case, as "HH:MM" or "HH:MM:SS" on the local clock. A weekday that is not
	// named has none. "25:30" is half past one in the night that follows: it belongs to the day on which the site opened.
	Close      map[string]string `json:"close"`
	Holidays   []Holiday         `json:"holidays,omitempty"`
	Exceptions []Exception       `json:"exceptions,omitempty"` // they take precedence over holidays and weekdays
}

// Holiday is a day of each year: a day of a month, the nth weekday of a month (negative: from its end), or a day at a distance from
// Easter.
type Holiday struct {
	Name            string `json:"name"`
	Month           int    `json:"month,omitempty"`
	Day             int    `json:"day,omitempty"`
	Weekday         string `json:"weekday,omitempty"`
	Nth             int    `json:"nth,omitempty"`
	Easter          *int   `json:"easter,omitempty"`            // days after Easter Sunday
	MondayIfWeekend bool   `json:"monday_if_weekend,omitempty"` // kept on the Monday that follows a Saturday or Sunday
	Close           string `json:"close,omitempty"`             // empty: the site does not open
}

// Exception is a span of dates, from From ("2026-12-19") to To or that day alone, with a close of its own or none.
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

// Error returns the path and the cause.
func (e *Error) Error() string { return strings.Join(e.Path, ".") + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// wrapPath returns an *Error of a cause below a path; nil for nil.
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
