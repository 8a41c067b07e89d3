package replicationtest_test

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

// A view follows the cluster. While it is partitioned, it keeps its documents and the time of its last confirmation. After a restart it
// has the same documents and is not confirmed.
func TestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicationtest.New(0)
		client := cluster.Client("a")
		view := cluster.View()
		changed := view.Changed()
		if _, err := client.Put(t.Context(), "p/b", 0, []byte("x"), replication.Fence{}); err != nil {
			t.Fatal(err)
		}
		<-changed
		view.SetPartitioned(true)
		partitionedAt := time.Now()
		time.Sleep(time.Minute)
		if _, err := client.Put(t.Context(), "p/a", 0, []byte("y"), replication.Fence{}); err != nil {
			t.Fatal(err)
		}
		if len(view.List("p/")) != 1 || !view.ConfirmedAt().Equal(partitionedAt) {
			t.Errorf("partitioned: %v, confirmed %v, want %v", view.List("p/"), view.ConfirmedAt(), partitionedAt)
		}
		restarted := view.Restart()
		if len(restarted.List("p/")) != 1 || !restarted.ConfirmedAt().IsZero() {
			t.Errorf("restarted while partitioned: %v, confirmed %v", restarted.List("p/"), restarted.ConfirmedAt())
		}
		restarted.SetPartitioned(false)
		if got := restarted.List("p/"); len(got) != 2 || got[0].Key != "p/a" || !restarted.ConfirmedAt().Equal(time.Now()) || restarted.Version() != 2 {
			t.Errorf("after the partition healed: %v, confirmed %v", got, restarted.ConfirmedAt())
		}
	})
}
