package consensus

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// A snapshot of a build that had no shared documents is restored to its leases and no documents. A snapshot that can't be decoded
// leaves the state unchanged.
func TestOldSnapshot(t *testing.T) {
	var oldLessor lease.Lessor
	want, _ := oldLessor.Apply(lease.Command{Name: "d", Holder: "a", Duration: time.Minute, RaftTerm: 1}, 7, 1)
	snapshot, err := oldLessor.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	withDocument := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	if _, err := withDocument.documents.Apply(replication.Write{Key: "k", Value: []byte("v")}, 3, &withDocument.lessor); err != nil {
		t.Fatal(err)
	}
	newSnapshot, err := withDocument.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	for _, test := range []struct {
		snapshot []byte
		token    uint64
		docs     int
	}{{snapshot, want.Token, 0}, {newSnapshot.(encodedSnapshot), 0, 1}, {snapshot, want.Token, 0}} {
		if err := restored.Restore(io.NopCloser(bytes.NewReader(test.snapshot))); err != nil {
			t.Fatal(err)
		}
		if _, token := restored.lessor.Holder("d"); token != test.token || len(restored.documents.Snapshot().Documents) != test.docs {
			t.Errorf("token %d, %d documents of %s", token, len(restored.documents.Snapshot().Documents), test.snapshot)
		}
	}
	for _, invalid := range []string{"", "{", `{"table":{},"docs":{"version":1,"docs":[{"key":"a","version":2,"value":""}]}}`} {
		if err := restored.Restore(io.NopCloser(strings.NewReader(invalid))); err == nil {
			t.Errorf("invalid snapshot %q was restored", invalid)
		}
	}
	if _, token := restored.lessor.Holder("d"); token != want.Token {
		t.Error("an invalid snapshot changed the state")
	}
}
