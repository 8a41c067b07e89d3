package lease

import (
	"encoding/json"
	"testing"

	"threadsail/internal/goldentest"
)

// The table is part of every snapshot, and a command of every log entry; grants are answers on the wire.
func TestStoredForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "entry.json", goldentest.Filled[entry](t))
	goldentest.CheckJSONOf(t, "saved_table.json", goldentest.Filled[lessorSnapshot](t))
	goldentest.CheckJSONOf(t, "command.json", goldentest.Filled[Command](t))
	goldentest.CheckJSONOf(t, "grant.json", goldentest.Filled[Lease](t))
}

// A table that commands have made is written as it always was, and a stored one is read to the same holders.
func TestStoredTable(t *testing.T) {
	table := Lessor{MaxClockDrift: 5}
	table.Apply(Command{Name: "lists", Holder: "pooler-1", Duration: 300, Now: 20, RaftTerm: 2}, 7, 2)
	table.Apply(Command{Name: "round/4", Holder: "pooler-2", Duration: 400, Now: 30, RaftTerm: 2}, 8, 2)
	text, err := json.Marshal(&table)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Check(t, "table.json", append(text, '\n'))
	read := Lessor{MaxClockDrift: 5}
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	for duty, want := range map[Name]Lease{"lists": {Holder: "pooler-1", Token: 7}, "round/4": {Holder: "pooler-2", Token: 8}} {
		if holder, token := read.Holder(duty); holder != want.Holder || token != want.Token {
			t.Errorf("%s: got %s with token %d, want %s with %d", duty, holder, token, want.Holder, want.Token)
		}
	}
	if g, ok := read.Apply(Command{Name: "lists", Holder: "pooler-3", Duration: 300, Now: 324, RaftTerm: 3}, 9, 3); ok || g.Token != 7 {
		t.Errorf("got %+v for another before the lease and the drift are over, want a denial with token 7", g)
	}
}
