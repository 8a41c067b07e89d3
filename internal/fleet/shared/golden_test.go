package shared

import (
	"encoding/json"
	"testing"
	"time"

	"threadsail/internal/fleet/goldentest"
	"threadsail/internal/fleet/lease"
)

func goldenState() State {
	return State{Version: 9, Docs: map[string]Doc{
		"limits/set": {Key: "limits/set", Version: 7, Value: []byte(`{"revision":3}`)},
		"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")},
	}}
}

func TestStoredForms(t *testing.T) {
	goldentest.JSON(t, "doc.json", goldentest.Filled[Doc](t))
	goldentest.JSON(t, "write.json", goldentest.Filled[Write](t))
	goldentest.JSON(t, "saved.json", goldentest.Filled[saved](t))
	goldentest.JSON(t, "state.json", goldenState())
	goldentest.JSON(t, "delta.json", goldentest.Filled[Delta](t))
	goldentest.JSON(t, "word.json", goldentest.Filled[word](t))
}

// Documents that the log has made are kept in a snapshot as they always were.
func TestStoredDocs(t *testing.T) {
	var docs, read Docs
	for index, key := range []string{"limits/set", "purge/plan", "shards/map"} {
		if _, err := docs.Apply(Write{Key: key, Value: []byte(key)}, uint64(index+5), &lease.Table{}); err != nil {
			t.Fatal(err)
		}
	}
	text, err := json.Marshal(&docs)
	if err != nil {
		t.Fatal(err)
	}
	stored := goldentest.Bytes(t, "docs.json", append(text, '\n'))
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	if read.Version() != 7 || read.Get("purge/plan").Version != 6 || read.total != docs.total {
		t.Errorf("got version %d, purge/plan %+v and %d bytes, want 7, 6 and %d", read.Version(), read.Get("purge/plan"), read.total, docs.total)
	}
}

// The copy on disk has its mark, length and checksum as it always had, and is read from a folder under its old name.
func TestStoredCopy(t *testing.T) {
	asOf := time.Date(2026, time.December, 2, 17, 35, 0, 123456789, time.UTC)
	text, err := encodeCopy(goldenState(), asOf)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Bytes(t, "documents", text)
	state, at, err := Load("testdata")
	if err != nil || state.Version != 9 || string(state.Docs["purge/plan"].Value) != "plan" || !at.Equal(asOf) {
		t.Errorf("got %+v as of %v, %v", state, at, err)
	}
	goldentest.Names(t, map[string]string{"documents": copyName, "tsdocs1\n": copyMark})
}

func TestTopics(t *testing.T) {
	goldentest.Names(t, map[string]string{"/word": topicWord, "/want": topicWant, "/state": topicState})
}
