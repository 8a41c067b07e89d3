package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/lab/relay"
)

// freeAddr returns a free address, for a listener that is opened later.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := relay.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Requests made before Close are answered, and calls after Close neither block nor panic: the event loop still runs when the
// start of the pooler fails.
func TestCallsAfterClose(t *testing.T) {
	coordinator, err := Start(Options{Config: &config.Fleet{Name: "a", GossipConfig: config.GossipConfig{Listen: freeAddr(t)},
		Voters: []config.Peer{{Name: "s", Addr: "127.0.0.1:1"}}, LeaseConfig: config.LeaseConfig{Term: 400 * time.Millisecond}},
		Log: zerolog.Nop()}, coordination.Events{})
	if err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, maxQueuedLeaseRequests)
	for range 3 {
		coordinator.AcquireLease(func(_ lease.Lease, _ bool, err error) { answered <- err })
	}
	coordinator.Close()
	for range 3 {
		if err := <-answered; err == nil || !errors.Is(err, consensus.ErrNoLeader) {
			t.Errorf("a request without voters ends with %v, want consensus.ErrNoLeader", err)
		}
	}
	for range 2 * maxQueuedAnnouncements {
		coordinator.Announce(discoveryleader.Announcement{Token: 1}, time.Minute, func(bool) {})
		coordinator.AcquireLease(func(lease.Lease, bool, error) {})
	}
}

// failingComponent is a component whose Run returns an error at once.
type failingComponent struct{}

func (failingComponent) Run(_ context.Context, runtime Runtime) error {
	runtime.Audit(audit.Record{Act: audit.ReplicaSaved})
	return errors.New("broken")
}

// The failure of a component is reported. Another component acquires a lease and writes and reads documents through a voter in
// the same process; the replica shows the documents and stores them on disk.
func TestRuntime(t *testing.T) {
	addr, gossipAddr := freeAddr(t), freeAddr(t)
	failed := make(chan error, 1)
	records := make(chan audit.Record, 9)
	runtimes := make(chan Runtime, 1)
	dir := t.TempDir()
	settings := &config.Fleet{Name: "a", GossipConfig: config.GossipConfig{Listen: gossipAddr}, Voters: []config.Peer{{Name: "a", Addr: addr}},
		LeaseConfig: config.LeaseConfig{Term: 900 * time.Millisecond, MaxClockDrift: 30 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond},
		Voter:       config.VoterConfig{Listen: addr, Dir: t.TempDir()}, Replica: config.ReplicaConfig{Dir: dir}}
	coordinator, err := Start(Options{Config: settings, Components: []Component{failingComponent{}, runningComponent(runtimes)}, Log: zerolog.Nop()},
		coordination.Events{Failed: func(err error) { failed <- err }, Audit: func(record audit.Record) { records <- record }})
	if err != nil {
		t.Fatal(err)
	}
	defer coordinator.Close()
	if err := <-failed; err == nil || (<-records).Act != audit.ReplicaSaved {
		t.Error(err)
	}
	runtime, ctx := <-runtimes, t.Context()
	leadership := runtime.Campaign(ctx, "d")
	changed, version := runtime.View.Changed(), uint64(0)
	for version == 0 { // on a slow disk the lease may expire, or a write may succeed without an answer
		leadershipChanged := leadership.Changed()
		if token, _, ok := leadership.Token(); !ok {
			<-leadershipChanged
		} else if version, err = runtime.Store.Put(ctx, "p/a", 0, []byte("x"), replication.Fence{Lease: "d", Token: token}); err != nil {
			document, _ := runtime.Store.Read(ctx, "p/a")
			version = document.Version
		}
	}
	<-changed
	if document, err := runtime.Store.Read(ctx, "p/a"); err != nil || document.Version != version {
		t.Errorf("%+v %v, want version %d", document, err, version)
	}
	for { // until the document is on disk and the replica is confirmed
		status := coordinator.Status()
		if snapshot, _, err := replication.LoadSnapshot(dir); err == nil && snapshot.Version == version && status.DocumentsVersion == version && status.DocumentsAge >= 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runningComponent is a component that sends its Runtime on the channel and runs until it is stopped.
type runningComponent chan Runtime

func (c runningComponent) Run(ctx context.Context, runtime Runtime) error {
	c <- runtime
	<-ctx.Done()
	return nil
}
