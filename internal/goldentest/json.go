package goldentest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// CheckJSON compares the indented JSON of a filled T with the golden file of a name, as CheckJSONOf does with a value's.
func CheckJSON[T any](t *testing.T, name string) {
	t.Helper()
	text, value := FilledJSON[T](t)
	checkEncoded(t, name, text, value)
}

// CheckJSONOf compares a value's JSON with the golden file of a name, and the value with what the file's JSON decodes to. Every exported
// field of the value must be set, so that none can lose its tag unnoticed, and the file may name no field that the type lacks.
func CheckJSONOf[T any](t testing.TB, name string, value T) {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	checkEncoded(t, name, append(text, '\n'), value)
}

// FilledJSON returns a filled T and its indented JSON, for types that are only written.
func FilledJSON[T any](t testing.TB) ([]byte, T) {
	t.Helper()
	value := filled[T](t, "text %d")
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n'), value
}

// checkEncoded checks a value's encoding, and the decoding of the golden file.
func checkEncoded[T any](t testing.TB, name string, text []byte, value T) {
	t.Helper()
	for _, path := range unsetFields(reflect.ValueOf(value), fmt.Sprintf("%T", value), nil) {
		t.Errorf("%s: %s is not set", name, path)
	}
	want := Check(t, name, text)
	var decoded T
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to\n%+v, want\n%+v", name, decoded, value)
	}
}
