package consensus

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// raftStore stores the raft engine's log, current term and vote.
type raftStore interface {
	raft.LogStore
	raft.StableStore
}

// retryingStore is a raftStore that retries failed writes of the raft term, for example on a full disk. The raft engine copes
// with a failed write of a log entry or a vote: a leader steps down, a follower does not acknowledge the entry, and a voter does
// not grant the vote. After a failed write of the term it panics, which would end the pooler. The retries block the engine
// instead: until the write succeeds, the voter neither stands for election nor follows a leader of a newer term. A retryingStore
// is safe for concurrent use.
type retryingStore struct {
	raftStore
	log      zerolog.Logger
	shutdown <-chan struct{}

	mu          sync.Mutex // guards writeFailed
	writeFailed bool       // whether the last write failed

	termMu   sync.Mutex // guards lastTerm; held while a term is written
	lastTerm uint64     // newest raft term written
}

// termRetryInterval is the delay between attempts to write a raft term.
const termRetryInterval = 100 * time.Millisecond

// currentTermKey is the key under which the raft engine stores its current term.
var currentTermKey = []byte("CurrentTerm")

// WriteFailed reports whether the last write failed.
func (s *retryingStore) WriteFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeFailed
}

// StoreLog implements raft.LogStore.
func (s *retryingStore) StoreLog(l *raft.Log) error { return s.recordWrite(s.raftStore.StoreLog(l)) }

// StoreLogs implements raft.LogStore.
func (s *retryingStore) StoreLogs(logs []*raft.Log) error {
	return s.recordWrite(s.raftStore.StoreLogs(logs))
}

// DeleteRange implements raft.LogStore.
func (s *retryingStore) DeleteRange(first, last uint64) error {
	return s.recordWrite(s.raftStore.DeleteRange(first, last))
}

// Set implements raft.StableStore.
func (s *retryingStore) Set(key, value []byte) error {
	return s.recordWrite(s.raftStore.Set(key, value))
}

// SetUint64 implements raft.StableStore. A write of the current term is retried until it succeeds or the voter shuts down.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	if bytes.Equal(key, currentTermKey) {
		return s.setTerm(value)
	}
	return s.recordWrite(s.raftStore.SetUint64(key, value))
}

// recordWrite records whether a write failed, logs if that has changed since the previous write, and returns err.
func (s *retryingStore) recordWrite(err error) error {
	s.mu.Lock()
	failedBefore := s.writeFailed
	s.writeFailed = err != nil
	s.mu.Unlock()
	switch {
	case err != nil && !failedBefore:
		s.log.Warn().Err(err).Msg("voter: log can't be written; this voter neither leads nor votes until a write succeeds")
	case err == nil && failedBefore:
		s.log.Warn().Msg("voter: log can be written again")
	}
	return err
}

// setTerm writes a raft term and retries until it succeeds or the voter shuts down. Several calls may be waiting at once, from
// the engine's main goroutine and from its heartbeat handlers; writeTerm ensures that an older term never replaces a newer one.
// At shutdown setTerm returns nil for a term that was not written. That is safe, since the engine does nothing more than shut
// down and has cast no vote in that term.
func (s *retryingStore) setTerm(term uint64) error {
	for s.writeTerm(term) != nil {
		if !waitUnlessClosed(s.shutdown, termRetryInterval) {
			return nil
		}
	}
	return nil
}

// writeTerm makes one attempt to write a raft term. A term that is not newer than the last one written is ignored.
func (s *retryingStore) writeTerm(term uint64) error {
	s.termMu.Lock()
	defer s.termMu.Unlock()
	if term <= s.lastTerm {
		return nil
	}
	if err := s.recordWrite(s.raftStore.SetUint64(currentTermKey, term)); err != nil {
		return err
	}
	s.lastTerm = term
	return nil
}
