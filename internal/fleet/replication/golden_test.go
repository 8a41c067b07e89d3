package replication

import (
	"encoding/json"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/goldentest"
)

func goldenSnapshot() Snapshot {
	return Snapshot{Version: 9, Documents: map[string]Document{
		"limits/set": {Key: "limits/set", Version: 7, Value: []byte(`{"revision":3}`)},
		"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")},
	}}
}

func TestStoredForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "doc.json", goldentest.Filled[Document](t))
	goldentest.CheckJSONOf(t, "write.json", goldentest.Filled[Write](t))
	goldentest.CheckJSONOf(t, "saved.json", goldentest.Filled[encodedSnapshot](t))
	goldentest.CheckJSONOf(t, "state.json", goldenSnapshot())
	goldentest.CheckJSONOf(t, "delta.json", goldentest.Filled[Delta](t))
	goldentest.CheckJSONOf(t, "word.json", goldentest.Filled[announcement](t))
}

// The document table keeps the encoding that earlier builds wrote into raft snapshots.
func TestStoredDocumentTable(t *testing.T) {
	var table, decoded DocumentTable
	for index, key := range []string{"limits/set", "purge/plan", "shards/map"} {
		if _, err := table.Apply(Write{Key: key, Value: []byte(key)}, uint64(index+5), &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
	}
	encoded, err := json.Marshal(&table)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Check(t, "docs.json", append(encoded, '\n'))
	if err := json.Unmarshal(stored, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Version() != 7 || decoded.Get("purge/plan").Version != 6 || decoded.totalSize != table.totalSize {
		t.Errorf("got version %d, purge/plan %+v and %d bytes, want 7, 6 and %d", decoded.Version(), decoded.Get("purge/plan"), decoded.totalSize, table.totalSize)
	}
}

// The snapshot file keeps its name, magic, length and checksum, and a file of an earlier build can be loaded.
func TestStoredSnapshotFile(t *testing.T) {
	confirmedAt := time.Date(2026, time.December, 2, 17, 35, 0, 123456789, time.UTC)
	content, err := encodeSnapshotFile(goldenSnapshot(), confirmedAt)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "documents", content)
	state, loadedConfirmedAt, err := LoadSnapshot("testdata")
	if err != nil || state.Version != 9 || string(state.Documents["purge/plan"].Value) != "plan" || !loadedConfirmedAt.Equal(confirmedAt) {
		t.Errorf("got %+v confirmed at %v, error %v", state, loadedConfirmedAt, err)
	}
	goldentest.CheckNames(t, map[string]string{"documents": snapshotFileName, "tsdocs1\n": snapshotFileMagic})
}

func TestTopics(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"/word": string(topicAnnouncement), "/want": string(topicFetch), "/state": string(topicSnapshot)})
}
