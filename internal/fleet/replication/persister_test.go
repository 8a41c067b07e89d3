package replication

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// While the directory can't be written to, the failure is reported once, saves are retried and the replica stays usable. Once a save
// succeeds, the recovery is reported, and a later confirmation is saved too.
func TestPersister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir := filepath.Join(t.TempDir(), "missing")
		replica := NewReplica(Snapshot{})
		var reported []error
		ctx, cancel := context.WithCancel(t.Context())
		persister := StartPersister(ctx, dir, replica, func(err error) { reported = append(reported, err) })
		replica.Install(testSnapshot(7, "x"))
		time.Sleep(10 * time.Second)
		replica.Install(testSnapshot(8, "y"))
		time.Sleep(10 * time.Second)
		if version, err := persister.Saved(); version != 0 || err == nil || len(reported) != 1 || replica.Version() != 8 {
			t.Errorf("saved version %d, error %v; reported %v", version, err, reported)
		}
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * saveRetryInterval)
		synctest.Wait()
		if version, err := persister.Saved(); version != 8 || err != nil || len(reported) != 2 || reported[1] != nil {
			t.Errorf("saved version %d, error %v; reported %v", version, err, reported)
		}
		confirmedAt := time.Now()
		replica.Confirm(8, confirmedAt)
		time.Sleep(2 * confirmationSaveInterval)
		if saved, savedConfirmedAt, err := LoadSnapshot(dir); err != nil || saved.Version != 8 || !savedConfirmedAt.Equal(confirmedAt) {
			t.Errorf("loaded version %d confirmed at %v, error %v", saved.Version, savedConfirmedAt, err)
		}
		cancel()
	})
}
