package shardmap

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestCheck(t *testing.T) {
	known := func(c int) bool { return c < 2 }
	for _, c := range []struct {
		ranges []Range
		at     int
		want   string
	}{
		{[]Range{{"", "", 0}}, 0, ""},
		{[]Range{{"", "m", 0}, {"m", "", 1}}, 0, ""},
		{nil, 0, "gap"},
		{[]Range{{"a", "", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"n", "", 1}}, 1, "gap"},
		{[]Range{{"", "m", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "m", 0}, {"m", "m", 1}, {"m", "", 1}}, 1, "no key"},
		{[]Range{{"", "m", 0}, {"m", "", 2}}, 1, "cluster 2"},
	} {
		at, err := Check(c.ranges, known)
		if at != c.at || (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %d, %v, want %d, %q", c.ranges, at, err, c.at, c.want)
		}
	}
}

// Whatever moves are begun, taken on and undone, the map stays whole, each key's home changes by switches alone, no two moves of
// one key are under way, and each step has an epoch of its own.
func TestDocumentStaysWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"", "a", "b", "c", "d", "e"}
		d := Document{Epoch: 1, Ranges: []Range{{"", "c", 0}, {"c", "", 1}}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := d
			switched := Range{From: "-", To: "-"}
			switch n := rapid.IntRange(0, 3).Draw(t, "act"); {
			case n == 0 || len(d.Moves) == 0:
				o := Order{Name: rapid.StringMatching("m[0-9]").Draw(t, "name"), Source: rapid.IntRange(0, 2).Draw(t, "source"),
					Range: Range{rapid.SampledFrom(keys).Draw(t, "from"), rapid.SampledFrom(keys).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "target")}}
				var err error
				if d, err = d.Begin(o); err == nil {
					for _, k := range keys[1:] {
						if home, _ := d.Home(k); o.Range.Holds(k) && home != o.Source {
							t.Fatalf("%v begins though %q is at home in %d", o, k, home)
						}
					}
				}
			case n == 1:
				d = d.Undo(rapid.SampledFrom(d.Moves).Draw(t, "move").Name, "tired of it")
			default:
				m := rapid.SampledFrom(d.Moves).Draw(t, "move")
				if m.State == Fenced {
					switched = m.Range
				}
				d = d.Advance(m.Name)
			}
			if at, err := Check(d.Ranges, func(int) bool { return true }); err != nil {
				t.Fatalf("%d: %v", at, err)
			}
			for _, k := range keys[1:] {
				was, _ := before.Home(k)
				is, _ := d.Home(k)
				if switched.Holds(k) && is != switched.Cluster || !switched.Holds(k) && is != was {
					t.Fatalf("%q went from %d to %d by %v", k, was, is, switched)
				}
				under := 0
				for _, m := range d.Moves {
					if m.State.beforeSwitch() && m.Range.Holds(k) {
						under++
					}
				}
				if under > 1 {
					t.Fatalf("%q is in two moves: %v", k, d.Moves)
				}
			}
			if string(before.encode()) != string(d.encode()) && d.Epoch != before.Epoch+1 {
				t.Fatalf("epoch %d after %d", d.Epoch, before.Epoch)
			}
			if again, err := parse(d.encode()); err != nil || string(again.encode()) != string(d.encode()) {
				t.Fatal(err)
			}
		}
	})
}
