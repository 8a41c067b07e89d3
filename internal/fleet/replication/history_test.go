package replication

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Of any history of writes, of which some versions are recorded, the delta since any version that a replica may have makes the newest
// version of it: also where the replica has documents that were written and removed between two recorded versions.
func TestHistoryDeltaSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table DocumentTable
		var h History
		var all []Snapshot
		firstRecorded := -1
		for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
			w := Write{Key: fmt.Sprint("p/", rapid.IntRange(0, 5).Draw(t, "key")), Value: []byte(fmt.Sprint(i))}
			if w.ExpectedVersion = table.Get(w.Key).Version; w.ExpectedVersion > 0 && rapid.IntRange(0, 2).Draw(t, "deleted") == 0 {
				w.Value = nil
			}
			if _, err := table.Apply(w, uint64(i+3), nil); err != nil {
				t.Fatal(err)
			}
			all = append(all, table.Snapshot())
			if rapid.Bool().Draw(t, "recorded") {
				h.Record(table.Snapshot())
				if firstRecorded < 0 {
					firstRecorded = i
				}
			}
		}
		h.Record(table.Snapshot())
		newest := table.Snapshot()
		for i, s := range all[:len(all)-1] {
			d, ok := h.DeltaSince(s.Version)
			if want := firstRecorded >= 0 && i >= firstRecorded; ok != want {
				t.Fatalf("since %d: %v, want %v", s.Version, ok, want)
			}
			if !ok {
				continue
			}
			next, follows := d.ApplyTo(s)
			if !follows || next.Version != newest.Version || !reflect.DeepEqual(next.Documents, newest.Documents) {
				t.Fatalf("from %v by %+v: %v, want %v", s, d, next, newest)
			}
		}
	})
}

// The history is bounded in time and in number, and there is no delta since a version that is older.
func TestHistoryBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h History
		documents := map[string]Document{}
		for v := uint64(1); v <= maxHistoryVersions+10; v++ {
			documents["p/a"] = Document{"p/a", v, []byte("x")}
			h.Record(Snapshot{v, maps.Clone(documents)})
		}
		if _, ok := h.DeltaSince(10); ok || len(h.versions) != maxHistoryVersions {
			t.Errorf("%d versions are kept", len(h.versions))
		}
		if d, ok := h.DeltaSince(11); !ok || len(d.Documents) != 1 {
			t.Errorf("%+v %v: of a document that changed often its newest version alone", d, ok)
		}
		time.Sleep(historyRetention + time.Second)
		h.Record(Snapshot{maxHistoryVersions + 20, documents})
		if _, ok := h.DeltaSince(maxHistoryVersions + 9); ok || len(h.versions) != 2 {
			t.Errorf("%d versions are kept after two hours", len(h.versions))
		}
		if _, ok := h.DeltaSince(maxHistoryVersions + 10); !ok {
			t.Error("what was the newest version for two quiet hours is no base for a delta to the next one")
		}
		time.Sleep(historyRetention + time.Second)
		h.Record(Snapshot{maxHistoryVersions + 30, documents})
		if _, ok := h.DeltaSince(maxHistoryVersions + 10); ok || len(h.versions) != 2 {
			t.Errorf("%d versions are kept, two hours after another took its place", len(h.versions))
		}
	})
}
