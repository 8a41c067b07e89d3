// Package consensus stores the fleet's leases and shared documents in a replicated log. Three or five voters, named in the
// operators' file, run hashicorp/raft with a durable log and snapshots. A pooler may send a request to any voter. Only the leader
// grants leases and accepts writes; the other voters respond with the leader's name.
//
// Package lease defines when a lease is granted and when it expires, and package replication defines which writes are accepted.
// This package owns the listener, the log on disk and the raft engine of a Voter, and the connections of a Client.
//
// Goroutines: a Voter runs one goroutine that accepts connections, two for each connection, one that tracks its leadership and
// one that reconciles the voter set. They end at Close, as do the raft engine's goroutines, which call stateMachine and
// retryingStore. Raft connections outlive Close, each with the goroutine that reads from it, until the peer closes them:
// hashicorp/raft does not close pooled or accepted connections when it shuts down. The exported methods of Voter and ClientPool
// are safe for concurrent use.
package consensus

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/rs/zerolog"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// Peer is a voter. Name is the name of its pooler, and Addr the address at which this process reaches it.
type Peer struct{ Name, Addr string }

// Options are the settings of a voter.
type Options struct {
	Name           string
	ListenAddr     string        // TCP address for connections from other voters and clients
	Dir            string        // directory of the log and the snapshots, which must survive restarts
	Voters         []Peer        // all voters, including this one; the names are the same on every voter, the addresses may differ
	VotersRevision uint64        // revision of the file with Voters, as in Voter.SetVoters
	Join           bool          // whether the voter joins an existing cluster rather than bootstrap one
	MaxClockDrift  time.Duration // as in lease.Lessor
	// ElectionTimeout is the time without contact from the leader after which a voter stands for election. A leader that can't
	// reach a majority for the same time steps down.
	ElectionTimeout time.Duration
	Log             zerolog.Logger
	// OnDocumentsChanged is called with the documents after each change that this voter has applied. Each call has a newer
	// version than the one before, except after a restore from a leader's snapshot. It must not block; nil disables it.
	OnDocumentsChanged func(replication.Snapshot)
	Traffic            *traffic.Counter // counts the traffic of the voter's connections; nil disables counting

	wrapStore func(raftStore) raftStore // set by tests to simulate a slow or full disk; may be nil
}

// Voter is a running member of the raft cluster.
type Voter struct {
	options    Options
	log        zerolog.Logger
	raft       *raft.Raft
	state      *stateMachine
	streams    *streamLayer
	boltStore  *raftboltdb.BoltStore
	logStore   *retryingStore // wraps boltStore; used by the raft engine
	startedAt  time.Time      // origin of the monotonic clock
	shutdown   chan struct{}  // closed by Close
	goroutines sync.WaitGroup // the goroutines that Close waits for

	mu            sync.Mutex  // guards the fields below
	clock         lease.Clock // leader's clock; RaftTerm is 0 while this voter is not the leader
	connections   int         // open connections of clients, and those whose first byte is awaited
	desiredVoters voterSet
}

// Start opens the log in Options.Dir and starts a voter. Without a log it bootstraps the cluster, unless Options.Join is set;
// otherwise it continues from the log. It returns an error if it can't listen on the address or open the log. The caller must
// call Close.
func Start(opts Options) (*Voter, error) {
	listener, err := net.Listen("tcp", opts.ListenAddr)
	if err != nil {
		return nil, fmt.Errorf("consensus: listen: %w", err)
	}
	if opts.OnDocumentsChanged == nil {
		opts.OnDocumentsChanged = func(replication.Snapshot) {}
	}
	v := &Voter{
		options:   opts,
		log:       opts.Log,
		state:     &stateMachine{lessor: lease.Lessor{MaxClockDrift: opts.MaxClockDrift}, onDocumentsChanged: opts.OnDocumentsChanged},
		startedAt: time.Now(),
		shutdown:  make(chan struct{}),
	}
	v.streams = newStreamLayer(listener, v.shutdown, opts.Traffic)
	if err := v.startRaft(); err != nil {
		_ = listener.Close()
		if v.boltStore != nil {
			_ = v.boltStore.Close()
		}
		return nil, fmt.Errorf("consensus: start: %w", err)
	}
	v.SetVoters(opts.VotersRevision, opts.Voters)
	v.goroutines.Go(v.acceptConnections)
	v.goroutines.Go(v.followLeadership)
	v.goroutines.Go(v.reconcileVoters)
	return v, nil
}

// Addr returns the address that the voter listens on.
func (v *Voter) Addr() string { return v.streams.listener.Addr().String() }

// LogWriteFailed reports whether the last write to the voter's log failed.
func (v *Voter) LogWriteFailed() bool { return v.logStore.WriteFailed() }

// Close stops the voter and waits for its goroutines. The voter stays a member of the cluster.
func (v *Voter) Close() {
	close(v.shutdown)
	_ = v.raft.Shutdown().Error()
	_ = v.streams.listener.Close()
	v.goroutines.Wait()
	_ = v.boltStore.Close()
}

// waitUnlessClosed waits for a duration and returns true, or returns false as soon as shutdown is closed.
func waitUnlessClosed(shutdown <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-shutdown:
		return false
	case <-timer.C:
		return true
	}
}

// monotonicNow returns the time since the voter started, on the monotonic clock.
func (v *Voter) monotonicNow() time.Duration { return time.Since(v.startedAt) }
