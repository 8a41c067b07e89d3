// Package goldentest compares what programs store, send, read and print with golden files, which earlier builds wrote: a running fleet
// holds several builds at once, and a new build starts on the disk of an old one, so no such form may change unnoticed.
//
// The files stand in the calling package's testdata directory. A test only compares; with THREADSAIL_RECORD=1 in the environment it
// writes its files anew, which is right only for a form that is meant to change. The functions are for tests alone, on the test's own
// goroutine.
package goldentest

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// recordVariable is the environment variable that, set to 1, makes tests write their files instead of comparing with them.
const recordVariable = "THREADSAIL_RECORD"

// Recording reports whether files are to be written anew.
func Recording() bool { return os.Getenv(recordVariable) == "1" }

// Check compares got with the golden file of a name, byte for byte, and returns the file's content.
func Check(t testing.TB, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if Recording() {
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
	if !bytes.Equal(want, got) {
		t.Errorf("%s is not as recorded (-recorded +got):\n%s", path, cmp.Diff(string(want), string(got)))
	}
	return want
}

// CheckNames compares constants with the names that they have on the wire or the disk, which are the keys.
func CheckNames(t testing.TB, constants map[string]string) {
	t.Helper()
	for want, got := range constants {
		if got != want {
			t.Errorf("got the name %q, want %q", got, want)
		}
	}
}

// Lines returns a sorted list, one entry a line.
func Lines(entries []string) []byte {
	return []byte(strings.Join(slices.Sorted(slices.Values(entries)), "\n") + "\n")
}
