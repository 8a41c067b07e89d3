package replication

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
)

// Of any history of writes, the delta from one version to a later one makes that one of every version between, and is refused by
// all others.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var docs DocumentTable
		states := []Snapshot{docs.Snapshot()}
		for i := range uint64(rapid.IntRange(1, 30).Draw(t, "writes")) {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			w := Write{Key: key, ExpectedVersion: docs.Get(key).Version, Value: []byte(rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "value"))}
			if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
				w.Value = nil
			}
			if _, err := docs.Apply(w, 2*i+2, &lease.Lessor{}); err != nil {
				t.Fatal(err)
			}
			states = append(states, docs.Snapshot())
		}
		at := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
		last := len(states) - 1
		from := at("from", 0, last-1)
		to := at("to", from+1, last)
		d, ok := diffSnapshots(states[from], states[to])
		text, err := json.Marshal(d)
		var read Delta
		if err == nil {
			err = json.Unmarshal(text, &read)
		}
		if !ok || err != nil {
			t.Fatal(ok, err)
		}
		for i, s := range states {
			got, ok := read.ApplyTo(s)
			if between := i >= from && i < to; ok != between {
				t.Fatalf("from %d to %d, on %d: %v", from, to, i, ok)
			}
			if want := states[to]; ok && (got.Version != want.Version || len(got.Documents) != len(want.Documents) || len(want.Documents) > 0 && !reflect.DeepEqual(got.Documents, want.Documents)) {
				t.Fatalf("from %d to %d, on %d: %v, want %v", from, to, i, got, want)
			}
		}
	})
	if _, ok := diffSnapshots(Snapshot{}, Snapshot{Version: 1, Documents: map[string]Document{"a": {"a", 1, make([]byte, maxDeltaSize)}}}); ok {
		t.Error("too large for a word")
	}
}

// A document that has come and gone between the two versions is named by neither, and goes from a copy that has met it. A delta that
// told only what had changed and what was gone kept it.
func TestDeltaDropsWhatCameAndWent(t *testing.T) {
	var docs DocumentTable
	states := []Snapshot{docs.Snapshot()}
	for i, value := range [][]byte{[]byte("x"), nil} {
		if _, err := docs.Apply(Write{Key: "b", ExpectedVersion: docs.Get("b").Version, Value: value}, uint64(2*i+2), &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
		states = append(states, docs.Snapshot())
	}
	d, ok := diffSnapshots(states[0], states[2])
	if !ok {
		t.Fatal("no delta")
	}
	if got, ok := d.ApplyTo(states[1]); !ok || len(got.Documents) > 0 {
		t.Errorf("%v, %v: want no document", got, ok)
	}
}
