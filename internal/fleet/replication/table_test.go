package replication_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// Writes, leases and restores from snapshots, in any order, agree with a plain model: a write is accepted if its fence holds and its
// expected version is the document's, versions only grow, and a refused write changes nothing.
func TestDocumentTableApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table replication.DocumentTable
		leases := lease.Lessor{MaxClockDrift: 10}
		model := map[string]replication.Document{}
		var index uint64
		var now, expires time.Duration
		var holder string
		var token uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				who := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who")
				g, ok := leases.Apply(lease.Command{Name: "d", Holder: who, Duration: 50, Now: now, RaftTerm: 1}, index, 1)
				if ok {
					holder, token, expires = who, g.Token, now+50
				}
				continue
			}
			leases.AdvanceTime(now, 1, 1)
			key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
			w := replication.Write{Key: key, Value: []byte(rapid.String().Draw(t, "value")), ExpectedVersion: model[key].Version}
			if rapid.Bool().Draw(t, "other version") {
				w.ExpectedVersion = uint64(rapid.IntRange(0, int(index)).Draw(t, "expect"))
			}
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				w.Value = nil
			}
			if rapid.Bool().Draw(t, "fenced") {
				w.Fence = replication.Fence{Lease: "d", Token: token - min(token, uint64(rapid.IntRange(0, 1).Draw(t, "old")))}
			}
			before := table.Snapshot()
			version, err := table.Apply(w, index, &leases)
			fenceHolds := w.Fence == replication.Fence{} || holder != "" && w.Fence.Token == token && token != 0 && now < expires+10
			switch {
			case !fenceHolds:
				if !errors.Is(err, replication.ErrFenced) {
					t.Fatalf("fence %+v, token %d until %d+10, at %d: %v", w.Fence, token, expires, now, err)
				}
			case w.ExpectedVersion != model[key].Version:
				if !errors.Is(err, replication.ErrConflict) {
					t.Fatalf("expected %d of %d: %v", w.ExpectedVersion, model[key].Version, err)
				}
			case err != nil || version != index || table.Version() != index:
				t.Fatalf("version %d at index %d, %v", version, index, err)
			case w.Value == nil:
				delete(model, key)
			default:
				model[key] = replication.Document{Key: key, Version: index, Value: w.Value}
			}
			if err != nil && table.Version() != before.Version {
				t.Fatal("a refused write has changed the version")
			}
			if len(table.Snapshot().Documents) != len(model) {
				t.Fatalf("%v, want %v", table.Snapshot(), model)
			}
			for k, want := range model {
				if got := table.Get(k); got.Version != want.Version || !bytes.Equal(got.Value, want.Value) {
					t.Fatalf("%s: %+v, want %+v", k, got, want)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				text, err := json.Marshal(&table)
				var next replication.DocumentTable
				if err == nil {
					err = json.Unmarshal(text, &next)
				}
				if err != nil {
					t.Fatal(err)
				}
				table = next
			}
		}
	})
}

// The table refuses a document that is too large, one without a key, and what is over its bounds in bytes and in number.
func TestDocumentTableBounds(t *testing.T) {
	var table replication.DocumentTable
	put := func(key string, bytes int) error {
		_, err := table.Apply(replication.Write{Key: key, Value: make([]byte, bytes)}, table.Version()+1, &lease.Lessor{})
		return err
	}
	if err := put("big", replication.MaxDocumentSize+1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	if err := put("", 1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	countFitting := func(bytes int) int {
		n := 0
		for put(fmt.Sprint(n), bytes) == nil {
			n++
		}
		return n
	}
	// The keys take some of the last document's bytes.
	if n := countFitting(replication.MaxDocumentSize); n != replication.MaxTotalSize/replication.MaxDocumentSize-1 {
		t.Errorf("%d largest documents fit", n)
	}
	table = replication.DocumentTable{}
	if n := countFitting(1); n != replication.MaxDocuments {
		t.Errorf("%d documents fit", n)
	}
}
