package shardmap

import (
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/keyrange"
)

// Whatever moves are begun, advanced and undone, the map holds every key once, a key's home changes by switches alone, no key is in two
// active moves, and each step has an epoch of its own.
func TestDocumentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"", "a", "b", "c", "d", "e"}
		d := Document{Epoch: 1, Ranges: []Range{{To: "c"}, {From: "c", Cluster: 1}}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := d
			switched := Range{From: "-", To: "-"}
			switch n := rapid.IntRange(0, 3).Draw(t, "act"); {
			case n == 0 || len(d.Moves) == 0:
				o := Order{Name: rapid.StringMatching("m[0-9]").Draw(t, "name"), Source: rapid.IntRange(0, 2).Draw(t, "source"),
					Range: Range{From: rapid.SampledFrom(keys).Draw(t, "from"), To: rapid.SampledFrom(keys).Draw(t, "to"), Cluster: rapid.IntRange(0, 2).Draw(t, "target")}}
				var err error
				if d, err = d.Begin(o); err == nil {
					for _, k := range keys[1:] {
						if home, _ := d.Home(k); o.Range.Contains(k) && home != o.Source {
							t.Fatalf("%v begins though %q is at home in %d", o, k, home)
						}
					}
				}
			case n == 1:
				d = d.Undo(rapid.SampledFrom(d.Moves).Draw(t, "move").Name, "not wanted")
			default:
				m := rapid.SampledFrom(d.Moves).Draw(t, "move")
				if m.State == Fenced {
					switched = m.Range
				}
				d = d.Advance(m.Name)
			}
			if at, err := keyrange.Check(d.Ranges, func(int) bool { return true }); err != nil {
				t.Fatalf("%d: %v", at, err)
			}
			for _, k := range keys[1:] {
				was, _ := before.Home(k)
				is, _ := d.Home(k)
				if switched.Contains(k) && is != switched.Cluster || !switched.Contains(k) && is != was {
					t.Fatalf("%q went from %d to %d by %v", k, was, is, switched)
				}
				active := 0
				for _, m := range d.Moves {
					if m.State.beforeSwitch() && m.Range.Contains(k) {
						active++
					}
				}
				if active > 1 {
					t.Fatalf("%q is in two moves: %v", k, d.Moves)
				}
			}
			if string(before.encode()) != string(d.encode()) && d.Epoch != before.Epoch+1 {
				t.Fatalf("epoch %d after %d", d.Epoch, before.Epoch)
			}
			if again, err := parseDocument(d.encode()); err != nil || string(again.encode()) != string(d.encode()) {
				t.Fatal(err)
			}
		}
	})
}
