// Package steward runs the lease table of the fleet and its shared documents on a consensus engine: three or five stewards named
// in the operators' file keep them by hashicorp/raft, with a durable log and snapshots. Any pooler asks any steward; only the
// leader answers with a lease or a write, the others with its name. What a lease is, and when it passes on, is decided by package
// lease; which write is taken, by package shared.
package consensus

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// Peer is a steward, by its pooler's name and the address at which it is reached from here.
type Peer struct{ Name, Addr string }

// Options of a steward. Stewards names all of them, itself among them, and is the same set at each; addresses may differ.
type Options struct {
	Name           string
	ListenAddr     string // TCP, for stewards and for those that ask
	Dir            string // of its log and snapshots; it outlives the process
	Voters         []Peer
	VotersRevision uint64        // of the file that names them: as in Steward.Reform
	Join           bool          // it joins a set that there is already: it founds none
	MaxClockDrift  time.Duration // lease.Table.Drift
	// ElectionTimeout is how long a steward hears nothing of the leader before it stands for election. The leader gives its own
	// office up when it has reached no majority for as long.
	ElectionTimeout time.Duration
	Log             func(string) // nil: nowhere
	// OnDocumentsChanged takes the documents after each change in the log as this steward has applied it, newer each time but for a
	// restore from a leader's snapshot, and must not wait; nil: nobody.
	OnDocumentsChanged func(replication.Snapshot)
	Traffic            *traffic.Counter // counts what goes and comes at its sockets; nil: nothing does

	wrapStore func(raftStore) raftStore // of tests: puts a slow or full disk under the engine
}

const (
	maxRequestBytes   = 128 << 10 // of an ask: a document's largest value, as JSON
	maxResponseBytes  = 8 << 20   // of an answer: all documents, as JSON
	maxConnections    = 2048      // connections of those that ask, at once: the largest fleet, and restarts
	idleTimeout       = time.Minute
	trailingLogs      = 256              // entries kept behind a snapshot, for stewards that lag
	snapshotThreshold = 1024             // entries: a renewal is one, and the table is small
	snapshotInterval  = 30 * time.Second // how often it is looked whether so many have come
	dialTimeout       = time.Second
)

// The first byte of a connection tells who calls.
const (
	connectionRaft   = 'R'
	connectionClient = 'L'
)

// Voter is one running.
type Voter struct {
	options    Options
	raft       *raft.Raft
	state      *stateMachine
	streams    *streamLayer
	boltStore  *raftboltdb.BoltStore
	logStore   *retryingStore // store, as the engine has it
	startedAt  time.Time
	shutdown   chan struct{}
	goroutines sync.WaitGroup

	mu           sync.Mutex
	clock        lease.Clock // of this steward's office as leader; Epoch 0: none
	connections  int
	wantedVoters voterSet
}

// Start opens the log in Dir and takes part from then on. The first start of a set of stewards founds it; later ones go on
// from the log. Errors are of the folder, the log or the address.
func Start(o Options) (*Voter, error) {
	ln, err := net.Listen("tcp", o.ListenAddr)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	if o.OnDocumentsChanged == nil {
		o.OnDocumentsChanged = func(replication.Snapshot) {}
	}
	s := &Voter{options: o, state: &stateMachine{lessor: lease.Lessor{MaxClockDrift: o.MaxClockDrift}, onDocumentsChanged: o.OnDocumentsChanged}, startedAt: time.Now(), shutdown: make(chan struct{})}
	s.streams = &streamLayer{listener: ln, addresses: map[raft.ServerAddress]string{}, incoming: make(chan net.Conn), shutdown: s.shutdown, traffic: o.Traffic}
	if err := s.startRaft(); err != nil {
		_ = ln.Close()
		if s.boltStore != nil {
			_ = s.boltStore.Close()
		}
		return nil, fmt.Errorf("steward: %w", err)
	}
	s.goroutines.Go(s.acceptConnections)
	s.SetVoters(o.VotersRevision, o.Voters)
	s.goroutines.Go(s.followLeadership)
	s.goroutines.Go(s.reconcileVoters)
	return s, nil
}

// Addr is where it listens.
func (s *Voter) Addr() string { return s.streams.listener.Addr().String() }

// startRaft sets the engine up.
func (s *Voter) startRaft() error {
	var members raft.Configuration
	for _, p := range s.options.Voters {
		// The engine knows stewards by name alone; where each is reached is this one's own affair (layer.Dial).
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
		s.streams.addresses[raft.ServerAddress(p.Name)] = p.Addr
	}
	var err error
	if s.boltStore, err = raftboltdb.NewBoltStore(filepath.Join(s.options.Dir, "raft.db")); err != nil {
		return err
	}
	s.logStore = &retryingStore{raftStore: s.boltStore, log: s.log, shutdown: s.shutdown}
	if s.options.wrapStore != nil {
		s.logStore.raftStore = s.options.wrapStore(s.logStore.raftStore)
	}
	snaps, err := raft.NewFileSnapshotStore(s.options.Dir, 2, io.Discard)
	if err != nil {
		return err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(s.options.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.options.ElectionTimeout, s.options.ElectionTimeout, s.options.ElectionTimeout
	c.CommitTimeout = s.options.ElectionTimeout / 10
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = snapshotThreshold, snapshotInterval, trailingLogs
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: logWriter(s.log), DisableTime: true})
	known, err := raft.HasExistingState(s.logStore, s.logStore, snaps)
	if err != nil {
		return err
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.streams, MaxPool: 2, Timeout: dialTimeout,
		Logger: c.Logger})
	if !known && !s.options.Join {
		if err := raft.BootstrapCluster(c, s.logStore, s.logStore, snaps, transport, members); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(c, s.state, s.logStore, s.logStore, snaps, transport)
	return err
}

func (s *Voter) log(line string) {
	if s.options.Log != nil {
		s.options.Log(line)
	}
}

// LogWriteFailed tells whether the last write to its log failed.
func (s *Voter) LogWriteFailed() bool { return s.logStore.WriteFailed() }

// logWriter gives a writer's lines to a function.
type logWriter func(string)

func (l logWriter) Write(b []byte) (int, error) {
	l(string(b[:max(len(b)-1, 0)]))
	return len(b), nil
}

// Close leaves office, and the set until the next start.
func (s *Voter) Close() {
	close(s.shutdown)
	_ = s.raft.Shutdown().Error()
	_ = s.streams.listener.Close()
	s.goroutines.Wait()
	_ = s.boltStore.Close()
}

// acceptConnections sorts callers by their first byte.
func (s *Voter) acceptConnections() {
	for {
		c, err := s.streams.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.connections >= maxConnections
		if !full {
			s.connections++
		}
		s.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		go s.routeConnection(c)
	}
}

func (s *Voter) routeConnection(c net.Conn) {
	defer func() {
		s.mu.Lock()
		s.connections--
		s.mu.Unlock()
	}()
	_ = c.SetDeadline(time.Now().Add(dialTimeout))
	var first [1]byte
	if _, err := io.ReadFull(c, first[:]); err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	switch first[0] {
	case connectionRaft:
		select {
		case s.streams.incoming <- s.options.Traffic.Conn(c, trafficKindRaft): // the engine's from here on
		case <-s.shutdown:
			_ = c.Close()
		}
	case connectionClient:
		s.serveClient(c)
	default:
		_ = c.Close()
	}
}

// serveClient answers one pooler's asks in turn, until it leaves, says something else, or says nothing for a while.
func (s *Voter) serveClient(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.shutdown:
			_ = c.Close()
		case <-stop:
		}
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetDeadline(time.Now().Add(idleTimeout))
		line, err := readLine(in, maxRequestBytes)
		if err != nil {
			return
		}
		var a request
		var out response
		if err := json.Unmarshal(line, &a); err != nil {
			out.Error = "unreadable: " + err.Error()
		} else if err := a.validate(); err != nil {
			out.Error = err.Error()
		} else {
			out = s.handle(a)
		}
		text, err := json.Marshal(out)
		if err != nil {
			return
		}
		kind := a.trafficKind()
		s.options.Traffic.In(kind, 1, len(line)+1)
		if _, err := c.Write(append(text, '\n')); err != nil {
			return
		}
		s.options.Traffic.Out(kind, 1, len(text)+1)
	}
}

var errLineTooLong = errors.New("a line is too long")

// readLine reads a line of up to most bytes, its end left out.
func readLine(in *bufio.Reader, most int) (line []byte, err error) {
	for {
		part, err := in.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line[:len(line)-1], nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > most:
			return nil, errLineTooLong
		}
	}
}
