package consensus

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// raftStore is where the raft engine keeps its log, its term and its vote.
type raftStore interface {
	raft.LogStore
	raft.StableStore
}

// retryingStore is a raftStore on a disk that may fill up. The engine handles a log or a vote that can't be written: a leader
// steps down, a follower acknowledges nothing, nobody gets the vote. A raft term that can't be written it answers with a panic,
// which would end the pooler; here the engine waits instead, and so stands for no election and follows no newer leader until
// the disk takes the term. It is safe for use by several goroutines.
type retryingStore struct {
	raftStore
	log      zerolog.Logger
	shutdown <-chan struct{}

	mu          sync.Mutex // guards writeFailed
	writeFailed bool       // the last write failed

	termMu   sync.Mutex // guards lastTerm, and is held while a term is written
	lastTerm uint64     // the newest raft term written
}

// termRetryInterval is how long after a raft term that could not be written the write is tried again.
const termRetryInterval = 100 * time.Millisecond

// currentTermKey is the engine's key of its raft term.
var currentTermKey = []byte("CurrentTerm")

// WriteFailed reports whether the last write failed.
func (s *retryingStore) WriteFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeFailed
}

// StoreLog implements raft.LogStore.
func (s *retryingStore) StoreLog(l *raft.Log) error { return s.observeWrite(s.raftStore.StoreLog(l)) }

// StoreLogs implements raft.LogStore.
func (s *retryingStore) StoreLogs(l []*raft.Log) error {
	return s.observeWrite(s.raftStore.StoreLogs(l))
}

// DeleteRange implements raft.LogStore.
func (s *retryingStore) DeleteRange(first, last uint64) error {
	return s.observeWrite(s.raftStore.DeleteRange(first, last))
}

// Set implements raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	return s.observeWrite(s.raftStore.Set(key, value))
}

// SetUint64 implements raft.StableStore.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	if bytes.Equal(key, currentTermKey) {
		return s.setTerm(value)
	}
	return s.observeWrite(s.raftStore.SetUint64(key, value))
}

// observeWrite notes the result of a write, and logs when it differs from that of the write before.
func (s *retryingStore) observeWrite(err error) error {
	s.mu.Lock()
	failedBefore := s.writeFailed
	s.writeFailed = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		s.log.Warn().Err(err).Msg("voter: log can't be written, this voter neither leads nor votes until it can")
	case err == nil && failedBefore:
		s.log.Warn().Msg("voter: log can be written again")
	}
	return err
}

// setTerm writes a raft term, however long that takes. Several calls may wait, of the engine's main goroutine and of
// heartbeats: an older term never replaces a newer one. At shutdown it gives up without an error: the engine only ends, and no
// vote was given in a term that is not on the disk.
func (s *retryingStore) setTerm(term uint64) error {
	for s.writeTerm(term) != nil {
		if !waitUnlessClosed(s.shutdown, termRetryInterval) {
			return nil
		}
	}
	return nil
}

// writeTerm tries to write a raft term once, unless it is older than the newest written.
func (s *retryingStore) writeTerm(term uint64) error {
	s.termMu.Lock()
	defer s.termMu.Unlock()
	if term <= s.lastTerm {
		return nil
	}
	if err := s.observeWrite(s.raftStore.SetUint64(currentTermKey, term)); err != nil {
		return err
	}
	s.lastTerm = term
	return nil
}
