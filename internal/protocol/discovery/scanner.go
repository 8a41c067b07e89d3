package discovery

import (
	"errors"
	"fmt"
)

// objectScanner finds where JSON objects end, byte by byte.
type objectScanner struct {
	depth    int  // open brackets; 0: outside of objects
	inString bool // a string is open
	escaped  bool // the string's next byte is taken as it is
	last     byte // of the object, space left out
}

var (
	errCutString = errors.New("discovery: a string is cut short")
	errCutList   = errors.New("discovery: a list is cut short")
)

// scan reads one byte. A byte that can't be part of an object is an error at once: the object would hold up all that comes after it.
func (s *objectScanner) scan(b byte) error {
	if s.inString {
		return s.scanString(b)
	}
	switch {
	case isSpace(b):
		return nil
	case b == '{' || b == '[' && s.depth > 0:
		if s.depth > 0 && s.last != ':' && s.last != ',' && s.last != '[' {
			return errCutList
		}
		s.depth++
	case s.depth == 0:
		return fmt.Errorf("discovery: %q where a list should begin", b)
	case b == '}' || b == ']':
		s.depth--
	case b == '"':
		s.inString = true
	}
	s.last = b
	return nil
}

// scanString reads one byte of a string.
func (s *objectScanner) scanString(b byte) error {
	switch {
	case b < ' ':
		return errCutString
	case s.escaped:
		s.escaped = false
	default:
		s.escaped = b == '\\'
		s.inString = b != '"'
	}
	s.last = b
	return nil
}

func isSpace(b byte) bool { return b == ' ' || b == '\n' || b == '\r' || b == '\t' }
