package consensus

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// raftStore is where the engine keeps its log, its term and its vote.
type raftStore interface {
	raft.LogStore
	raft.StableStore
}

// retryingStore is a store that may fill up. The engine bears a log or a vote that can't be written: a leader gives its office up, a
// follower acknowledges nothing, nobody gets the vote. A term that can't be written it answers with a panic, which would end the
// pooler; here the engine waits instead, and so stands for no office and follows no newer leader until the disk takes the term.
// It is safe for use by several goroutines.
type retryingStore struct {
	raftStore
	log      func(string)
	shutdown <-chan struct{}

	mu          sync.Mutex
	writeFailed bool       // the last write failed
	termMu      sync.Mutex // held while a term is written
	lastTerm    uint64     // the newest term written; guarded by term
}

// termRetryInterval is how long after a term that could not be written it is tried again.
const termRetryInterval = 100 * time.Millisecond

// currentTermKey is the engine's name for its term.
var currentTermKey = []byte("CurrentTerm")

// observeWrite notes how a write went, and says so when that changes.
func (d *retryingStore) observeWrite(err error) error {
	d.mu.Lock()
	was := d.writeFailed
	d.writeFailed = err != nil
	d.mu.Unlock()
	switch {
	case err != nil && !was:
		d.log(fmt.Sprintf("steward: the log can't be written; this steward leads and votes no more until it can: %v", err))
	case err == nil && was:
		d.log("steward: the log can be written again")
	}
	return err
}

// WriteFailed tells whether the last write failed.
func (d *retryingStore) WriteFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writeFailed
}

func (d *retryingStore) StoreLog(l *raft.Log) error { return d.observeWrite(d.raftStore.StoreLog(l)) }
func (d *retryingStore) StoreLogs(l []*raft.Log) error {
	return d.observeWrite(d.raftStore.StoreLogs(l))
}
func (d *retryingStore) DeleteRange(least, most uint64) error {
	return d.observeWrite(d.raftStore.DeleteRange(least, most))
}
func (d *retryingStore) Set(key []byte, value []byte) error {
	return d.observeWrite(d.raftStore.Set(key, value))
}
func (d *retryingStore) SetUint64(key []byte, val uint64) error {
	if !bytes.Equal(key, currentTermKey) {
		return d.observeWrite(d.raftStore.SetUint64(key, val))
	}
	return d.setTerm(val)
}

// setTerm writes a term, however long that takes. Several may wait, of the engine's main goroutine and of heartbeats: an older
// one never takes a newer one's place. At the end it gives up without an error: the engine only ends, and a term that is not on
// the disk was given no vote in.
func (d *retryingStore) setTerm(term uint64) error {
	for d.writeTerm(term) != nil {
		select {
		case <-d.shutdown:
			return nil
		case <-time.After(termRetryInterval):
		}
	}
	return nil
}

func (d *retryingStore) writeTerm(term uint64) error {
	d.termMu.Lock()
	defer d.termMu.Unlock()
	if term <= d.lastTerm {
		return nil
	}
	err := d.observeWrite(d.raftStore.SetUint64(currentTermKey, term))
	if err == nil {
		d.lastTerm = term
	}
	return err
}
