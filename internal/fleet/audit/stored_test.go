package audit

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/goldentest"
)

// everyAct returns one record of each act; the first one sets every field.
func everyAct() []Record {
	records := []Record{{At: 1, Instance: "n1/2-3", Build: "v1.4.0", Config: "cc5c15486db1aca1", Revision: 4, Token: 5, Sequence: 6, Act: Started,
		Group: 7, Server: "db1", Purge: "site1/2026-12-02", Due: 8}}
	for i, act := range []Act{Ended, PrimaryAdopted, PrimaryDropped, ListApplied, ConfigApplied, LeaseHeld, LeaseLost, ListAnnounced, WritesBarred, WritesRestored, Refused,
		EjectionBegun, EjectionEnded, Purged, ReplicaNotSaved, ReplicaSaved, RecordsDropped, QuotasAllocated} {
		records = append(records, Record{At: int64(10 + i), Instance: "n1/2-3", Act: act})
	}
	return records
}

// A journal written by an earlier build is read completely, and the same records are encoded to the same bytes.
func TestStoredJournal(t *testing.T) {
	var written []byte
	for _, r := range everyAct() {
		var err error
		if written, err = AppendFrame(written, r); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Check(t, "every.acts", written)
	content, err := os.ReadFile("testdata/every.acts")
	if err != nil {
		t.Fatal(err)
	}
	got, damage := Parse("every.acts", content)
	if d := cmp.Diff(everyAct(), got); d != "" || len(damage) > 0 {
		t.Error(d, damage)
	}
}

// The JSON keys of the report are stable, because operators' scripts read them.
func TestStoredReport(t *testing.T) {
	goldentest.CheckJSON[Report](t, "report.json")
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(Merge(everyAct(), Limits{Grace: time.Second})); err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "merged.json", out.Bytes())
}
