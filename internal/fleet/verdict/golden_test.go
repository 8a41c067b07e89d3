package verdict

import (
	"bytes"
	"reflect"
	"testing"

	"threadsail/internal/fleet/goldentest"
)

func TestReportForm(t *testing.T) {
	full := Report{Born: 1, Seq: 2, At: 3, Room: "zone-a", Seen: 5, Ill: 4, Bad: 6, All: 70,
		Lines:   []Line{{Server: "db-1", Good: 8, Failed: 9, Slow: 10, Lost: true}},
		Tenants: []Line{{Server: "tenant-1", Good: 11, Failed: 12, Slow: 13, Lost: true}}}
	goldentest.JSON(t, "report.json", full)
	stored := bytes.TrimSpace(goldentest.Bytes(t, "report.json", append(full.encode(), '\n')))
	if read, err := decode(stored); err != nil || !reflect.DeepEqual(read, full) {
		t.Errorf("got %+v, %v, want %+v", read, err, full)
	}
	goldentest.Names(t, map[string]string{"verdict": topic})
}
