package lab

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/goldentest"
)

// A recorded session reads and writes back byte for byte; so does one with a mark.
func TestStoredSession(t *testing.T) {
	every := &Session{Version: SessionVersion, Collation: 45, Steps: []Step{
		{Command: []byte("\x03SELECT 1"), Answer: [][]byte{{1}, {2, 3}}, Mark: "failover"}, {Command: []byte{14}, Answer: [][]byte{{0}}}}}
	path := filepath.Join(t.TempDir(), "every.cbor")
	if err := every.Save(path); err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "every-key.cbor", readFile(t, path))
	back, err := LoadSession("testdata/every-key.cbor")
	if d := cmp.Diff(every, back); d != "" || err != nil {
		t.Error(d, err)
	}
	recorded, err := LoadSession("testdata/old-client.cbor")
	if err != nil {
		t.Fatal(err)
	}
	if err := recorded.Save(path); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(readFile(t, "testdata/old-client.cbor"), readFile(t, path)); d != "" {
		t.Error("old-client.cbor does not write back as it was", d)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The report that is written as JSON keeps its keys.
func TestStoredReport(t *testing.T) { goldentest.CheckJSON[FleetReport](t, "fleet-report.json") }
