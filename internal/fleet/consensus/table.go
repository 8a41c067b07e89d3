package consensus

import (
	"encoding/json"
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// command is an entry of the log: a lease's, or with Put a document's, stamped like one. Entries from before there were
// documents have none.
type command struct {
	lease.Command
	Put *replication.Write `json:"Put,omitempty"`
}

// stateMachine is the leases and the documents as the engine's state machine.
type stateMachine struct {
	onDocumentsChanged func(replication.Snapshot) // not nil; called with the lock

	mu        sync.Mutex // between the engine's goroutine, office and those that read
	lessor    lease.Lessor
	documents replication.DocumentTable
}

func (t *stateMachine) Apply(l *raft.Log) any {
	var c command
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return response{Error: "unreadable command in the log: " + err.Error()} // the same at every steward
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.Put != nil {
		return t.applyPut(c, l.Index, l.Term)
	}
	g, ok := t.lessor.Apply(c.Command, l.Index, l.Term)
	if !ok && g.Holder == "" && !c.Release {
		return response{Lease: g, Error: "stamped in another term of office"}
	}
	return response{OK: ok, Lease: g}
}

// applyPut applies a document's write. The caller has the lock.
func (t *stateMachine) applyPut(c command, index, epoch uint64) response {
	if !t.lessor.AdvanceTime(c.Now, c.RaftTerm, epoch) {
		return response{Error: "stamped in another term of office"}
	}
	version, err := t.documents.Apply(*c.Put, index, &t.lessor)
	if err != nil {
		return response{Refused: refusalName(err), Reason: err.Error()}
	}
	t.onDocumentsChanged(t.documents.Snapshot())
	return response{OK: true, Version: version}
}

// snapshotState is a snapshot. One from before there were documents is a lease.Table's alone, without these keys.
type snapshotState struct {
	Leases    json.RawMessage `json:"table"`
	Documents json.RawMessage `json:"docs"`
}

func (t *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var k snapshotState
	var err, derr error
	k.Leases, err = t.lessor.MarshalJSON()
	k.Documents, derr = t.documents.MarshalJSON()
	if err = errors.Join(err, derr); err != nil {
		return nil, err
	}
	text, err := json.Marshal(k)
	return encodedSnapshot(text), err
}

// maxSnapshotBytes is above what documents and leases take at their most, as JSON.
const maxSnapshotBytes = 1 << 24

// Restore takes a snapshot over, whole or not at all.
func (t *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return err
	}
	var k snapshotState
	if err := json.Unmarshal(text, &k); err != nil {
		return err
	}
	if k.Leases == nil {
		k = snapshotState{Leases: text, Documents: json.RawMessage("null")}
	}
	var leases lease.Lessor
	var docs replication.DocumentTable
	if err := errors.Join(leases.UnmarshalJSON(k.Leases), docs.UnmarshalJSON(k.Documents)); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	leases.MaxClockDrift = t.lessor.MaxClockDrift
	t.lessor, t.documents = leases, docs
	t.onDocumentsChanged(t.documents.Snapshot())
	return nil
}

type encodedSnapshot []byte

func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (encodedSnapshot) Release() {}
