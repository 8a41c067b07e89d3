package consensus

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// fullStore fails every write while it is full.
type fullStore struct {
	*raft.InmemStore
	mu   sync.Mutex
	full bool
}

var errFull = errors.New("no space left")

func (f *fullStore) setFull(full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full = full
}

func (f *fullStore) writeError() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full {
		return errFull
	}
	return nil
}

func (f *fullStore) StoreLogs(l []*raft.Log) error {
	return errors.Join(f.writeError(), f.InmemStore.StoreLogs(l))
}

func (f *fullStore) SetUint64(key []byte, val uint64) error {
	if err := f.writeError(); err != nil {
		return err
	}
	return f.InmemStore.SetUint64(key, val)
}

// A raft term waits for the disk and never goes back; a vote and a log fail at once; after the shutdown nothing waits.
func TestRetryingStoreOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fullStore{InmemStore: raft.NewInmemStore()}
		var logged bytes.Buffer
		shutdown := make(chan struct{})
		d := &retryingStore{raftStore: inner, shutdown: shutdown, log: zerolog.New(&logged)}
		if err := errors.Join(d.SetUint64(currentTermKey, 3), d.StoreLogs([]*raft.Log{{Index: 1}})); err != nil {
			t.Fatal(err)
		}
		inner.setFull(true)
		if err := d.StoreLogs([]*raft.Log{{Index: 2}}); !errors.Is(err, errFull) || !d.WriteFailed() {
			t.Error(err)
		}
		if err := d.SetUint64([]byte("LastVoteTerm"), 4); !errors.Is(err, errFull) {
			t.Error("a vote:", err)
		}
		wrote := make(chan uint64, 9)
		for _, term := range []uint64{5, 4} { // of the engine, and of a heartbeat that is late
			go func() {
				if err := d.SetUint64(currentTermKey, term); err != nil {
					t.Error(err)
				}
				wrote <- term
			}()
			synctest.Wait()
		}
		time.Sleep(time.Minute)
		if len(wrote) > 0 {
			t.Errorf("%d terms were taken on a full disk", len(wrote))
		}
		inner.setFull(false)
		time.Sleep(time.Second)
		if term, err := d.GetUint64(currentTermKey); term != 5 || err != nil || d.WriteFailed() || len(wrote) != 2 {
			t.Errorf("term %d %v, full %v, %d returned", term, err, d.WriteFailed(), len(wrote))
		}
		inner.setFull(true)
		go func() { _ = d.SetUint64(currentTermKey, 6); wrote <- 6 }()
		synctest.Wait()
		close(shutdown)
		synctest.Wait()
		if len(wrote) != 3 {
			t.Error("a term still waits after the shutdown")
		}
		if bytes.Count(logged.Bytes(), []byte("\n")) != 3 {
			t.Errorf("logged, want 3 lines: %s", &logged)
		}
	})
}

// slowStore delays the first writes to the log.
type slowStore struct {
	raftStore
	delayedWrites atomic.Int32
	delay         time.Duration
}

func (s *slowStore) StoreLogs(l []*raft.Log) error {
	if s.delayedWrites.Add(-1) >= 0 {
		time.Sleep(s.delay)
	}
	return s.raftStore.StoreLogs(l)
}

// A leader whose disk takes longer over its first entries than an election lasts starts its clock all the same: without it
// there would be a leader that answers nobody, for good.
func TestLeaderOnSlowDisk(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	slow := &slowStore{delay: 3 * electionTimeout}
	slow.delayedWrites.Store(1)
	s, err := Start(Options{Name: "s", ListenAddr: addr, Dir: t.TempDir(), Voters: []Peer{{"s", addr}}, ElectionTimeout: electionTimeout,
		wrapStore: func(inner raftStore) raftStore { slow.raftStore = inner; return slow }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := &Client{Holder: "a", Voters: []Peer{{"s", addr}}, Timeout: 3 * electionTimeout}
	defer c.Close()
	acquire(t, c, time.Minute)
}
