package consensus

import (
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// command is an entry of the log: a lease's, or with Put a document's, stamped like a lease's. Entries written before there
// were documents have no Put.
type command struct {
	lease.Command
	Put *replication.Write `json:"Put,omitempty"`
}

// stateMachine is the leases and the documents as the raft engine's state machine (raft.FSM). The engine applies entries on
// one goroutine of its own; the other methods are for any goroutine.
type stateMachine struct {
	onDocumentsChanged func(replication.Snapshot) // not nil; called with mu held

	mu        sync.Mutex // guards the fields below
	lessor    lease.Lessor
	documents replication.DocumentTable
}

var _ raft.FSM = (*stateMachine)(nil)

const (
	errorUnreadableCommand = "unreadable command in the log: "
	errorOtherRaftTerm     = "stamped in another term of office"
)

// Apply implements raft.FSM. The result is a response, the same at every voter.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return response{Error: errorUnreadableCommand + err.Error()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Put != nil {
		return m.applyPut(c, entry.Index, entry.Term)
	}
	granted, ok := m.lessor.Apply(c.Command, entry.Index, entry.Term)
	if !ok && granted.Holder == "" && !c.Release {
		return response{Lease: granted, Error: errorOtherRaftTerm}
	}
	return response{OK: ok, Lease: granted}
}

// applyPut applies a document's write. The caller holds mu.
func (m *stateMachine) applyPut(c command, index, raftTerm uint64) response {
	if !m.lessor.AdvanceTime(c.Now, c.RaftTerm, raftTerm) {
		return response{Error: errorOtherRaftTerm}
	}
	version, err := m.documents.Apply(*c.Put, index, &m.lessor)
	if err != nil {
		return response{Refused: refusalName(err), Reason: err.Error()}
	}
	m.onDocumentsChanged(m.documents.Snapshot())
	return response{OK: true, Version: version}
}

// startClock is lease.Lessor.StartClock.
func (m *stateMachine) startClock(raftTerm uint64, monotonic time.Duration) lease.Clock {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lessor.StartClock(raftTerm, monotonic)
}

// wouldDeny is lease.Lessor.WouldDeny.
func (m *stateMachine) wouldDeny(name lease.Name, holder string, now time.Duration) (current lease.Lease, denied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lessor.WouldDeny(name, holder, now)
}

// document is a document as applied here; its Version is 0 if there is none.
func (m *stateMachine) document(key string) replication.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.documents.Get(key)
}

// documentsVersion is the log index of the last write that was taken.
func (m *stateMachine) documentsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.documents.Version()
}

// documentsSince returns all documents if they are newer than a version.
func (m *stateMachine) documentsSince(version uint64) (snapshot replication.Snapshot, newer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.documents.Version() <= version {
		return replication.Snapshot{}, false
	}
	return m.documents.Snapshot(), true
}

// snapshotState is a snapshot. One written before there were documents is a lease.Lessor's alone, without these keys.
type snapshotState struct {
	Leases    json.RawMessage `json:"table"`
	Documents json.RawMessage `json:"docs"`
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leases, leasesErr := m.lessor.MarshalJSON()
	documents, documentsErr := m.documents.MarshalJSON()
	if err := errors.Join(leasesErr, documentsErr); err != nil {
		return nil, err
	}
	text, err := json.Marshal(snapshotState{Leases: leases, Documents: documents})
	return encodedSnapshot(text), err
}

// maxSnapshotBytes is above what documents and leases take at their most, as JSON.
const maxSnapshotBytes = 1 << 24

// Restore implements raft.FSM. It takes over the whole snapshot or nothing of it.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return err
	}
	var encoded snapshotState
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	if encoded.Leases == nil {
		encoded = snapshotState{Leases: text, Documents: json.RawMessage("null")}
	}
	var lessor lease.Lessor
	var documents replication.DocumentTable
	if err := errors.Join(lessor.UnmarshalJSON(encoded.Leases), documents.UnmarshalJSON(encoded.Documents)); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	lessor.MaxClockDrift = m.lessor.MaxClockDrift
	m.lessor = lessor
	m.documents = documents
	m.onDocumentsChanged(m.documents.Snapshot())
	return nil
}

// encodedSnapshot is a snapshot's JSON; it implements raft.FSMSnapshot.
type encodedSnapshot []byte

// Persist implements raft.FSMSnapshot.
func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (encodedSnapshot) Release() {}
