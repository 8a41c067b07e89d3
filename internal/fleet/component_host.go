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
	documentClients = 1 // concurrent document requests, one connection each
	leaseClients    = 1 // concurrent lease requests; a separate pool, so that they don't wait behind a slow document write
	shutdownTimeout = time.Second
)

// Names of the resources that the streams distribute.
const (
	documentsResource  = "shared"
	serverListResource = "lists"
)

// componentHost runs the components and maintains the replicas that they read.
type componentHost struct {
	options        Options
	replica        *replication.Replica   // replica of the shared documents
	serverList     *serverListReplica     // nil if poolers fetch lists from each other
	persister      *replication.Persister // nil if the replica is kept in memory only
	documentClient *consensus.ClientPool
	leaseClient    *consensus.ClientPool
	events         coordination.Events
	log            zerolog.Logger
	cancel         context.CancelFunc // ends the goroutines started by start; nil before start is called
	goroutines     sync.WaitGroup
}

// componentWiring holds what the coordinator passes to the components in addition to their options.
type componentWiring struct {
	bus            bus.Bus
	replicationBus bus.Bus                                        // replicates between poolers; nil if a stream updates the replicas
	candidate      bool                                           // this pooler may hold leases
	confirmVersion func() (version uint64, at time.Time, ok bool) // ConfirmVersion of this process's voter; nil without one
}

// newComponentHost returns a componentHost with the replica loaded from disk. A damaged replica is logged and not used; the
// first snapshot received replaces it. The caller must call stop.
func newComponentHost(options Options, instance string, events coordination.Events, counter *traffic.Counter) (*componentHost, error) {
	h := &componentHost{options: options, events: events, log: options.Log.With().Str("part", "shared").Logger()}
	loaded, err := h.loadReplica()
	if err != nil {
		return nil, err
	}
	h.replica = replication.NewReplica(loaded)
	if options.Config.UsesDistributors() {
		h.serverList = newServerListReplica()
	}
	voters := voterPeers(options.Config)
	renewalTimeout := options.Config.Term / 4 // a renewal starts after a third of the term and can then be tried twice
	h.leaseClient = consensus.NewClientPool(leaseClients, instance, voters, renewalTimeout)
	h.leaseClient.CountTraffic(counter)
	h.documentClient = consensus.NewClientPool(documentClients, instance, voters, options.Config.Term)
	h.documentClient.CountTraffic(counter)
	return h, nil
}

// loadReplica returns the replica stored on disk, or the zero Snapshot if there is none or it can't be used. It returns an
// error if the directory can't be created.
func (h *componentHost) loadReplica() (replication.Snapshot, error) {
	dir := h.options.Config.Replica.Dir
	if dir == "" {
		return replication.Snapshot{}, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return replication.Snapshot{}, fmt.Errorf("fleet: create replica directory: %w", err)
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

// resources returns the replicas that the streams distribute.
func (h *componentHost) resources() []distribution.Resource {
	return []distribution.Resource{
		{Name: documentsResource, Replica: h.replica},
		{Name: serverListResource, Replica: h.serverList.replica, FullReplacement: true},
	}
}

// start starts replication and persistence and runs each component on its own goroutine, all until stop is called.
func (h *componentHost) start(wiring componentWiring) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	if dir := h.options.Config.Replica.Dir; dir != "" {
		h.persister = replication.StartPersister(ctx, dir, h.replica, h.persistenceChanged)
	}
	if wiring.replicationBus != nil {
		h.startReplicators(ctx, wiring)
	}
	if h.serverList != nil {
		h.goroutines.Go(func() {
			h.serverList.follow(ctx, h.options.Config.Name, h.events.ListReceived, h.log)
		})
	}
	runtime := Runtime{
		Bus:      wiring.bus,
		View:     h.replica,
		Store:    h.documentClient,
		Campaign: h.campaign,
		Audit:    h.events.Audit,
		Log:      h.options.Log,
	}
	if !wiring.candidate {
		runtime.Campaign = func(context.Context, lease.Name) replication.Leadership { return nonCandidate{} }
	}
	for _, component := range h.options.Components {
		h.goroutines.Go(func() { h.run(ctx, component, runtime) })
	}
}

// startReplicators starts the replication of the documents and of the server list between poolers.
func (h *componentHost) startReplicators(ctx context.Context, wiring componentWiring) {
	common := replication.ReplicatorOptions{
		Bus:               wiring.replicationBus,
		HeartbeatInterval: h.options.Config.Term / 3,
		JitterFraction:    h.options.JitterFraction,
		Log:               h.log,
	}
	documents := common
	documents.Replica = h.replica
	documents.Voters = h.documentClient
	documents.Confirm = wiring.confirmVersion
	replication.StartReplicator(ctx, documents)
	if h.serverList == nil {
		return
	}
	serverList := common
	serverList.Name = serverListResource
	serverList.Replica = h.serverList.replica
	serverList.Confirm = h.serverList.confirmVersion
	replication.StartReplicator(ctx, serverList)
}

// run runs a component until it returns, and reports an error that it returns before ctx ends.
func (h *componentHost) run(ctx context.Context, component Component, runtime Runtime) {
	if err := component.Run(ctx, runtime); err != nil && ctx.Err() == nil {
		h.events.Failed(fmt.Errorf("%T: %w", component, err))
	}
}

// campaign makes this pooler a candidate for a lease until ctx ends. stop waits for the release of the lease, so that another
// candidate does not have to wait for its expiry.
func (h *componentHost) campaign(ctx context.Context, name lease.Name) replication.Leadership {
	candidate := replication.Campaign(ctx, h.leaseClient, name, replication.CandidateOptions{
		LeaseTerm:      h.options.Config.Term,
		MaxClockDrift:  h.options.Config.MaxClockDrift,
		JitterFraction: h.options.JitterFraction,
	})
	h.goroutines.Go(func() { <-candidate.Done() })
	return candidate
}

// nonCandidate is the replication.Leadership of a pooler that may not hold leases.
type nonCandidate struct{}

// Token implements replication.Leadership. It never returns a token.
func (nonCandidate) Token() (token uint64, until time.Time, ok bool) { return 0, time.Time{}, false }

// Changed implements replication.Leadership. The leadership never changes.
func (nonCandidate) Changed() <-chan struct{} { return nil }

// persistenceChanged logs and records that writing the replica to disk has begun to fail (err is not nil) or works again. The
// pooler continues with the replica in memory.
func (h *componentHost) persistenceChanged(err error) {
	if err != nil {
		h.log.Error().Err(err).Str("dir", h.options.Config.Replica.Dir).Msg("replication: replica can't be written to disk; continuing with the copy in memory")
		h.events.Audit(audit.Record{Act: audit.ReplicaNotSaved})
		return
	}
	h.log.Info().Msg("replication: replica can be written to disk again")
	h.events.Audit(audit.Record{Act: audit.ReplicaSaved})
}

// stop ends the components and closes the clients. It waits for at most shutdownTimeout: a component that still runs then ends
// with the process.
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
		h.log.Warn().Msg("fleet: components or requests still running after the shutdown timeout")
	}
}

// status returns a Status with the fields that describe the replica of the documents; the caller fills in the others. It is
// safe for concurrent use.
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
