package replication

import (
	"testing"
	"time"
)

// A replica of a log that was lost is not confirmed by versions of another log. A version that was the newest before the replica
// installed a newer one is not mistaken for one of another log.
func TestConfirmForeignReplica(t *testing.T) {
	loaded := NewReplica(testSnapshot(600, "old"))
	if loaded.Confirm(5, time.Now()) || !loaded.ConfirmedAt().IsZero() {
		t.Error("a replica loaded from disk was confirmed by an older version")
	}
	replica := NewReplica(Snapshot{})
	beforeInstall := time.Now()
	replica.Install(testSnapshot(7, "x"))
	if !replica.Confirm(6, beforeInstall) || !replica.ConfirmedAt().Equal(beforeInstall) {
		t.Error("an older version did not confirm the replica as of an instant before the installation")
	}
	if replica.Confirm(6, time.Now().Add(time.Second)) || !replica.Confirm(7, time.Now()) {
		t.Error("an older version confirmed the replica after the installation, or its own version did not")
	}
}
