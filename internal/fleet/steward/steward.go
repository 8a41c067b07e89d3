// Package steward runs the lease table of the fleet on a consensus engine: three or five stewards named in the operators'
// file keep it by hashicorp/raft, with a durable log and snapshots. Any pooler asks any steward; only the leader answers
// with a lease, the others with its name. What a lease is, and when it passes on, is decided by package lease.
package steward

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
)

// Peer is a steward, by its pooler's name and the address at which it is reached from here.
type Peer struct{ Name, Addr string }

// Options of a steward. Stewards names all of them, itself among them, and is the same set at each; addresses may differ.
type Options struct {
	Name     string
	Listen   string // TCP, for stewards and for those that ask
	Dir      string // of its log and snapshots; it outlives the process
	Stewards []Peer
	Drift    time.Duration // lease.Table.Drift
	// Election is how long a steward hears nothing of the leader before it stands for election. The leader gives its own
	// office up when it has reached no majority for as long.
	Election time.Duration
	Log      func(string) // nil: nowhere
}

const (
	maxLine     = 4 << 10 // of a request or answer
	maxCallers  = 1024    // connections of those that ask, at once: the largest fleet, and restarts
	callerIdle  = time.Minute
	keptLogs    = 256              // entries kept behind a snapshot, for stewards that lag
	snapshotAt  = 1024             // entries: a renewal is one, and the table is small
	snapshotDue = 30 * time.Second // how often it is looked whether so many have come
	dialTimeout = time.Second
)

// The first byte of a connection tells who calls.
const (
	callRaft  = 'R'
	callLease = 'L'
)

// ask is what a pooler asks, one JSON line; answer is the answer, one line too.
type ask struct {
	Release bool          `json:"release,omitempty"`
	Duty    lease.Duty    `json:"duty"`
	Holder  string        `json:"holder"`
	Term    time.Duration `json:"term_ns"`
}

type answer struct {
	OK     bool        `json:"ok"`
	Grant  lease.Grant `json:"grant"`
	Leader string      `json:"leader,omitempty"` // ask that one; this one is not it
	Error  string      `json:"error,omitempty"`
}

// Steward is one running.
type Steward struct {
	o      Options
	raft   *raft.Raft
	table  *table
	layer  *layer
	store  *raftboltdb.BoltStore
	start  time.Time
	ending chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	clock   lease.Clock // of this steward's office as leader; Epoch 0: none
	callers int
}

// Start opens the log in Dir and takes part from then on. The first start of a set of stewards founds it; later ones go on
// from the log. Errors are of the folder, the log or the address.
func Start(o Options) (*Steward, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, fmt.Errorf("steward: %w", err)
	}
	s := &Steward{o: o, table: &table{Table: lease.Table{Drift: o.Drift}}, start: time.Now(), ending: make(chan struct{})}
	s.layer = &layer{ln: ln, addrs: map[raft.ServerAddress]string{}, calls: make(chan net.Conn), ending: s.ending}
	if err := s.found(); err != nil {
		_ = ln.Close()
		if s.store != nil {
			_ = s.store.Close()
		}
		return nil, fmt.Errorf("steward: %w", err)
	}
	s.done.Go(s.accept)
	s.done.Go(s.office)
	return s, nil
}

// Addr is where it listens.
func (s *Steward) Addr() string { return s.layer.ln.Addr().String() }

// found sets the engine up.
func (s *Steward) found() error {
	var members raft.Configuration
	for _, p := range s.o.Stewards {
		// The engine knows stewards by name alone; where each is reached is this one's own affair (layer.Dial).
		members.Servers = append(members.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
		s.layer.addrs[raft.ServerAddress(p.Name)] = p.Addr
	}
	var err error
	if s.store, err = raftboltdb.NewBoltStore(filepath.Join(s.o.Dir, "raft.db")); err != nil {
		return err
	}
	snaps, err := raft.NewFileSnapshotStore(s.o.Dir, 2, io.Discard)
	if err != nil {
		return err
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(s.o.Name)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout = s.o.Election, s.o.Election, s.o.Election
	c.CommitTimeout = s.o.Election / 10
	c.SnapshotThreshold, c.SnapshotInterval, c.TrailingLogs = snapshotAt, snapshotDue, keptLogs
	c.Logger = hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: lines(s.say), DisableTime: true})
	known, err := raft.HasExistingState(s.store, s.store, snaps)
	if err != nil {
		return err
	}
	transport := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{Stream: s.layer, MaxPool: 2, Timeout: dialTimeout,
		Logger: c.Logger})
	if !known {
		if err := raft.BootstrapCluster(c, s.store, s.store, snaps, transport, members); err != nil {
			return err
		}
	}
	s.raft, err = raft.NewRaft(c, s.table, s.store, s.store, snaps, transport)
	return err
}

func (s *Steward) say(line string) {
	if s.o.Log != nil {
		s.o.Log(line)
	}
}

// lines gives a writer's lines to a function.
type lines func(string)

func (l lines) Write(b []byte) (int, error) {
	l(string(b[:max(len(b)-1, 0)]))
	return len(b), nil
}

// Close leaves office, and the set until the next start.
func (s *Steward) Close() {
	close(s.ending)
	_ = s.raft.Shutdown().Error()
	_ = s.layer.ln.Close()
	s.done.Wait()
	_ = s.store.Close()
}

func (s *Steward) mono() time.Duration { return time.Since(s.start) }

// office follows this steward's terms of office: a clock is set once all that came before has been applied.
func (s *Steward) office() {
	for {
		select {
		case <-s.ending:
			return
		case leads := <-s.raft.LeaderCh():
			s.mu.Lock()
			s.clock = lease.Clock{}
			s.mu.Unlock()
			if !leads {
				continue
			}
			epoch := s.raft.CurrentTerm()
			if err := s.raft.Barrier(s.o.Election).Error(); err != nil {
				continue // it has lost its office again
			}
			s.table.mu.Lock()
			clock := s.table.Lead(epoch, s.mono())
			s.table.mu.Unlock()
			s.mu.Lock()
			s.clock = clock
			s.mu.Unlock()
			s.say(fmt.Sprintf("steward %s leads in term %d", s.o.Name, epoch))
		}
	}
}

// propose has the stewards decide.
func (s *Steward) propose(a ask) answer {
	s.mu.Lock()
	clock := s.clock
	s.mu.Unlock()
	if s.raft.State() != raft.Leader || clock.Epoch == 0 || clock.Epoch != s.raft.CurrentTerm() {
		_, leader := s.raft.LeaderWithID()
		if string(leader) == s.o.Name {
			leader = "" // just come to office, or just out of it
		}
		return answer{Leader: string(leader), Error: "not the leader"}
	}
	c := lease.Command{Release: a.Release, Duty: a.Duty, Holder: a.Holder, Term: a.Term, Now: clock.At(s.mono()), Epoch: clock.Epoch}
	text, err := json.Marshal(c)
	if err != nil {
		return answer{Error: err.Error()}
	}
	f := s.raft.Apply(text, s.o.Election)
	if err := f.Error(); err != nil {
		return answer{Error: err.Error()}
	}
	return f.Response().(answer)
}

// accept sorts callers by their first byte.
func (s *Steward) accept() {
	for {
		c, err := s.layer.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.callers >= maxCallers
		if !full {
			s.callers++
		}
		s.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		go s.greet(c)
	}
}

func (s *Steward) greet(c net.Conn) {
	defer func() {
		s.mu.Lock()
		s.callers--
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
	case callRaft:
		select {
		case s.layer.calls <- c: // the engine's from here on
		case <-s.ending:
			_ = c.Close()
		}
	case callLease:
		s.serve(c)
	default:
		_ = c.Close()
	}
}

// serve answers one pooler's asks in turn, until it leaves, says something else, or says nothing for a while.
func (s *Steward) serve(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.ending:
			_ = c.Close()
		case <-stop:
		}
	}()
	in := bufio.NewReaderSize(c, maxLine)
	for {
		_ = c.SetDeadline(time.Now().Add(callerIdle))
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		var a ask
		var out answer
		if err := json.Unmarshal(line, &a); err != nil {
			out.Error = "unreadable: " + err.Error()
		} else if a.Duty == "" || a.Holder == "" || a.Term <= 0 && !a.Release {
			out.Error = "duty, holder or term_ns is missing"
		} else {
			out = s.propose(a)
		}
		text, err := json.Marshal(out)
		if err != nil {
			return
		}
		if _, err := c.Write(append(text, '\n')); err != nil {
			return
		}
	}
}

// layer is the engine's network: it dials stewards by name, at the addresses known here.
type layer struct {
	ln     net.Listener
	addrs  map[raft.ServerAddress]string
	calls  chan net.Conn
	ending chan struct{}
}

func (l *layer) Accept() (net.Conn, error) {
	select {
	case c := <-l.calls:
		return c, nil
	case <-l.ending:
		return nil, net.ErrClosed
	}
}

func (l *layer) Close() error   { return nil } // the listener is the steward's
func (l *layer) Addr() net.Addr { return l.ln.Addr() }

func (l *layer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	addr, ok := l.addrs[name]
	if !ok {
		return nil, fmt.Errorf("no steward is named %q", name)
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{callRaft}); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// table is lease.Table as the engine's state machine.
type table struct {
	mu sync.Mutex // between the engine's goroutine and office
	lease.Table
}

func (t *table) Apply(l *raft.Log) any {
	var c lease.Command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return answer{Error: "unreadable command in the log: " + err.Error()} // the same at every steward
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.Table.Apply(c, l.Index, l.Term)
	if !ok && g.Holder == "" && !c.Release {
		return answer{Grant: g, Error: "stamped in another term of office"}
	}
	return answer{OK: ok, Grant: g}
}

func (t *table) Snapshot() (raft.FSMSnapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, err := t.MarshalJSON()
	return snapshot(text), err
}

func (t *table) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, 1<<24))
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.UnmarshalJSON(text)
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}
