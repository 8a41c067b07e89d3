package replication

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testSnapshot returns a snapshot of two documents, of which p/a was written at the version.
func testSnapshot(version uint64, value string) Snapshot {
	return Snapshot{Version: version, Documents: map[string]Document{"p/a": {"p/a", version, []byte(value)}, "p/b": {"p/b", 1, []byte{}}}}
}

// A file that is cut at any byte, has any bit flipped or is too long is ErrDamaged, and is replaced by the next save.
func TestSnapshotFileDamaged(t *testing.T) {
	dir := t.TempDir()
	confirmedAt := time.Now()
	if err := SaveSnapshot(dir, testSnapshot(7, "some value"), confirmedAt); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, snapshotFileName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	wantDamaged := func(what string, at int, content []byte) {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, _, err := LoadSnapshot(dir); !errors.Is(err, ErrDamaged) || s.Version != 0 {
			t.Fatalf("%s %d: version %d, %v", what, at, s.Version, err)
		}
	}
	for i := range whole {
		wantDamaged("cut at", i, whole[:i])
		flipped := bytes.Clone(whole)
		flipped[i] ^= 1 << (i % 8)
		wantDamaged("flipped at", i, flipped)
	}
	wantDamaged("longer than", len(whole), append(bytes.Clone(whole), 0))
	if err := SaveSnapshot(dir, testSnapshot(8, "after it"), confirmedAt); err != nil { // a damaged file does not prevent it
		t.Fatal(err)
	}
	s, loadedConfirmedAt, err := LoadSnapshot(dir)
	if err != nil || s.Version != 8 || string(s.Documents["p/a"].Value) != "after it" || !loadedConfirmedAt.Equal(confirmedAt) {
		t.Errorf("%+v confirmed at %v, %v", s, loadedConfirmedAt, err)
	}
}

// A crash while a snapshot is written leaves the file before it, whatever had been written, and the temporary file is removed.
func TestSnapshotFileCrash(t *testing.T) {
	dir := t.TempDir()
	if err := SaveSnapshot(dir, testSnapshot(7, "old"), time.Time{}); err != nil {
		t.Fatal(err)
	}
	next, err := encodeSnapshotFile(testSnapshot(8, "new"), time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range next {
		if err := os.WriteFile(filepath.Join(dir, snapshotFileName+".123"), next[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if s, _, err := LoadSnapshot(dir); err != nil || s.Version != 7 {
			t.Fatalf("cut at %d: version %d, %v", i, s.Version, err)
		}
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 {
		t.Errorf("%v is left", left)
	}
	if s, _, err := LoadSnapshot(t.TempDir()); err != nil || s.Version != 0 {
		t.Errorf("of an empty directory: %v %v", s, err)
	}
}
