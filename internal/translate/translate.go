// Package translate puts what clients of one wire say into what servers of another understand, and back, by way of a neutral
// form: columns, values in a canonical text, rows, warnings and errors by what they mean. It has no sockets and no state.
//
// Its rule is that nothing is changed silently. A statement that would mean something else, a value out of the other side's
// range, a character that the other side can't write, is an error that names it.
package translate

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Kind is a type of values, in neither wire's terms.
type Kind uint8

// The kinds, and the canonical text of their values.
const (
	Text     Kind = iota // UTF-8
	Bytes                // as they are
	Int8                 // decimal digits; so are all integers, of which Column.Unsigned tells the sign
	Int16                //
	Int32                //
	Int64                //
	Year                 // 1901 to 2155, or 0000
	Float32              // the shortest decimal that reads back as the same; no NaN, no infinity
	Float64              //
	Decimal              // digits with a point
	Date                 // 2026-12-01
	Time                 // [-]HHH:MM:SS[.ffffff], up to 838:59:59
	DateTime             // 2026-12-01 17:00:00[.ffffff], without a zone
	Stamp                // the same, an instant in UTC
	JSON                 // UTF-8
	Bit                  // as Bytes, the highest bits first
	Bool                 // 0 or 1
	Null                 // always NULL
)

// Value is the canonical text; nil is NULL.
type Value []byte

// Column describes one column of a result.
type Column struct {
	Name, Table, Schema string
	Kind                Kind
	Unsigned            bool
	Length              uint32 // characters that it shows at most, where known
	Decimals            uint8  // digits behind the point; 31: as many as there are
}

// Result is what a statement gave.
type Result struct {
	Columns  []Column // none: the statement returns no rows
	Rows     [][]Value
	Affected uint64
	InsertID uint64
	Warnings uint16
}

// Error is a statement's error, as a server worded it, by what it means.
type Error struct {
	Meaning Meaning
	Text    string
}

func (e *Error) Error() string { return e.Text }

// AsError is what an error of this package, or another one, means to a client.
func AsError(err error) *Error {
	var own *Error
	var unsupported *UnsupportedError
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &unsupported):
		return &Error{Meaning: NotSupported, Text: err.Error()}
	}
	return &Error{Meaning: Unknown, Text: err.Error()}
}

// OutOfRange is the error of a value that the other side can't hold.
func OutOfRange(column, format string, args ...any) *Error {
	return &Error{Meaning: Range, Text: fmt.Sprintf("Out of range value for column '%s': ", column) + fmt.Sprintf(format, args...)}
}

// ---- Canonical texts ----

// integer bounds of the kinds.
func (k Kind) bits() int {
	switch k {
	case Int8:
		return 8
	case Int16:
		return 16
	case Int32:
		return 32
	}
	return 64
}

// clock is a time of day or span; sign is -1 or 1.
type clock struct {
	sign                 int
	hour, minute, second int
	micro                int
}

const maxHours = 838 // of MySQL's TIME

// parseClock reads [-]H+:MM:SS[.f{1,6}].
func parseClock(s string) (c clock, ok bool) {
	c.sign = 1
	if rest, neg := strings.CutPrefix(s, "-"); neg {
		c.sign, s = -1, rest
	}
	main, frac, dotted := strings.Cut(s, ".")
	parts := strings.Split(main, ":")
	if len(parts) != 3 || len(parts[1]) != 2 || len(parts[2]) != 2 || len(parts[0]) < 2 || len(parts[0]) > 4 {
		return c, false
	}
	var ok1, ok2, ok3 bool
	c.hour, ok1 = digits(parts[0])
	c.minute, ok2 = digits(parts[1])
	c.second, ok3 = digits(parts[2])
	ok = ok1 && ok2 && ok3 && c.minute < 60 && c.second < 60
	if dotted {
		if len(frac) == 0 || len(frac) > 6 {
			return c, false
		}
		var okf bool
		c.micro, okf = digits((frac + "000000")[:6])
		ok = ok && okf
	}
	return c, ok
}

func digits(s string) (n int, ok bool) {
	for _, c := range []byte(s) {
		if !isDigit(c) {
			return 0, false
		}
		n = 10*n + int(c-'0')
	}
	return n, s != ""
}

func (c clock) String() string {
	sign := ""
	if c.sign < 0 {
		sign = "-"
	}
	s := fmt.Sprintf("%s%02d:%02d:%02d", sign, c.hour, c.minute, c.second)
	if c.micro > 0 {
		s += fmt.Sprintf(".%06d", c.micro)
	}
	return s
}

// parseDate reads YYYY-MM-DD. zero tells a date that MySQL has and the calendar has not: some part of it is 0.
func parseDate(s string) (y, m, d int, zero, ok bool) {
	if len(s) != 10 || s[4] != '-' || s[7] != '-' {
		return 0, 0, 0, false, false
	}
	var ok1, ok2, ok3 bool
	y, ok1 = digits(s[:4])
	m, ok2 = digits(s[5:7])
	d, ok3 = digits(s[8:])
	if !ok1 || !ok2 || !ok3 {
		return 0, 0, 0, false, false
	}
	if y == 0 || m == 0 || d == 0 {
		return y, m, d, true, true
	}
	t := time.Date(y, time.Month(m), d, 0, 0, 0, 0, time.UTC)
	return y, m, d, false, t.Day() == d && int(t.Month()) == m
}

// dateTime reads the canonical text of a DateTime; a date alone is its midnight.
func dateTime(s string) (y, m, d int, c clock, zero, ok bool) {
	day, rest, timed := strings.Cut(s, " ")
	y, m, d, zero, ok = parseDate(day)
	c.sign = 1
	if timed && ok {
		c, ok = parseClock(rest)
		ok = ok && c.sign > 0 && c.hour < 24
	}
	return y, m, d, c, zero, ok
}

// validate tells whether a text is the canonical one of a kind, as far as another wire relies on it.
func validate(col Column, v Value) error {
	s := string(v)
	ok := true
	switch col.Kind {
	case Int8, Int16, Int32, Int64:
		var err error
		if col.Unsigned {
			_, err = strconv.ParseUint(s, 10, col.Kind.bits())
		} else {
			_, err = strconv.ParseInt(s, 10, col.Kind.bits())
		}
		ok = err == nil
	case Year:
		n, err := strconv.Atoi(s)
		ok = err == nil && (n == 0 || n >= 1901 && n <= 2155)
	case Bool:
		ok = s == "0" || s == "1"
	case Float32, Float64:
		bits := 64
		if col.Kind == Float32 {
			bits = 32
		}
		f, err := strconv.ParseFloat(s, bits)
		ok = err == nil && !math.IsInf(f, 0) && !math.IsNaN(f)
	case Decimal:
		ok = isDecimal(s)
	case Date:
		_, _, _, _, ok = parseDate(s)
	case DateTime, Stamp:
		_, _, _, _, _, ok = dateTime(s)
	case Time:
		var c clock
		c, ok = parseClock(s)
		ok = ok && c.hour <= maxHours
	}
	if !ok {
		return OutOfRange(col.Name, "%.60q", s)
	}
	return nil
}

func isDecimal(s string) bool {
	s = strings.TrimPrefix(s, "-")
	whole, frac, _ := strings.Cut(s, ".")
	if whole == "" && frac == "" {
		return false
	}
	for _, c := range []byte(whole + frac) {
		if !isDigit(c) {
			return false
		}
	}
	return true
}
