package audit

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/goldentest"
)

// The format of the journal is stable: later builds read it, and the audit command merges the journals of a whole fleet.
func TestStoredRecord(t *testing.T) {
	full := goldentest.Filled[Record](t)
	goldentest.CheckJSONOf(t, "record.json", full)
	records := []Record{full, {At: 5, Instance: "pooler-1/1-2", Build: "1.4", Config: "c0ffee", Revision: 3, Act: Started}}
	var journal []byte
	for _, r := range records {
		var err error
		if journal, err = AppendFrame(journal, r); err != nil {
			t.Fatal(err)
		}
	}
	read, damage := Parse("journal", goldentest.Check(t, "journal", journal))
	if d := cmp.Diff(records, read); d != "" || len(damage) > 0 {
		t.Errorf("%s %v", d, damage)
	}
}

func TestActs(t *testing.T) {
	names := map[string]string{}
	for want, act := range map[string]Act{"started": Started, "ended": Ended, "primary-taken": PrimaryAdopted, "primary-left": PrimaryDropped,
		"list-taken": ListApplied, "config-taken": ConfigApplied, "lease-held": LeaseHeld, "lease-lost": LeaseLost, "handed-on": ListAnnounced,
		"shut-out": WritesBarred, "brought-up": WritesRestored, "refused": Refused, "verdict-begun": EjectionBegun, "verdict-ended": EjectionEnded,
		"purged": Purged, "unkept": ReplicaNotSaved, "kept": ReplicaSaved, "dropped": RecordsDropped, "limits-dealt": QuotasAllocated} {
		names[want] = string(act)
	}
	goldentest.CheckNames(t, names)
}
