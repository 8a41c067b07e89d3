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

// fakeVoters is a SnapshotFetcher with one snapshot.
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

// Twelve poolers, one of them with the leading voter, in a network that loses and duplicates datagrams: a change reaches all of them
// through each other; a pooler that is cut off from the others asks a voter; the replica of a pooler that is cut off from all grows
// old, and catches up once the cut is healed.
func TestReplicator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heartbeat = time.Second
		network := bustest.New(7)
		network.SetDelay(time.Millisecond, 5*time.Millisecond)
		network.SetLoss(0.2, 0.2)
		voters := &fakeVoters{}
		unreachable := &fakeVoters{unreachable: true}
		ctx, end := context.WithCancel(t.Context())
		var replicas []*replication.Replica
		for i := range 12 {
			replica := replication.NewReplica(replication.Snapshot{})
			replicas = append(replicas, replica)
			o := replication.ReplicatorOptions{Bus: network.Join(fmt.Sprint("n", i)), Replica: replica, Voters: voters, HeartbeatInterval: heartbeat, JitterFraction: float64(i) / 12}
			if i == 0 {
				o.Confirm = func() (uint64, time.Time, bool) { return replica.Version(), time.Now(), true }
			}
			if i == 11 {
				o.Voters = unreachable
			}
			replication.StartReplicator(ctx, o)
		}
		change := func(version uint64) {
			s := replication.Snapshot{Version: version, Documents: map[string]replication.Document{"p/a": {Key: "p/a", Version: version, Value: []byte("x")}}}
			voters.mu.Lock()
			voters.snapshot = s
			voters.mu.Unlock()
			replicas[0].Install(s)
		}
		wantCurrent := func(what string, version uint64, replicas ...*replication.Replica) {
			t.Helper()
			for i, c := range replicas {
				if d, _ := c.Get("p/a"); c.Version() != version || d.Version != version || time.Since(c.ConfirmedAt()) > 5*heartbeat {
					t.Errorf("%s: replica %d is at %d, confirmed %v ago", what, i, c.Version(), time.Since(c.ConfirmedAt()))
				}
			}
		}
		change(5)
		time.Sleep(5 * heartbeat)
		wantCurrent("a change", 5, replicas...)
		if voters.fetches > 0 {
			t.Errorf("the voters were asked %d times", voters.fetches)
		}
		network.SetIsolated("n10", true)
		network.SetIsolated("n11", true)
		cutAt := time.Now()
		time.Sleep(heartbeat)
		change(9)
		time.Sleep(8 * heartbeat)
		wantCurrent("in a cut", 9, replicas[:11]...)
		if c := replicas[11]; c.Version() != 5 || c.ConfirmedAt().After(cutAt) {
			t.Errorf("cut off from all: version %d, confirmed %v after the cut", c.Version(), c.ConfirmedAt().Sub(cutAt))
		}
		network.SetIsolated("n10", false)
		network.SetIsolated("n11", false)
		time.Sleep(5 * heartbeat)
		wantCurrent("healed", 9, replicas...)
		end()
		time.Sleep(time.Minute)
	})
}
