package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// OffsetError is an error in a text, with the offset in bytes at which it stands.
type OffsetError struct {
	Offset int64
	Err    error
}

// At returns err with an offset in a text.
func At(offset int64, err error) *OffsetError { return &OffsetError{Offset: offset, Err: err} }

func (e *OffsetError) Error() string { return e.Err.Error() }

// Unwrap returns the error without the offset.
func (e *OffsetError) Unwrap() error { return e.Err }

// Error is an error in a file.
type Error struct {
	File string
	Line int // counted from 1; 0: unknown
	Err  error
}

func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s:%d: %v", e.File, e.Line, e.Err)
}

// Unwrap returns the error without its file and line.
func (e *Error) Unwrap() error { return e.Err }

// Locate names the file and line of an error in a file's text. The line of an error that is no *OffsetError is that of the key with which
// its own text begins, or of the last part of the key's path that the file has.
func Locate(file string, text []byte, err error) error {
	var offset int64
	var at *OffsetError
	if errors.As(err, &at) {
		offset = at.Offset
	} else {
		key, _, _ := strings.Cut(err.Error(), ": ")
		offset = OffsetOf(text, splitPath(key))
	}
	if offset == 0 {
		return &Error{File: file, Err: err}
	}
	return &Error{File: file, Line: lineAt(text, offset), Err: err}
}

// LocateFrom is Locate for a file whose errors without an offset are about the file as a whole, which begins on line 1.
func LocateFrom(file string, text []byte, err error) error {
	var offset int64
	var at *OffsetError
	if errors.As(err, &at) {
		offset = at.Offset
	}
	return &Error{File: file, Line: lineAt(text, offset), Err: err}
}

// splitPath returns the parts of a path such as "settings.lanes[0].name".
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return strings.ContainsRune(".[]", r) })
}

// lineAt returns the line of an offset, which may lie outside of the text.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// OffsetOf returns the offset of the value at a path in a text that is known to be JSON, or of the last key of the path that the text
// has; 0: it does not have the first one. Keys match without regard to case; an element of an array is named by its index.
func OffsetOf(text []byte, path []string) (offset int64) {
	dec := json.NewDecoder(bytes.NewReader(text))
	for _, key := range path {
		open, _ := dec.Token()
		if !skipTo(dec, open, key) {
			return offset
		}
		offset = dec.InputOffset()
		for open == json.Delim('[') && strings.ContainsRune(" \t\r\n,", rune(text[offset])) {
			offset++ // an element begins behind these
		}
	}
	return offset
}

// skipTo reads a decoder, which has just read what opens an object or array, up to the value of a key or up to an element.
func skipTo(dec *json.Decoder, open json.Token, key string) bool {
	for i := 0; dec.More(); i++ {
		name := strconv.Itoa(i)
		if open != json.Delim('[') {
			token, _ := dec.Token()
			name, _ = token.(string)
		}
		if strings.EqualFold(name, key) {
			return true
		}
		var skipped json.RawMessage
		_ = dec.Decode(&skipped)
	}
	return false
}

// FindKey returns the offset at which a key first stands in a text, at any depth; below 0: the text does not have it.
func FindKey(text []byte, key string) int64 { return int64(bytes.Index(text, []byte(`"`+key+`"`))) }

// FindKeyWithin returns the offset at which a key first stands behind an object's key, or that of the object's key if it does not.
func FindKeyWithin(text []byte, object, key string) int64 {
	at := FindKey(text, object)
	if at < 0 {
		return 0
	}
	return at + max(FindKey(text[at:], key), 0)
}

const unknownField = "unknown field "

// FindUnknownKey gives an error about an unknown key the offset at which that key first stands: a decoder only tells how far it has
// read. Other errors are returned as they are.
func FindUnknownKey(text []byte, err error) error {
	_, quoted, ok := strings.Cut(err.Error(), unknownField)
	if !ok {
		return err
	}
	if at := regexp.MustCompile(regexp.QuoteMeta(quoted) + `\s*:`).FindIndex(text); at != nil {
		return At(int64(at[0]), err)
	}
	return err
}
