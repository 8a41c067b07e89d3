// Package comment reads the comment that carries a request's values behind its statement, on either wire:
//
//	SELECT … /* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123 */
package comment

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ErrNone tells that a statement ends in no comment.
var ErrNone = errors.New("the statement ends in no /* id=… */ comment")

// maxFields bounds the fields of a comment, of which this package knows seven.
const maxFields = 32

// MaxPatience bounds d: a longer wait is a mistake.
const MaxPatience = 10 * time.Minute

// Comment holds a request's values. Group is -1, Class and Key empty and the times 0 where it names none.
type Comment struct {
	ID       string
	Class    string
	Key      string
	Patience time.Duration
	Group    int
	After    time.Duration // Unix time of the session's last commit
	before   string        // the statement up to d's value
	behind   string        // and from there on
}

// Parse reads the last comment of a statement.
func Parse(statement string) (Comment, error) {
	c := Comment{Group: -1}
	text := strings.TrimRight(statement, " \t\r\n;")
	start := strings.LastIndex(text, "/*")
	if start < 0 || !strings.HasSuffix(text, "*/") || start+4 > len(text) {
		return c, ErrNone
	}
	at := start + 2
	inner := text[at : len(text)-2]
	if !strings.HasPrefix(strings.TrimSpace(inner), "id=") {
		return c, ErrNone
	}
	if err := c.parseFields(statement, inner, at); err != nil {
		return c, err
	}
	if c.ID == "" {
		return c, errors.New("comment: id is empty")
	}
	return c, nil
}

// parseFields reads the fields of a comment's text, which stands in the statement at the given place.
func (c *Comment) parseFields(statement, inner string, at int) error {
	var seen [maxFields]string
	for count, more := 0, true; more; count++ {
		if count == maxFields {
			return fmt.Errorf("comment: more than %d fields", maxFields)
		}
		var field string
		field, inner, more = strings.Cut(inner, ",")
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || name == "" || slices.Contains(seen[:count], name) {
			return fmt.Errorf("comment: %.32q is no name=value, or stands twice", field)
		}
		seen[count] = name
		if err := c.set(name, value); err != nil {
			return err
		}
		if name == "d" {
			from := at + strings.Index(field, "=") + 1
			c.before, c.behind = statement[:from], statement[from+len(value):]
		}
		at += len(field) + 1
	}
	return nil
}

func (c *Comment) set(name, value string) error {
	var err error
	switch name {
	case "id":
		c.ID = value
	case "c":
		c.Class = value
	case "k":
		if c.Key = value; value == "" {
			err = errors.New("empty")
		}
	case "d":
		c.Patience, err = milliseconds(value)
		if err == nil && (c.Patience <= 0 || c.Patience > MaxPatience) {
			err = errors.New("out of range")
		}
	case "cluster":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 16)
		c.Group = int(n)
	case "after":
		c.After, err = milliseconds(value)
	}
	if err != nil {
		return fmt.Errorf("comment: %s=%.32q is empty, or no number in range", name, value)
	}
	return nil
}

// milliseconds reads a plain decimal number: no sign, exponent, or word.
func milliseconds(text string) (time.Duration, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errors.New("not a decimal number")
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, err
	}
	if !(v >= 0 && v < float64(math.MaxInt64/time.Millisecond)) {
		return 0, errors.New("out of range")
	}
	return time.Duration(math.Round(v*1000)) * time.Microsecond, nil
}

// WithPatience is the statement with d rewritten; all else stays as the client sent it.
func (c *Comment) WithPatience(statement string, left time.Duration) string {
	if c.behind == "" {
		return statement
	}
	ms := max(int64(left/time.Millisecond), 1)
	return c.before + strconv.FormatInt(ms, 10) + c.behind
}

const (
	// patienceSlack is the time by which the d of a prepared statement may exceed the time left.
	patienceSlack = 100 * time.Millisecond
	// patienceStep is the multiple to which d is rounded down else, so that few texts of a statement differ.
	patienceStep = 100 * time.Millisecond
)

// WithPatienceInSteps is like WithPatience, for a statement that servers keep prepared by its text. It leaves d as it is while about as much
// time is left, and rounds it down else.
func (c *Comment) WithPatienceInSteps(statement string, left time.Duration) string {
	if left >= c.Patience-patienceSlack {
		return statement
	}
	if rounded := left.Truncate(patienceStep); rounded > 0 {
		left = rounded
	}
	return c.WithPatience(statement, left)
}

// WithEpoch is a statement whose comment names the epoch of the shard map that it was sent by, for servers that refuse an older
// one; 0: as it is.
func WithEpoch(statement string, epoch uint64) string {
	if epoch == 0 {
		return statement
	}
	end := strings.LastIndex(statement, "*/")
	if end < 0 {
		return statement
	}
	return strings.TrimRight(statement[:end], " ") + ",epoch=" + strconv.FormatUint(epoch, 10) + " " + statement[end:]
}

// Epoch is the epoch that a statement's comment names last; 0: none.
func Epoch(statement string) uint64 {
	_, rest, _ := strings.Cut(statement[max(strings.LastIndex(statement, ",epoch="), 0):], ",epoch=")
	digits, _, _ := strings.Cut(rest, " ")
	n, _ := strconv.ParseUint(digits, 10, 64)
	return n
}

// Bare is a statement without the comment that it ends in, and without the space before it.
func Bare(statement string) string {
	if start := strings.LastIndex(statement, "/*"); start >= 0 {
		statement = statement[:start]
	}
	return strings.TrimRight(statement, " \t\r\n;")
}

// QuotedKey is the first quoted word of a statement, which names its row; "": none.
func QuotedKey(statement string) string {
	_, rest, _ := strings.Cut(statement, "'")
	key, _, closed := strings.Cut(rest, "'")
	if !closed {
		return ""
	}
	return key
}
