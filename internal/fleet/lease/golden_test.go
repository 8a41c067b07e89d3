package lease

import (
	"encoding/json"
	"testing"

	"threadsail/internal/goldentest"
)

// The JSON forms of stored and sent types must not change: the table is part of every snapshot, a command is part of every log
// entry, and leases are sent to poolers.
func TestStoredForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "entry.json", goldentest.Filled[entry](t))
	goldentest.CheckJSONOf(t, "saved_table.json", goldentest.Filled[lessorSnapshot](t))
	goldentest.CheckJSONOf(t, "command.json", goldentest.Filled[Command](t))
	goldentest.CheckJSONOf(t, "grant.json", goldentest.Filled[Lease](t))
}

// The table that commands produce must be encoded as in the golden file, and decoding that file must restore the same holders.
func TestStoredTable(t *testing.T) {
	table := Lessor{MaxClockDrift: 5}
	table.Apply(Command{Name: "lists", Holder: "pooler-1", Duration: 300, Now: 20, RaftTerm: 2}, 7, 2)
	table.Apply(Command{Name: "round/4", Holder: "pooler-2", Duration: 400, Now: 30, RaftTerm: 2}, 8, 2)
	encoded, err := json.Marshal(&table)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Check(t, "table.json", append(encoded, '\n'))
	restored := Lessor{MaxClockDrift: 5}
	if err := json.Unmarshal(stored, &restored); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[Name]Lease{"lists": {Holder: "pooler-1", Token: 7}, "round/4": {Holder: "pooler-2", Token: 8}} {
		if holder, token := restored.Holder(name); holder != want.Holder || token != want.Token {
			t.Errorf("%s: got %s with token %d, want %s with %d", name, holder, token, want.Holder, want.Token)
		}
	}
	if current, granted := restored.Apply(Command{Name: "lists", Holder: "pooler-3", Duration: 300, Now: 324, RaftTerm: 3}, 9, 3); granted || current.Token != 7 {
		t.Errorf("got %+v for another holder before the lease and the clock drift are over, want a denial with token 7", current)
	}
}
