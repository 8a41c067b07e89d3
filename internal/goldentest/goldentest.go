// Package goldentest holds tests to files under testdata: what a program stores, reads and prints must stay as it was recorded.
// With THREADSAIL_RECORD=1 in the environment a test writes its files anew; otherwise it only compares.
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

// recordVariable is the environment variable that, set to 1, lets tests write their files.
const recordVariable = "THREADSAIL_RECORD"

// Recording tells that files are to be written anew.
func Recording() bool { return os.Getenv(recordVariable) == "1" }

// Check compares got with the file testdata/name, byte for byte.
func Check(t testing.TB, name string, got []byte) {
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
}

// Lines is a sorted list, one entry a line.
func Lines(entries []string) []byte {
	return []byte(strings.Join(slices.Sorted(slices.Values(entries)), "\n") + "\n")
}
