// Package goldentest compares what poolers store and send with files that earlier builds wrote: a running fleet holds several builds
// at once, and a new build starts on the disk of an old one, so no stored or sent form may change unnoticed.
//
// The files stand in the calling package's testdata directory. A test only compares; with the environment variable
// THREADSAIL_RECORD_GOLDEN=1 it writes the files anew, which is right only for a form that is meant to change. The functions are for
// tests alone, on the test's own goroutine.
package goldentest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// recordVariable is the environment variable that has the files written instead of compared.
const recordVariable = "THREADSAIL_RECORD_GOLDEN"

// Bytes compares got with the golden file of a name, byte for byte, and returns the file's content.
func Bytes(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv(recordVariable) == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s\n got %q\nwant %q", path, got, want)
	}
	return want
}

// JSON compares a value's JSON with the golden file of a name, and the value with what the file's JSON decodes to. Every exported
// field of the value must be set, so that none can lose its tag unnoticed, and the file may name no field that the type lacks.
func JSON[T any](t testing.TB, name string, value T) {
	t.Helper()
	for _, path := range unsetFields(reflect.ValueOf(value), reflect.TypeOf(value).String(), nil) {
		t.Errorf("%s: %s is not set", name, path)
	}
	got, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	want := Bytes(t, name, append(got, '\n'))
	var decoded T
	in := json.NewDecoder(bytes.NewReader(want))
	in.DisallowUnknownFields()
	if err := in.Decode(&decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to\n%+v, want\n%+v", name, decoded, value)
	}
}

// Names compares constants with the names that they have on the wire or the disk, which are the keys.
func Names(t testing.TB, constants map[string]string) {
	t.Helper()
	for want, got := range constants {
		if got != want {
			t.Errorf("got the name %q, want %q", got, want)
		}
	}
}
