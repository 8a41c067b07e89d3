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

// A snapshot from before there were documents is taken over: its leases are kept, and there are no documents.
func TestOldSnapshot(t *testing.T) {
	var old lease.Lessor
	want, _ := old.Apply(lease.Command{Name: "d", Holder: "a", Duration: time.Minute, RaftTerm: 1}, 7, 1)
	text, err := old.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	now := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	if _, err := now.documents.Apply(replication.Write{Key: "k", Value: []byte("v")}, 3, &now.lessor); err != nil {
		t.Fatal(err)
	}
	snap, err := now.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	for _, c := range []struct {
		text  []byte
		token uint64
		docs  int
	}{{text, want.Token, 0}, {snap.(encodedSnapshot), 0, 1}, {text, want.Token, 0}} {
		if err := next.Restore(io.NopCloser(bytes.NewReader(c.text))); err != nil {
			t.Fatal(err)
		}
		if _, token := next.lessor.Holder("d"); token != c.token || len(next.documents.Snapshot().Documents) != c.docs {
			t.Errorf("token %d, %d documents of %s", token, len(next.documents.Snapshot().Documents), c.text)
		}
	}
	for _, torn := range []string{"", "{", `{"table":{},"docs":{"version":1,"docs":[{"key":"a","version":2,"value":""}]}}`} {
		if err := next.Restore(io.NopCloser(strings.NewReader(torn))); err == nil {
			t.Errorf("%q is restored", torn)
		}
	}
	if _, token := next.lessor.Holder("d"); token != want.Token {
		t.Error("a snapshot that can't be decoded has changed the state")
	}
}
