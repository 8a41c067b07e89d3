package shardmap

import (
	"testing"

	"pgregory.net/rapid"

	"threadsail/internal/keyrange"
)

// documentKeys are the bounds of the drawn ranges; "" as an upper bound stands for none.
var documentKeys = []string{"", "a", "b", "c", "d", "e"}

// noRange is an empty range.
var noRange = Range{From: "-", To: "-"}

// drawStep returns the document after a drawn step and the range that the step has switched, or noRange if it has switched none.
func drawStep(t *rapid.T, d Document) (next Document, switched Range) {
	switch n := rapid.IntRange(0, 3).Draw(t, "act"); {
	case n == 0 || len(d.Moves) == 0:
		return drawBegin(t, d), noRange
	case n == 1:
		return d.Undo(rapid.SampledFrom(d.Moves).Draw(t, "move").Name, "not wanted"), noRange
	}
	m := rapid.SampledFrom(d.Moves).Draw(t, "move")
	if m.State == Fenced {
		return d.Advance(m.Name), m.Range
	}
	return d.Advance(m.Name), noRange
}

// drawBegin returns the document after a drawn order. It fails the test if the order begins although its source is not the home of all keys.
func drawBegin(t *rapid.T, d Document) Document {
	o := Order{Name: rapid.StringMatching("m[0-9]").Draw(t, "name"), Source: rapid.IntRange(0, 2).Draw(t, "source"),
		Range: Range{From: rapid.SampledFrom(documentKeys).Draw(t, "from"), To: rapid.SampledFrom(documentKeys).Draw(t, "to"), Cluster: rapid.IntRange(0, 2).Draw(t, "target")}}
	next, err := d.Begin(o)
	if err != nil {
		return next
	}
	for _, key := range documentKeys[1:] {
		if home, _ := next.Home(key); o.Range.Contains(key) && home != o.Source {
			t.Fatalf("%v begins although the home of %q is %d", o, key, home)
		}
	}
	return next
}

// checkKey checks that the home of a key has changed only by a switch, and that the key is in at most one active move.
func checkKey(t *rapid.T, key string, before, after Document, switched Range) {
	homeBefore, _ := before.Home(key)
	homeAfter, _ := after.Home(key)
	want := homeBefore
	if switched.Contains(key) {
		want = switched.Cluster
	}
	if homeAfter != want {
		t.Fatalf("home of %q changed from %d to %d; the switched range is %v", key, homeBefore, homeAfter, switched)
	}
	active := 0
	for _, m := range after.Moves {
		if m.State.beforeSwitch() && m.Range.Contains(key) {
			active++
		}
	}
	if active > 1 {
		t.Fatalf("%q is in more than one active move: %v", key, after.Moves)
	}
}

// For any sequence of steps, the map contains every key once, the home of a key changes only by switches, no key is in two active moves, and
// each step increases the epoch by one.
func TestDocumentInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := Document{Epoch: 1, Ranges: []Range{{To: "c"}, {From: "c", Cluster: 1}}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := d
			var switched Range
			d, switched = drawStep(t, d)
			if at, err := keyrange.Check(d.Ranges, func(int) bool { return true }); err != nil {
				t.Fatalf("range %d: %v", at, err)
			}
			for _, key := range documentKeys[1:] {
				checkKey(t, key, before, d, switched)
			}
			if string(before.encode()) != string(d.encode()) && d.Epoch != before.Epoch+1 {
				t.Fatalf("epoch %d follows %d", d.Epoch, before.Epoch)
			}
			if again, err := parseDocument(d.encode()); err != nil || string(again.encode()) != string(d.encode()) {
				t.Fatal(err)
			}
		}
	})
}
