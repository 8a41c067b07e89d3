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

// For any sequence of writes of which some versions are recorded, DeltaSince brings a replica of any version since the first recorded
// one to the newest version, including a replica with documents that were written and removed between two recorded versions.
func TestHistoryDeltaSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table DocumentTable
		var history History
		var all []Snapshot
		firstRecorded := -1
		for i := range rapid.IntRange(1, 40).Draw(t, "writes") {
			write := Write{Key: fmt.Sprint("p/", rapid.IntRange(0, 5).Draw(t, "key")), Value: []byte(fmt.Sprint(i))}
			if write.ExpectedVersion = table.Get(write.Key).Version; write.ExpectedVersion > 0 && rapid.IntRange(0, 2).Draw(t, "deleted") == 0 {
				write.Value = nil
			}
			if _, err := table.Apply(write, uint64(i+3), nil); err != nil {
				t.Fatal(err)
			}
			all = append(all, table.Snapshot())
			if rapid.Bool().Draw(t, "recorded") {
				history.Record(table.Snapshot())
				if firstRecorded < 0 {
					firstRecorded = i
				}
			}
		}
		history.Record(table.Snapshot())
		newest := table.Snapshot()
		for i, snapshot := range all[:len(all)-1] {
			delta, ok := history.DeltaSince(snapshot.Version)
			if want := firstRecorded >= 0 && i >= firstRecorded; ok != want {
				t.Fatalf("delta since %d: ok %v, want %v", snapshot.Version, ok, want)
			}
			if !ok {
				continue
			}
			next, applied := delta.ApplyTo(snapshot)
			if !applied || next.Version != newest.Version || !reflect.DeepEqual(next.Documents, newest.Documents) {
				t.Fatalf("%v after the delta %+v: %v, want %v", snapshot, delta, next, newest)
			}
		}
	})
}

// A history is bounded in time and in the number of versions, and provides no delta since a version that it has dropped.
func TestHistoryBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var history History
		documents := map[string]Document{}
		for version := uint64(1); version <= maxHistoryVersions+10; version++ {
			documents["p/a"] = Document{"p/a", version, []byte("x")}
			history.Record(Snapshot{version, maps.Clone(documents)})
		}
		if _, ok := history.DeltaSince(10); ok || len(history.versions) != maxHistoryVersions {
			t.Errorf("the history has %d versions, or a delta since a dropped one", len(history.versions))
		}
		if delta, ok := history.DeltaSince(11); !ok || len(delta.Documents) != 1 {
			t.Errorf("got delta %+v, ok %v, want only the newest version of the changed document", delta, ok)
		}
		time.Sleep(historyRetention + time.Second)
		history.Record(Snapshot{maxHistoryVersions + 20, documents})
		if _, ok := history.DeltaSince(maxHistoryVersions + 9); ok || len(history.versions) != 2 {
			t.Errorf("the history has %d versions after two hours, want 2", len(history.versions))
		}
		if _, ok := history.DeltaSince(maxHistoryVersions + 10); !ok {
			t.Error("no delta since the version that was the newest for two hours")
		}
		time.Sleep(historyRetention + time.Second)
		history.Record(Snapshot{maxHistoryVersions + 30, documents})
		if _, ok := history.DeltaSince(maxHistoryVersions + 10); ok || len(history.versions) != 2 {
			t.Errorf("the history has %d versions two hours after the newest was superseded, want 2", len(history.versions))
		}
	})
}
