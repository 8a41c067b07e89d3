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

// fullStore is a raftStore whose writes fail while it is full.
type fullStore struct {
	*raft.InmemStore
	mu   sync.Mutex
	full bool
}

var errFull = errors.New("no space left")

func (s *fullStore) setFull(full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full = full
}

func (s *fullStore) writeError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.full {
		return errFull
	}
	return nil
}

func (s *fullStore) StoreLogs(logs []*raft.Log) error {
	return errors.Join(s.writeError(), s.InmemStore.StoreLogs(logs))
}

func (s *fullStore) SetUint64(key []byte, value uint64) error {
	if err := s.writeError(); err != nil {
		return err
	}
	return s.InmemStore.SetUint64(key, value)
}

// On a full disk a write of the raft term blocks until it succeeds or the voter shuts down, and an older term never replaces a newer
// one. Writes of votes and log entries fail at once.
func TestRetryingStoreOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &fullStore{InmemStore: raft.NewInmemStore()}
		var logged bytes.Buffer
		shutdown := make(chan struct{})
		store := &retryingStore{raftStore: inner, shutdown: shutdown, log: zerolog.New(&logged)}
		if err := errors.Join(store.SetUint64(currentTermKey, 3), store.StoreLogs([]*raft.Log{{Index: 1}})); err != nil {
			t.Fatal(err)
		}
		inner.setFull(true)
		if err := store.StoreLogs([]*raft.Log{{Index: 2}}); !errors.Is(err, errFull) || !store.WriteFailed() {
			t.Error(err)
		}
		if err := store.SetUint64([]byte("LastVoteTerm"), 4); !errors.Is(err, errFull) {
			t.Error("write of a vote on a full disk:", err)
		}
		written := make(chan uint64, 9)
		for _, term := range []uint64{5, 4} { // the older one stands for a delayed heartbeat
			go func() {
				if err := store.SetUint64(currentTermKey, term); err != nil {
					t.Error(err)
				}
				written <- term
			}()
			synctest.Wait()
		}
		time.Sleep(time.Minute)
		if len(written) > 0 {
			t.Errorf("%d writes of a term returned on a full disk", len(written))
		}
		inner.setFull(false)
		time.Sleep(time.Second)
		if term, err := store.GetUint64(currentTermKey); term != 5 || err != nil || store.WriteFailed() || len(written) != 2 {
			t.Errorf("term %d, error %v, write failed %v, %d writes returned", term, err, store.WriteFailed(), len(written))
		}
		inner.setFull(true)
		go func() { _ = store.SetUint64(currentTermKey, 6); written <- 6 }()
		synctest.Wait()
		close(shutdown)
		synctest.Wait()
		if len(written) != 3 {
			t.Error("a write of a term did not return after the shutdown")
		}
		if bytes.Count(logged.Bytes(), []byte("\n")) != 3 {
			t.Errorf("got log %s, want 3 lines", &logged)
		}
	})
}

// slowStore is a raftStore that delays the first delayedWrites writes to the log.
type slowStore struct {
	raftStore
	delayedWrites atomic.Int32
	delay         time.Duration
}

func (s *slowStore) StoreLogs(logs []*raft.Log) error {
	if s.delayedWrites.Add(-1) >= 0 {
		time.Sleep(s.delay)
	}
	return s.raftStore.StoreLogs(logs)
}

// A leader starts its clock even if the disk takes longer than the election timeout to write its first entries. Otherwise it would stay
// the leader and reject all requests.
func TestLeaderOnSlowDisk(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	slow := &slowStore{delay: 3 * electionTimeout}
	slow.delayedWrites.Store(1)
	voter, err := Start(Options{Name: "s", ListenAddr: addr, Dir: t.TempDir(), Voters: []Peer{{"s", addr}}, ElectionTimeout: electionTimeout,
		wrapStore: func(inner raftStore) raftStore { slow.raftStore = inner; return slow }})
	if err != nil {
		t.Fatal(err)
	}
	defer voter.Close()
	client := &Client{Holder: "a", Voters: []Peer{{"s", addr}}, Timeout: 3 * electionTimeout}
	defer client.Close()
	acquire(t, client, time.Minute)
}
