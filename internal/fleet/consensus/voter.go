// Package consensus keeps the fleet's leases and shared documents in a replicated log: three or five voters named in the
// operators' file run hashicorp/raft with a durable log and snapshots. Any pooler asks any voter; only the leader grants a
// lease or takes a write, the others answer with the leader's name.
//
// What a lease is and when it passes on is decided by package lease; which write is taken, by package replication. This
// package decides neither. It owns the listener, the log on disk and the raft engine of a Voter, and the connections of a
// Client.
//
// Goroutines: a Voter runs one that accepts connections, one for each connection, one that follows its own leadership and one
// that reconciles the set of voters; all end with Close. The raft engine calls stateMachine and retryingStore on goroutines of
// its own, which end with Close too. The engine's connections do not: each lasts, with the goroutine that reads it, until its
// peer closes it, as hashicorp/raft closes no pooled or accepted connection at its shutdown. Every exported method of Voter and
// ClientPool is safe for use by several goroutines.
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

// Peer is a voter, by its pooler's name and the address at which it is reached from here.
type Peer struct{ Name, Addr string }

// Options are a voter's settings. Voters names all of them, this one among them, and is the same set at each; the addresses
// may differ.
type Options struct {
	Name           string
	ListenAddr     string // TCP, for other voters and for clients
	Dir            string // of the log and the snapshots; it outlives the process
	Voters         []Peer
	VotersRevision uint64        // revision of the file that names the voters: as in Voter.SetVoters
	Join           bool          // the voter joins a set that exists: it bootstraps none
	MaxClockDrift  time.Duration // as in lease.Lessor
	// ElectionTimeout is how long a voter hears nothing of the leader before it stands for election. The leader steps down
	// when it has reached no majority for as long.
	ElectionTimeout time.Duration
	Log             zerolog.Logger
	// OnDocumentsChanged takes the documents after each change in the log as this voter has applied it, newer each time but
	// for a restore from a leader's snapshot. It must not block; nil: nobody is notified.
	OnDocumentsChanged func(replication.Snapshot)
	Traffic            *traffic.Counter // counts the traffic of the voter's sockets; nil: nothing does

	wrapStore func(raftStore) raftStore // set by tests: puts a slow or full disk under the engine
}

// Voter is a running voter.
type Voter struct {
	options    Options
	log        zerolog.Logger
	raft       *raft.Raft
	state      *stateMachine
	streams    *streamLayer
	boltStore  *raftboltdb.BoltStore
	logStore   *retryingStore // boltStore, as the engine uses it
	startedAt  time.Time      // origin of the monotonic clock
	shutdown   chan struct{}  // closed by Close
	goroutines sync.WaitGroup // all that Start and acceptConnections have started

	mu           sync.Mutex  // guards the fields below
	clock        lease.Clock // of this voter's raft term as the leader; RaftTerm 0: none
	connections  int         // open, of clients and of other voters' first bytes
	wantedVoters voterSet
}

// Start opens the log in Dir and takes part from then on. The first start of a set of voters bootstraps it; later ones go on
// from the log. Errors are of the directory, the log or the address. The caller owes Close.
func Start(o Options) (*Voter, error) {
	listener, err := net.Listen("tcp", o.ListenAddr)
	if err != nil {
		return nil, fmt.Errorf("consensus: listen: %w", err)
	}
	if o.OnDocumentsChanged == nil {
		o.OnDocumentsChanged = func(replication.Snapshot) {}
	}
	v := &Voter{
		options:   o,
		log:       o.Log,
		state:     &stateMachine{lessor: lease.Lessor{MaxClockDrift: o.MaxClockDrift}, onDocumentsChanged: o.OnDocumentsChanged},
		startedAt: time.Now(),
		shutdown:  make(chan struct{}),
	}
	v.streams = newStreamLayer(listener, v.shutdown, o.Traffic)
	if err := v.startRaft(); err != nil {
		_ = listener.Close()
		if v.boltStore != nil {
			_ = v.boltStore.Close()
		}
		return nil, fmt.Errorf("consensus: start: %w", err)
	}
	v.SetVoters(o.VotersRevision, o.Voters)
	v.goroutines.Go(v.acceptConnections)
	v.goroutines.Go(v.followLeadership)
	v.goroutines.Go(v.reconcileVoters)
	return v, nil
}

// Addr is the address that the voter listens on.
func (v *Voter) Addr() string { return v.streams.listener.Addr().String() }

// LogWriteFailed reports whether the last write to the voter's log failed.
func (v *Voter) LogWriteFailed() bool { return v.logStore.WriteFailed() }

// Close ends the voter's part in the set until the next Start, and waits for its goroutines.
func (v *Voter) Close() {
	close(v.shutdown)
	_ = v.raft.Shutdown().Error()
	_ = v.streams.listener.Close()
	v.goroutines.Wait()
	_ = v.boltStore.Close()
}

// waitUnlessClosed waits for a duration, and reports false at once when shutdown is closed.
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

// monotonicNow is the time since the voter started.
func (v *Voter) monotonicNow() time.Duration { return time.Since(v.startedAt) }
