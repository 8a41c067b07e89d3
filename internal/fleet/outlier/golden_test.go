package outlier

import (
	"bytes"
	"reflect"
	"testing"

	"threadsail/internal/goldentest"
)

func TestReportFormat(t *testing.T) {
	full := Report{StartedAt: 1, Sequence: 2, SentAt: 3, Zone: "zone-a", ServersSeen: 5, Complaints: 4, FailedAttempts: 6, Attempts: 70,
		Servers: []Observation{{Server: "db-1", Good: 8, Failed: 9, Slow: 10, LostPrimary: true}},
		Tenants: []Observation{{Server: "tenant-1", Good: 11, Failed: 12, Slow: 13, LostPrimary: true}}}
	goldentest.CheckJSONOf(t, "report.json", full)
	stored := bytes.TrimSpace(goldentest.Check(t, "report.json", append(full.encode(), '\n')))
	if read, err := decode(stored); err != nil || !reflect.DeepEqual(read, full) {
		t.Errorf("got %+v, %v, want %+v", read, err, full)
	}
	goldentest.CheckNames(t, map[string]string{"verdict": topicReport})
}
