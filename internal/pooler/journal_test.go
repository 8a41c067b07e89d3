package pooler

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
)

// waitUntil waits for a condition, for 20 s at most; the caller checks what has come of it.
func waitUntil(met func() bool) {
	const limit = 20 * time.Second
	for end := time.Now().Add(limit); !met() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// While the journal can't be written, other acts are dropped and told of; counted ones are written once there is room again.
func TestCountedRecordsOutlastAFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "acts")
	inTheWay := filepath.Join(path+".1", "x") // the full file can't be put aside
	if err := os.MkdirAll(inTheWay, 0o700); err != nil {
		t.Fatal(err)
	}
	j, err := openJournal(config.JournalConfig{File: path, MaxBytes: 1, MaxRotated: 1}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	note := func(act audit.Act, purge string) { j.write(audit.Record{Instance: "n1/1", Act: act, Purge: purge}) }
	note(audit.Started, "")
	note(audit.Purged, "a")
	note(audit.ListApplied, "")
	waitUntil(func() bool { return j.dropped.Load() > 0 })
	if dropped, failing := j.metrics(); dropped != 1 || !failing {
		t.Errorf("%d dropped, failing %v", dropped, failing)
	}
	if err := os.RemoveAll(path + ".1"); err != nil {
		t.Fatal(err)
	}
	written := func() string { // each record puts the one before it aside
		text, _ := os.ReadFile(path)
		records, _ := audit.Parse(path, text)
		if len(records) == 0 {
			return ""
		}
		return records[len(records)-1].Purge
	}
	waitUntil(func() bool { return written() == "a" })
	if got := written(); got != "a" {
		t.Errorf("the last act tells of %q", got)
	}
	j.close()
}
