package replication

import (
	"encoding/json"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/goldentest"
)

func goldenState() Snapshot {
	return Snapshot{Version: 9, Documents: map[string]Document{
		"limits/set": {Key: "limits/set", Version: 7, Value: []byte(`{"revision":3}`)},
		"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")},
	}}
}

func TestStoredForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "doc.json", goldentest.Filled[Document](t))
	goldentest.CheckJSONOf(t, "write.json", goldentest.Filled[Write](t))
	goldentest.CheckJSONOf(t, "saved.json", goldentest.Filled[encodedSnapshot](t))
	goldentest.CheckJSONOf(t, "state.json", goldenState())
	goldentest.CheckJSONOf(t, "delta.json", goldentest.Filled[Delta](t))
	goldentest.CheckJSONOf(t, "word.json", goldentest.Filled[announcement](t))
}

// Documents that the log has made are kept in a snapshot as they always were.
func TestStoredDocs(t *testing.T) {
	var docs, read DocumentTable
	for index, key := range []string{"limits/set", "purge/plan", "shards/map"} {
		if _, err := docs.Apply(Write{Key: key, Value: []byte(key)}, uint64(index+5), &lease.Lessor{}); err != nil {
			t.Fatal(err)
		}
	}
	text, err := json.Marshal(&docs)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Check(t, "docs.json", append(text, '\n'))
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	if read.Version() != 7 || read.Get("purge/plan").Version != 6 || read.totalSize != docs.totalSize {
		t.Errorf("got version %d, purge/plan %+v and %d bytes, want 7, 6 and %d", read.Version(), read.Get("purge/plan"), read.totalSize, docs.totalSize)
	}
}

// The copy on disk has its mark, length and checksum as it always had, and is read from a folder under its old name.
func TestStoredCopy(t *testing.T) {
	asOf := time.Date(2026, time.December, 2, 17, 35, 0, 123456789, time.UTC)
	text, err := encodeSnapshotFile(goldenState(), asOf)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "documents", text)
	state, at, err := LoadSnapshot("testdata")
	if err != nil || state.Version != 9 || string(state.Documents["purge/plan"].Value) != "plan" || !at.Equal(asOf) {
		t.Errorf("got %+v as of %v, %v", state, at, err)
	}
	goldentest.CheckNames(t, map[string]string{"documents": snapshotFileName, "tsdocs1\n": snapshotFileMagic})
}

func TestTopics(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"/word": string(topicAnnouncement), "/want": string(topicFetch), "/state": string(topicSnapshot)})
}
