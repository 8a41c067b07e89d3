package replication

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

func testSnapshot(version uint64, value string) Snapshot {
	return Snapshot{Version: version, Documents: map[string]Document{"p/a": {"p/a", version, []byte(value)}, "p/b": {"p/b", 1, []byte{}}}}
}

// A file that is cut at any byte, or has any bit turned, is never taken for a copy, nor is a longer one.
func TestCopyCutAtEveryByte(t *testing.T) {
	dir := t.TempDir()
	asOf := time.Now()
	if err := SaveSnapshot(dir, testSnapshot(7, "some value"), asOf); err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(dir, snapshotFileName)
	whole, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, at int, text []byte) {
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if s, _, err := LoadSnapshot(dir); !errors.Is(err, ErrDamaged) || s.Version != 0 {
			t.Fatalf("%s %d: version %d, %v", what, at, s.Version, err)
		}
	}
	for i := range whole {
		try("cut at", i, whole[:i])
		turned := bytes.Clone(whole)
		turned[i] ^= 1 << (i % 8)
		try("turned at", i, turned)
	}
	try("longer than", len(whole), append(bytes.Clone(whole), 0))
	if err := SaveSnapshot(dir, testSnapshot(8, "after it"), asOf); err != nil { // a damaged one does not stand in the way
		t.Fatal(err)
	}
	s, when, err := LoadSnapshot(dir)
	if err != nil || s.Version != 8 || string(s.Documents["p/a"].Value) != "after it" || !when.Equal(asOf) {
		t.Errorf("%+v as of %v, %v", s, when, err)
	}
}

// A crash while a copy is written leaves the one before it, whatever had been written, and its rest is cleared away.
func TestCopyCrash(t *testing.T) {
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
		t.Errorf("of an empty folder: %v %v", s, err)
	}
}

// A folder that can't be written to is told of once and tried again; the pooler's copy goes on, and is written when it can be.
func TestKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "gone")
		c := NewReplica(Snapshot{})
		var told []error
		ctx, end := context.WithCancel(t.Context())
		k := StartPersister(ctx, dir, c, func(err error) { told = append(told, err) })
		c.Install(testSnapshot(7, "x"))
		time.Sleep(10 * time.Second)
		c.Install(testSnapshot(8, "y"))
		time.Sleep(10 * time.Second)
		if version, err := k.Saved(); version != 0 || err == nil || len(told) != 1 || c.Version() != 8 {
			t.Errorf("kept %d, %v; told %v", version, err, told)
		}
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * saveRetryInterval)
		synctest.Wait()
		if version, err := k.Saved(); version != 8 || err != nil || len(told) != 2 || told[1] != nil {
			t.Errorf("kept %d, %v; told %v", version, err, told)
		}
		confirmed := time.Now()
		c.Confirm(8, confirmed)
		time.Sleep(2 * confirmationSaveInterval)
		if s, asOf, err := LoadSnapshot(dir); err != nil || s.Version != 8 || !asOf.Equal(confirmed) {
			t.Errorf("version %d as of %v, %v", s.Version, asOf, err)
		}
		end()
	})
}

// A copy of a log that was lost is not confirmed by what is said of another; a word that was overtaken by the copy says nothing of it.
func TestForeignCopy(t *testing.T) {
	begun := NewReplica(testSnapshot(600, "old"))
	if begun.Confirm(5, time.Now()) || !begun.ConfirmedAt().IsZero() {
		t.Error("a copy from the disk is confirmed by an older version")
	}
	c := NewReplica(Snapshot{})
	before := time.Now()
	c.Install(testSnapshot(7, "x"))
	if !c.Confirm(6, before) || !c.ConfirmedAt().Equal(before) {
		t.Error("as of a time before it came")
	}
	if c.Confirm(6, time.Now().Add(time.Second)) || !c.Confirm(7, time.Now()) {
		t.Error("an older version confirms it, or its own does not")
	}
}

// A word is as old as the older of two clocks says, whatever the clock here does.
func TestHeardAt(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct{ asOf, age, want time.Duration }{
		{999 * time.Second, time.Second, time.Second},
		{990 * time.Second, time.Second, 10 * time.Second},     // long on its way
		{2000 * time.Second, 3 * time.Second, 3 * time.Second}, // the clock here is behind
		{2000 * time.Second, -time.Second, 0},
	} {
		if got := now.Sub(ConfirmationTime(now, int64(c.asOf), c.age)); got != c.want {
			t.Errorf("%+v: %v old", c, got)
		}
	}
}
