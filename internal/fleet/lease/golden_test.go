package lease

import (
	"encoding/json"
	"testing"

	"threadsail/internal/fleet/goldentest"
)

// The table is part of every snapshot, and a command of every log entry; grants are answers on the wire.
func TestStoredForms(t *testing.T) {
	goldentest.JSON(t, "entry.json", goldentest.Filled[entry](t))
	goldentest.JSON(t, "saved_table.json", goldentest.Filled[saved](t))
	goldentest.JSON(t, "command.json", goldentest.Filled[Command](t))
	goldentest.JSON(t, "grant.json", goldentest.Filled[Grant](t))
}

// A table that commands have made is written as it always was, and a stored one is read to the same holders.
func TestStoredTable(t *testing.T) {
	table := Table{Drift: 5}
	table.Apply(Command{Duty: "lists", Holder: "pooler-1", Term: 300, Now: 20, Epoch: 2}, 7, 2)
	table.Apply(Command{Duty: "round/4", Holder: "pooler-2", Term: 400, Now: 30, Epoch: 2}, 8, 2)
	text, err := json.Marshal(&table)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Bytes(t, "table.json", append(text, '\n'))
	read := Table{Drift: 5}
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	for duty, want := range map[Duty]Grant{"lists": {Holder: "pooler-1", Token: 7}, "round/4": {Holder: "pooler-2", Token: 8}} {
		if holder, token := read.Holder(duty); holder != want.Holder || token != want.Token {
			t.Errorf("%s: got %s with token %d, want %s with %d", duty, holder, token, want.Holder, want.Token)
		}
	}
	if g, ok := read.Apply(Command{Duty: "lists", Holder: "pooler-3", Term: 300, Now: 324, Epoch: 3}, 9, 3); ok || g.Token != 7 {
		t.Errorf("got %+v for another before the lease and the drift are over, want a denial with token 7", g)
	}
}
