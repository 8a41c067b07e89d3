package replication

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

// drawSnapshots draws a sequence of writes, and returns the initial snapshot and the snapshot after each write.
func drawSnapshots(t *rapid.T) []Snapshot {
	var table DocumentTable
	snapshots := []Snapshot{table.Snapshot()}
	for i := range uint64(rapid.IntRange(1, 30).Draw(t, "writes")) {
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		write := Write{Key: key, ExpectedVersion: table.Get(key).Version, Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))}
		if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
			write.Value = nil
		}
		if _, err := table.Apply(write, 2*i+2, &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, table.Snapshot())
	}
	return snapshots
}

// sameSnapshot reports whether two snapshots have the same version and documents.
func sameSnapshot(a, b Snapshot) bool {
	bothEmpty := len(a.Documents) == 0 && len(b.Documents) == 0
	return a.Version == b.Version && (bothEmpty || reflect.DeepEqual(a.Documents, b.Documents))
}

// For any sequence of writes, the delta between two versions brings every version from the first up to the second to the second, and
// is refused for all other versions.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshots := drawSnapshots(t)
		last := len(snapshots) - 1
		from := rapid.IntRange(0, last-1).Draw(t, "from")
		to := rapid.IntRange(from+1, last).Draw(t, "to")
		delta, ok := diffSnapshots(snapshots[from], snapshots[to])
		encoded, err := json.Marshal(delta)
		var decoded Delta
		if err == nil {
			err = json.Unmarshal(encoded, &decoded)
		}
		if !ok || err != nil {
			t.Fatal(ok, err)
		}
		for i, snapshot := range snapshots {
			got, ok := decoded.ApplyTo(snapshot)
			if between := i >= from && i < to; ok != between {
				t.Fatalf("delta from %d to %d applied to %d: ok %v", from, to, i, ok)
			}
			if want := snapshots[to]; ok && !sameSnapshot(got, want) {
				t.Fatalf("delta from %d to %d applied to %d: %v, want %v", from, to, i, got, want)
			}
		}
	})
	if _, ok := diffSnapshots(Snapshot{}, Snapshot{Version: 1, Documents: map[string]Document{"a": {"a", 1, make([]byte, maxDeltaSize)}}}); ok {
		t.Error("diffSnapshots accepted a delta that is too large for an announcement")
	}
}

// A document that was written and removed between the delta's two versions is in neither of them, so the delta does not list it. ApplyTo
// must drop it from a replica of a version between. It was once kept, because ApplyTo dropped only the keys that the delta lists.
func TestDeltaDropsTransientDocument(t *testing.T) {
	var table DocumentTable
	snapshots := []Snapshot{table.Snapshot()}
	for i, value := range [][]byte{[]byte("x"), nil} {
		if _, err := table.Apply(Write{Key: "b", ExpectedVersion: table.Get("b").Version, Value: value}, uint64(2*i+2), &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
		snapshots = append(snapshots, table.Snapshot())
	}
	delta, ok := diffSnapshots(snapshots[0], snapshots[2])
	if !ok {
		t.Fatal("diffSnapshots returned no delta")
	}
	if got, ok := delta.ApplyTo(snapshots[1]); !ok || len(got.Documents) > 0 {
		t.Errorf("got %v, ok %v, want no document", got, ok)
	}
}
