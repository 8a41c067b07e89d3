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
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

const (
	documentClients = 1 // asks of documents under way at once: a connection each
	leaseClients    = 1 // and of leases, which must not wait behind a write that is slow
	shutdownTimeout = time.Second
)

// componentHost is what the parts stand on, and the parts themselves as they run.
type componentHost struct {
	options        Options
	replica        *replication.Replica
	serverList     *serverListReplica     // nil: lists are fetched from pooler to pooler
	keeper         *replication.Persister // nil: the copy is kept in memory alone
	documentClient *consensus.ClientPool
	leaseClient    *consensus.ClientPool
	events         coordination.Events
	log            zerolog.Logger
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
}

// newComponentHost begins with the copy on disk. A damaged one is set aside by the first that replaces it, and none is begun with.
func newComponentHost(o Options, holder string, stewards []consensus.Peer, events coordination.Events) (*componentHost, error) {
	g := &componentHost{options: o, events: events, log: o.Log.With().Str("part", "shared").Logger()}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	timeout := o.Config.Term / 4 // so that a renewal, a third of the term in, can be tried twice
	g.leaseClient = consensus.NewClientPool(leaseClients, holder, stewards, timeout)
	g.documentClient = consensus.NewClientPool(documentClients, holder, stewards, o.Config.Term)
	var begun replication.Snapshot
	if dir := o.Config.Shared.Dir; dir != "" {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		state, asOf, err := replication.LoadSnapshot(dir)
		if err != nil {
			g.log.Error().Err(err).Str("dir", dir).Msg("shared: the copy on disk can't be used")
		}
		if begun = state; state.Version > 0 {
			g.log.Info().Uint64("version", state.Version).Int("documents", len(state.Documents)).Time("as_of", asOf).Msg("shared: begun with the copy on disk")
		}
	}
	g.replica = replication.NewReplica(begun)
	if o.Config.Distributes() {
		g.serverList = newServerListReplica()
	}
	return g, nil
}

// start has the copies brought and kept, and runs the parts. bringing is the bus by which copies are brought from pooler to pooler;
// nil: a stream brings them. stands false: this pooler stands for no duty.
func (g *componentHost) start(way, bringing bus.Bus, stands bool, own *consensus.Voter) {
	say := func(line string) { g.log.Warn().Msg(line) }
	var confirm func() (uint64, time.Time, bool)
	if own != nil {
		confirm = own.ConfirmVersion
	}
	if dir := g.options.Config.Shared.Dir; dir != "" {
		g.keeper = replication.StartPersister(g.ctx, dir, g.replica, g.persistenceChanged)
	}
	beat := g.options.Config.Term / 3
	if bringing != nil {
		replication.StartReplicator(g.ctx, replication.ReplicatorOptions{Bus: bringing, Replica: g.replica, Voters: g.documentClient, Confirm: confirm, HeartbeatInterval: beat, JitterFraction: g.options.JitterFraction, Log: say})
	}
	if bringing != nil && g.serverList != nil {
		replication.StartReplicator(g.ctx, replication.ReplicatorOptions{Name: serverListFeed, Bus: bringing, Replica: g.serverList.replica, Confirm: g.serverList.confirmVersion, HeartbeatInterval: beat, JitterFraction: g.options.JitterFraction, Log: say})
	}
	if g.serverList != nil {
		g.goroutines.Go(func() { g.serverList.follow(g.ctx, g.options.Config.Name, g.events.ListReceived, say) })
	}
	stand := g.campaign
	if !stands {
		stand = func(context.Context, lease.Name) replication.Leadership { return nonCandidate{} }
	}
	for _, p := range g.options.Components {
		g.goroutines.Go(func() {
			err := p.Run(g.ctx, Runtime{Bus: way, View: g.replica, Store: g.documentClient, Audit: g.events.Audit, Log: g.options.Log,
				Campaign: stand})
			if err != nil && g.ctx.Err() == nil {
				g.events.Failed(fmt.Errorf("%T: %w", p, err))
			}
		})
	}
}

// campaign stands for a duty. The end waits until it is given up, so that another need not wait for the lease's end.
func (g *componentHost) campaign(ctx context.Context, d lease.Name) replication.Leadership {
	s := replication.Campaign(ctx, g.leaseClient, d, replication.CandidateOptions{LeaseTerm: g.options.Config.Term, MaxClockDrift: g.options.Config.Drift, JitterFraction: g.options.JitterFraction})
	g.goroutines.Go(func() { <-s.Done() })
	return s
}

// nonCandidate is the tenure of a pooler that stands for no duty.
type nonCandidate struct{}

func (nonCandidate) Token() (uint64, time.Time, bool) { return 0, time.Time{}, false }
func (nonCandidate) Changed() <-chan struct{}         { return nil } // never

// persistenceChanged tells that the copy can't be written to the disk, or can again. The pooler goes on from memory.
func (g *componentHost) persistenceChanged(err error) {
	if err != nil {
		g.log.Error().Err(err).Str("dir", g.options.Config.Shared.Dir).Msg("shared: the copy can't be written; it is kept in memory alone")
		g.events.Audit(audit.Record{Act: audit.ReplicaNotSaved})
		return
	}
	g.log.Info().Msg("shared: the copy is written again")
	g.events.Audit(audit.Record{Act: audit.ReplicaSaved})
}

// stop ends the parts. One that does not is left behind: the process ends.
func (g *componentHost) stop() {
	g.cancel()
	ended := make(chan struct{})
	go func() {
		g.goroutines.Wait()
		g.documentClient.Close()
		g.leaseClient.Close()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(shutdownTimeout):
		g.log.Warn().Msg("shared: a part or an ask does not end")
	}
}

// status may be called on any goroutine.
func (g *componentHost) status() coordination.Status {
	f := coordination.Status{DocumentsVersion: g.replica.Version(), DocumentsAge: -1}
	if at := g.replica.ConfirmedAt(); !at.IsZero() {
		f.DocumentsAge = time.Since(at)
	}
	if g.keeper != nil {
		_, err := g.keeper.Saved()
		f.ReplicaWriteFailing = err != nil
	}
	return f
}
