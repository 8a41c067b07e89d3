package fleet

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/distribution"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

const (
	documentClients = 1 // requests of documents in flight: a connection each
	leaseClients    = 1 // and of leases, which must not wait behind a slow write
	shutdownTimeout = time.Second
)

// The resources that streams carry.
const (
	documentsFeed  = "shared"
	serverListFeed = "lists"
)

// componentHost keeps the replicas that the components read, and runs the components.
type componentHost struct {
	options        Options
	replica        *replication.Replica   // of the shared documents
	serverList     *serverListReplica     // nil: lists are fetched from pooler to pooler
	persister      *replication.Persister // nil: the replica is kept in memory alone
	documentClient *consensus.ClientPool
	leaseClient    *consensus.ClientPool
	events         coordination.Events
	log            zerolog.Logger
	cancel         context.CancelFunc // ends all that start has started; nil: it has not been called
	goroutines     sync.WaitGroup
}

// componentWiring is what the coordinator gives the components besides their options.
type componentWiring struct {
	bus            bus.Bus
	replicationBus bus.Bus                                        // brings the replicas from pooler to pooler; nil: a stream does
	candidate      bool                                           // this pooler may lead
	confirmVersion func() (version uint64, at time.Time, ok bool) // of this process's voter; nil: it has none
}

// newComponentHost loads the replica from the disk. A damaged one is logged, replaced by the first that comes, and not used.
// The caller owes stop.
func newComponentHost(o Options, instance string, events coordination.Events, t *traffic.Counter) (*componentHost, error) {
	h := &componentHost{options: o, events: events, log: o.Log.With().Str("part", "shared").Logger()}
	loaded, err := h.loadReplica()
	if err != nil {
		return nil, err
	}
	h.replica = replication.NewReplica(loaded)
	if o.Config.UsesDistributors() {
		h.serverList = newServerListReplica()
	}
	voters := voterPeers(o.Config)
	renewalTimeout := o.Config.Term / 4 // so that a renewal, a third of the duration in, can be tried twice
	h.leaseClient = consensus.NewClientPool(leaseClients, instance, voters, renewalTimeout)
	h.leaseClient.CountTraffic(t)
	h.documentClient = consensus.NewClientPool(documentClients, instance, voters, o.Config.Term)
	h.documentClient.CountTraffic(t)
	return h, nil
}

// loadReplica reads the replica on the disk; the zero Snapshot: there is none, or none that can be used.
func (h *componentHost) loadReplica() (replication.Snapshot, error) {
	dir := h.options.Config.Replica.Dir
	if dir == "" {
		return replication.Snapshot{}, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return replication.Snapshot{}, fmt.Errorf("fleet: replica: %w", err)
	}
	snapshot, confirmedAt, err := replication.LoadSnapshot(dir)
	if err != nil {
		h.log.Error().Err(err).Str("dir", dir).Msg("replication: stored replica can't be used")
	}
	if snapshot.Version > 0 {
		h.log.Info().Uint64("version", snapshot.Version).Int("documents", len(snapshot.Documents)).Time("as_of", confirmedAt).
			Msg("replication: started from the stored replica")
	}
	return snapshot, nil
}

// resources are the replicas that streams carry.
func (h *componentHost) resources() []distribution.Resource {
	return []distribution.Resource{
		{Name: documentsFeed, Replica: h.replica},
		{Name: serverListFeed, Replica: h.serverList.replica, FullReplacement: true},
	}
}

// start has the replicas updated and persisted, and runs the components, each on a goroutine of its own, until stop.
func (h *componentHost) start(w componentWiring) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	if dir := h.options.Config.Replica.Dir; dir != "" {
		h.persister = replication.StartPersister(ctx, dir, h.replica, h.persistenceChanged)
	}
	if w.replicationBus != nil {
		h.startReplicators(ctx, w)
	}
	if h.serverList != nil {
		h.goroutines.Go(func() {
			h.serverList.follow(ctx, h.options.Config.Name, h.events.ListReceived, h.log)
		})
	}
	runtime := Runtime{
		Bus:      w.bus,
		View:     h.replica,
		Store:    h.documentClient,
		Campaign: h.campaign,
		Audit:    h.events.Audit,
		Log:      h.options.Log,
	}
	if !w.candidate {
		runtime.Campaign = func(context.Context, lease.Name) replication.Leadership { return nonCandidate{} }
	}
	for _, component := range h.options.Components {
		h.goroutines.Go(func() { h.run(ctx, component, runtime) })
	}
}

// startReplicators has the replicas updated from pooler to pooler.
func (h *componentHost) startReplicators(ctx context.Context, w componentWiring) {
	o := replication.ReplicatorOptions{
		Bus:               w.replicationBus,
		HeartbeatInterval: h.options.Config.Term / 3,
		JitterFraction:    h.options.JitterFraction,
		Log:               h.log,
	}
	documents := o
	documents.Replica = h.replica
	documents.Voters = h.documentClient
	documents.Confirm = w.confirmVersion
	replication.StartReplicator(ctx, documents)
	if h.serverList == nil {
		return
	}
	serverList := o
	serverList.Name = serverListFeed
	serverList.Replica = h.serverList.replica
	serverList.Confirm = h.serverList.confirmVersion
	replication.StartReplicator(ctx, serverList)
}

// run runs a component until its end, and reports its failure.
func (h *componentHost) run(ctx context.Context, c Component, r Runtime) {
	if err := c.Run(ctx, r); err != nil && ctx.Err() == nil {
		h.events.Failed(fmt.Errorf("%T: %w", c, err))
	}
}

// campaign has this pooler be a candidate for a lease until ctx ends. stop waits until the lease is released, so that another
// candidate need not wait for its expiry.
func (h *componentHost) campaign(ctx context.Context, name lease.Name) replication.Leadership {
	candidate := replication.Campaign(ctx, h.leaseClient, name, replication.CandidateOptions{
		LeaseTerm:      h.options.Config.Term,
		MaxClockDrift:  h.options.Config.MaxClockDrift,
		JitterFraction: h.options.JitterFraction,
	})
	h.goroutines.Go(func() { <-candidate.Done() })
	return candidate
}

// nonCandidate is the leadership of a pooler that is a candidate for no lease.
type nonCandidate struct{}

// Token implements replication.Leadership.
func (nonCandidate) Token() (token uint64, until time.Time, ok bool) { return 0, time.Time{}, false }

// Changed implements replication.Leadership: it never is.
func (nonCandidate) Changed() <-chan struct{} { return nil }

// persistenceChanged reports that the replica can't be written to the disk, or can again. The pooler goes on from memory.
func (h *componentHost) persistenceChanged(err error) {
	if err != nil {
		h.log.Error().Err(err).Str("dir", h.options.Config.Replica.Dir).Msg("replication: replica can't be written, kept in memory alone")
		h.events.Audit(audit.Record{Act: audit.ReplicaNotSaved})
		return
	}
	h.log.Info().Msg("replication: replica is written again")
	h.events.Audit(audit.Record{Act: audit.ReplicaSaved})
}

// stop ends the components and closes the clients. A component that has not ended after shutdownTimeout is left behind: the
// process ends.
func (h *componentHost) stop() {
	if h.cancel != nil {
		h.cancel()
	}
	ended := make(chan struct{})
	go func() {
		h.goroutines.Wait()
		h.documentClient.Close()
		h.leaseClient.Close()
		close(ended)
	}()
	timeout := time.NewTimer(shutdownTimeout)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
		h.log.Warn().Msg("fleet: a component or a request does not end")
	}
}

// status is what the replicas show; the rest is left to the caller. It may be called on any goroutine.
func (h *componentHost) status() coordination.Status {
	s := coordination.Status{DocumentsVersion: h.replica.Version(), DocumentsAge: -1}
	if at := h.replica.ConfirmedAt(); !at.IsZero() {
		s.DocumentsAge = time.Since(at)
	}
	if h.persister != nil {
		_, err := h.persister.Saved()
		s.ReplicaWriteFailing = err != nil
	}
	return s
}
