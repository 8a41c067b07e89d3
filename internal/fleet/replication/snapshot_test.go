package replication_test

import (
	"encoding/json"
	"testing"

	"threadsail/internal/fleet/replication"
)

// A snapshot that no log can have made is refused, and one that is accepted is encoded and decoded without loss.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":1,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="},{"key":"a","version":3,"value":""}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s, again replication.Snapshot
		if json.Unmarshal(text, &s) != nil {
			return
		}
		for k, d := range s.Documents {
			if k != d.Key || d.Version == 0 || d.Version > s.Version || d.Value == nil {
				t.Errorf("%+v in version %d", d, s.Version)
			}
		}
		out, err := json.Marshal(s)
		if err == nil {
			err = json.Unmarshal(out, &again)
		}
		if err != nil || again.Version != s.Version || len(again.Documents) != len(s.Documents) {
			t.Errorf("%s becomes %s, %v", text, out, err)
		}
	})
}
