package replication_test

import (
	"encoding/json"
	"testing"

	"threadsail/internal/fleet/replication"
)

// Snapshots with duplicate or invalid documents are refused. An accepted snapshot survives encoding and decoding unchanged.
func FuzzSnapshot(f *testing.F) {
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":1,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="},{"key":"a","version":3,"value":""}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var snapshot, decoded replication.Snapshot
		if json.Unmarshal(text, &snapshot) != nil {
			return
		}
		for key, document := range snapshot.Documents {
			if key != document.Key || document.Version == 0 || document.Version > snapshot.Version || document.Value == nil {
				t.Errorf("accepted document %+v in a snapshot of version %d", document, snapshot.Version)
			}
		}
		encoded, err := json.Marshal(snapshot)
		if err == nil {
			err = json.Unmarshal(encoded, &decoded)
		}
		if err != nil || decoded.Version != snapshot.Version || len(decoded.Documents) != len(snapshot.Documents) {
			t.Errorf("%s was encoded as %s, error %v", text, encoded, err)
		}
	})
}
