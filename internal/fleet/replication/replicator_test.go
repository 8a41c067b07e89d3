package replication_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication"
)

// fakeVoters is a SnapshotFetcher that returns a fixed snapshot, or fails if unreachable is set.
type fakeVoters struct {
	mu          sync.Mutex
	snapshot    replication.Snapshot
	unreachable bool
	fetches     int
}

func (v *fakeVoters) Fetch(_ context.Context, since uint64, _ bool) (replication.Snapshot, bool, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fetches++
	if v.unreachable {
		return replication.Snapshot{}, false, errors.New("unreachable")
	}
	return v.snapshot, v.snapshot.Version > since, nil
}

// Twelve poolers, of which n0 has the leader, replicate over a network that loses and duplicates datagrams. A change reaches all of
// them without a fetch from the voters. A pooler that is isolated from the other members fetches from the voters. A pooler that is
// isolated from the voters too is no longer confirmed, and catches up after the partition heals.
func TestReplicator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat = time.Second
		network := bustest.New(7)
		network.SetDelay(time.Millisecond, 5*time.Millisecond)
		network.SetLoss(0.2, 0.2)
		voters := &fakeVoters{}
		unreachable := &fakeVoters{unreachable: true}
		ctx, cancel := context.WithCancel(t.Context())
		var replicas []*replication.Replica
		for i := range 12 {
			replica := replication.NewReplica(replication.Snapshot{})
			replicas = append(replicas, replica)
			options := replication.ReplicatorOptions{Bus: network.Join(fmt.Sprint("n", i)), Replica: replica, Voters: voters, HeartbeatInterval: heartbeat, JitterFraction: float64(i) / 12}
			if i == 0 {
				options.Confirm = func() (uint64, time.Time, bool) { return replica.Version(), time.Now(), true }
			}
			if i == 11 {
				options.Voters = unreachable
			}
			replication.StartReplicator(ctx, options)
		}
		change := func(version uint64) {
			snapshot := replication.Snapshot{Version: version, Documents: map[string]replication.Document{"p/a": {Key: "p/a", Version: version, Value: []byte("x")}}}
			voters.mu.Lock()
			voters.snapshot = snapshot
			voters.mu.Unlock()
			replicas[0].Install(snapshot)
		}
		expectCurrent := func(situation string, version uint64, replicas ...*replication.Replica) {
			t.Helper()
			for i, replica := range replicas {
				if document, _ := replica.Get("p/a"); replica.Version() != version || document.Version != version || time.Since(replica.ConfirmedAt()) > 5*heartbeat {
					t.Errorf("%s: replica %d has version %d, confirmed %v ago", situation, i, replica.Version(), time.Since(replica.ConfirmedAt()))
				}
			}
		}
		change(5)
		time.Sleep(5 * heartbeat)
		expectCurrent("after a change", 5, replicas...)
		if voters.fetches > 0 {
			t.Errorf("the voters were queried %d times", voters.fetches)
		}
		network.SetIsolated("n10", true)
		network.SetIsolated("n11", true)
		isolatedAt := time.Now()
		time.Sleep(heartbeat)
		change(9)
		time.Sleep(8 * heartbeat)
		expectCurrent("during the partition", 9, replicas[:11]...)
		if replica := replicas[11]; replica.Version() != 5 || replica.ConfirmedAt().After(isolatedAt) {
			t.Errorf("isolated from all: version %d, confirmed %v after the partition", replica.Version(), replica.ConfirmedAt().Sub(isolatedAt))
		}
		network.SetIsolated("n10", false)
		network.SetIsolated("n11", false)
		time.Sleep(5 * heartbeat)
		expectCurrent("after the partition healed", 9, replicas...)
		cancel()
		time.Sleep(time.Minute)
	})
}
