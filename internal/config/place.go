package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
)

// placed is an error with where in its text it lies.
type placed struct {
	error
	at int64
}

func (p placed) Unwrap() error { return p.error }

// located names an error's file and line. Of an error that is not placed the text begins with its key, and the line is that key's,
// or that of the last of its parts which the file has.
func located(path string, text []byte, err error) error {
	var p placed
	if !errors.As(err, &p) {
		key, _, _ := strings.Cut(err.Error(), ": ")
		p.at = placeOf(text, strings.FieldsFunc(key, func(r rune) bool { return strings.ContainsRune(".[]", r) }))
	}
	if p.at == 0 {
		return fmt.Errorf("%s: %w", path, err)
	}
	return fmt.Errorf("%s:%d: %w", path, 1+bytes.Count(text[:min(p.at, int64(len(text)))], []byte("\n")), err)
}

// strict reads a file that is ours: a misspelt key must not go unnoticed, nor text behind the object.
func strict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return placed{jsonError(err), jsonOffset(err, dec.InputOffset())}
	}
	if dec.More() {
		return placed{errors.New("text follows the object"), dec.InputOffset()}
	}
	return nil
}

// below finds the first number under zero, and names its key.
func below(key string, v reflect.Value) (err error) {
	bad := false
	switch v.Kind() {
	case reflect.Int:
		bad = v.Int() < 0
	case reflect.Float64:
		bad = v.Float() < 0
	case reflect.Slice:
		for i := 0; i < v.Len() && err == nil; i++ {
			err = below(fmt.Sprintf("%s[%d]", key, i), v.Index(i))
		}
	case reflect.Struct:
		for i := 0; i < v.NumField() && err == nil; i++ {
			err = below(key+"."+keyOf(v.Type().Field(i).Name), v.Field(i))
		}
	}
	if bad {
		err = fmt.Errorf("%s: %v is below 0", key, v)
	}
	return err
}
