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

// At returns an OffsetError.
func At(offset int64, err error) *OffsetError { return &OffsetError{Offset: offset, Err: err} }

func (m *OffsetError) Error() string { return m.Err.Error() }

// Unwrap returns the error without its place.
func (m *OffsetError) Unwrap() error { return m.Err }

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
	var mistake *OffsetError
	if errors.As(err, &mistake) {
		if mistake.Offset == 0 {
			return &Error{File: file, Err: err}
		}
		return &Error{File: file, Line: lineAt(text, mistake.Offset), Err: err}
	}
	key, _, _ := strings.Cut(err.Error(), ": ")
	offset := OffsetOf(text, strings.FieldsFunc(key, func(r rune) bool { return strings.ContainsRune(".[]", r) }))
	if offset == 0 {
		return &Error{File: file, Err: err}
	}
	return &Error{File: file, Line: lineAt(text, offset), Err: err}
}

// LocateFrom is Locate for an error whose line is the first one where it has no other place.
func LocateFrom(file string, text []byte, err error) error {
	offset := int64(0)
	var mistake *OffsetError
	if errors.As(err, &mistake) {
		offset = mistake.Offset
	}
	return &Error{File: file, Line: lineAt(text, offset), Err: err}
}

// lineAt is the line of an offset, which may lie outside of the text.
func lineAt(text []byte, offset int64) int {
	offset = min(max(offset, 0), int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}

// OffsetOf is where a path's key begins in a text that is known to be JSON, or the last of its keys that is there. Keys match without
// regard to case; an element of an array is named by its index. 0: not even the first key is there.
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

// FindKey is where a key first stands in a text, at any depth; below 0: nowhere.
func FindKey(text []byte, key string) int64 { return int64(bytes.Index(text, []byte(`"`+key+`"`))) }

// FindKeyWithin is where a key first stands behind an object's key, or where the object's key stands if there is none.
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
