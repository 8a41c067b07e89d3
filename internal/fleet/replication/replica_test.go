package replication

import (
	"testing"
	"time"
)

// A replica of a log that was lost is not confirmed by announcements of another log. An announcement that was overtaken by the replica
// does not count as one of another log.
func TestConfirmForeignReplica(t *testing.T) {
	loaded := NewReplica(testSnapshot(600, "old"))
	if loaded.Confirm(5, time.Now()) || !loaded.ConfirmedAt().IsZero() {
		t.Error("a replica from disk is confirmed by an older version")
	}
	replica := NewReplica(Snapshot{})
	beforeInstall := time.Now()
	replica.Install(testSnapshot(7, "x"))
	if !replica.Confirm(6, beforeInstall) || !replica.ConfirmedAt().Equal(beforeInstall) {
		t.Error("an older version before the installation does not confirm the replica as of then")
	}
	if replica.Confirm(6, time.Now().Add(time.Second)) || !replica.Confirm(7, time.Now()) {
		t.Error("an older version confirms the replica, or its own version does not")
	}
}
