// Package jsonfile reads JSON files that people write: configuration, plans, scenarios. It decodes them strictly, and names the file,
// the line and the key of what is wrong with them. It does not open files, and knows none of their keys.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
)

var errTrailingText = errors.New("text follows the object")

// Decode reads the one object of a file's text into a struct. An unknown key, and text behind the object, are errors. Errors are
// *OffsetError.
func Decode(text []byte, into any) error {
	dec, err := decode(text, into)
	if err == nil && dec.More() {
		return At(dec.InputOffset(), errTrailingText)
	}
	return err
}

// DecodeValue is Decode for a value that was cut out of a file's text.
func DecodeValue(text []byte, into any) error {
	_, err := decode(text, into)
	return err
}

func decode(text []byte, into any) (*json.Decoder, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return dec, At(min(decodeOffset(err, dec.InputOffset()), int64(len(text))), Describe(err))
	}
	return dec, nil
}

// Describe returns a decoder's error in words that name the key, where the decoder knows it.
func Describe(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return typeMismatchError{mismatch}
	}
	return err
}

// DescribeAt is Describe for an error of json.Unmarshal, with the offset that the error tells.
func DescribeAt(err error) *OffsetError { return At(decodeOffset(err, 0), Describe(err)) }

// typeMismatchError is a value of the wrong type.
type typeMismatchError struct{ *json.UnmarshalTypeError }

func (m typeMismatchError) Error() string {
	keys := strings.Split(m.Field, ".")
	for i, name := range keys {
		keys[i] = KeyOf(name)
	}
	return fmt.Sprintf("%s: a %s does not fit", strings.Join(keys, "."), m.Value)
}

func (m typeMismatchError) Unwrap() error { return m.UnmarshalTypeError }

// KeyOf is the key, as files have it, of a field that is named like it but for its first letter.
func KeyOf(field string) string { return strings.ToLower(field[:1]) + field[1:] }

// decodeOffset is the offset that a decoder's error tells, or fallback if it tells none.
func decodeOffset(err error, fallback int64) int64 {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &mismatch):
		return mismatch.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		return math.MaxInt64 // the end of the text
	}
	return fallback
}
