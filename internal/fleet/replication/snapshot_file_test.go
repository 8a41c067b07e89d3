package replication

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// testSnapshot returns a snapshot with the document p/a, which was written at the given version, and an older document.
func testSnapshot(version uint64, value string) Snapshot {
	return Snapshot{Version: version, Documents: map[string]Document{"p/a": {"p/a", version, []byte(value)}, "p/b": {"p/b", 1, []byte{}}}}
}

// A file that was truncated, extended or had a bit flipped is reported as ErrDamaged, and the next save replaces it.
func TestSnapshotFileDamaged(t *testing.T) {
	dir := t.TempDir()
	confirmedAt := time.Now()
	if err := SaveSnapshot(dir, testSnapshot(7, "some value"), confirmedAt); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, snapshotFileName)
	original, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	expectDamaged := func(damage string, offset int, content []byte) {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if loaded, _, err := LoadSnapshot(dir); !errors.Is(err, ErrDamaged) || loaded.Version != 0 {
			t.Fatalf("%s %d: loaded version %d, error %v, want ErrDamaged", damage, offset, loaded.Version, err)
		}
	}
	for i := range original {
		expectDamaged("truncated at", i, original[:i])
		flipped := bytes.Clone(original)
		flipped[i] ^= 1 << (i % 8)
		expectDamaged("bit flipped at", i, flipped)
	}
	expectDamaged("extended after", len(original), append(bytes.Clone(original), 0))
	if err := SaveSnapshot(dir, testSnapshot(8, "after it"), confirmedAt); err != nil { // the damaged file must not prevent the save
		t.Fatal(err)
	}
	loaded, loadedConfirmedAt, err := LoadSnapshot(dir)
	if err != nil || loaded.Version != 8 || string(loaded.Documents["p/a"].Value) != "after it" || !loadedConfirmedAt.Equal(confirmedAt) {
		t.Errorf("loaded %+v confirmed at %v, error %v", loaded, loadedConfirmedAt, err)
	}
}

// After a crash during a save the previous file is loaded, however much of the new one was written, and the temporary file is removed.
func TestSnapshotFileCrash(t *testing.T) {
	dir := t.TempDir()
	if err := SaveSnapshot(dir, testSnapshot(7, "old"), time.Time{}); err != nil {
		t.Fatal(err)
	}
	content, err := encodeSnapshotFile(testSnapshot(8, "new"), time.Time{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range content {
		if err := os.WriteFile(filepath.Join(dir, snapshotFileName+".123"), content[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if loaded, _, err := LoadSnapshot(dir); err != nil || loaded.Version != 7 {
			t.Fatalf("crash after %d bytes: loaded version %d, error %v", i, loaded.Version, err)
		}
	}
	if entries, _ := os.ReadDir(dir); len(entries) != 1 {
		t.Errorf("got the files %v, want the snapshot file alone", entries)
	}
	if loaded, _, err := LoadSnapshot(t.TempDir()); err != nil || loaded.Version != 0 {
		t.Errorf("loaded from an empty directory: %v, error %v", loaded, err)
	}
}
