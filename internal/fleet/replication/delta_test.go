package replication

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

// drawSnapshots returns the snapshots before and after each of some drawn writes.
func drawSnapshots(t *rapid.T) []Snapshot {
	var table DocumentTable
	snapshots := []Snapshot{table.Snapshot()}
	for i := range uint64(rapid.IntRange(1, 30).Draw(t, "writes")) {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		w := Write{Key: key, ExpectedVersion: table.Get(key).Version, Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))}
		if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
			w.Value = nil
		}
		if _, err := table.Apply(w, 2*i+2, &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, table.Snapshot())
	}
	return snapshots
}

// sameSnapshot reports whether two snapshots have one version and the same documents.
func sameSnapshot(a, b Snapshot) bool {
	bothEmpty := len(a.Documents) == 0 && len(b.Documents) == 0
	return a.Version == b.Version && (bothEmpty || reflect.DeepEqual(a.Documents, b.Documents))
}

// Of any history of writes, the delta from one version to a later one makes the later one of every version between, and is refused
// for all others.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := drawSnapshots(t)
		last := len(snapshots) - 1
		from := rapid.IntRange(0, last-1).Draw(t, "from")
		to := rapid.IntRange(from+1, last).Draw(t, "to")
		d, ok := diffSnapshots(snapshots[from], snapshots[to])
		text, err := json.Marshal(d)
		var decoded Delta
		if err == nil {
			err = json.Unmarshal(text, &decoded)
		}
		if !ok || err != nil {
			t.Fatal(ok, err)
		}
		for i, s := range snapshots {
			got, ok := decoded.ApplyTo(s)
			if between := i >= from && i < to; ok != between {
				t.Fatalf("from %d to %d, on %d: %v", from, to, i, ok)
			}
			if want := snapshots[to]; ok && !sameSnapshot(got, want) {
				t.Fatalf("from %d to %d, on %d: %v, want %v", from, to, i, got, want)
			}
		}
	})
	if _, ok := diffSnapshots(Snapshot{}, Snapshot{Version: 1, Documents: map[string]Document{"a": {"a", 1, make([]byte, maxDeltaSize)}}}); ok {
		t.Error("a delta that is too large for an announcement is made")
	}
}

// A document that was written and removed between the two versions is not named by the delta, and is dropped from a replica that has
// it. A delta that only named what had changed and what was removed once left it there.
func TestDeltaDropsTransientDocument(t *testing.T) {
	var table DocumentTable
	snapshots := []Snapshot{table.Snapshot()}
	for i, value := range [][]byte{[]byte("x"), nil} {
		if _, err := table.Apply(Write{Key: "b", ExpectedVersion: table.Get("b").Version, Value: value}, uint64(2*i+2), &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, table.Snapshot())
	}
	d, ok := diffSnapshots(snapshots[0], snapshots[2])
	if !ok {
		t.Fatal("no delta")
	}
	if got, ok := d.ApplyTo(snapshots[1]); !ok || len(got.Documents) > 0 {
		t.Errorf("%v, %v: want no document", got, ok)
	}
}
