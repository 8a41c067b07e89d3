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

// command is the content of a log entry: a lease command or, if Put is set, a write of a document. For a write only Now and
// RaftTerm of the embedded lease command are used. Entries of builds that had no shared documents lack Put.
type command struct {
	lease.Command
	Put *replication.Write `json:"Put,omitempty"`
}

// stateMachine is the replicated state, the leases and the documents. It implements raft.FSM and is safe for concurrent use;
// the raft engine applies entries on a goroutine of its own.
type stateMachine struct {
	onDocumentsChanged func(replication.Snapshot) // never nil; called with mu held

	mu        sync.Mutex // guards the fields below
	lessor    lease.Lessor
	documents replication.DocumentTable
}

var _ raft.FSM = (*stateMachine)(nil)

const (
	errorUnreadableCommand = "unreadable command in the log: "
	errorOtherRaftTerm     = "stamped in another term of office"
)

// Apply implements raft.FSM. It returns a response, which is the same on every voter.
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

// applyPut applies a write of a document. The caller must hold mu.
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

// startClock calls lease.Lessor.StartClock.
func (m *stateMachine) startClock(raftTerm uint64, monotonic time.Duration) lease.Clock {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lessor.StartClock(raftTerm, monotonic)
}

// wouldDeny calls lease.Lessor.WouldDeny.
func (m *stateMachine) wouldDeny(name lease.Name, holder string, now time.Duration) (current lease.Lease, denied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lessor.WouldDeny(name, holder, now)
}

// document returns the document with the given key. Its Version is 0 if it does not exist.
func (m *stateMachine) document(key string) replication.Document {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.documents.Get(key)
}

// documentsVersion returns the log index of the last write that was accepted.
func (m *stateMachine) documentsVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.documents.Version()
}

// documentsSince returns all documents if their version is newer than the given one.
func (m *stateMachine) documentsSince(version uint64) (snapshot replication.Snapshot, newer bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.documents.Version() <= version {
		return replication.Snapshot{}, false
	}
	return m.documents.Snapshot(), true
}

// snapshotState is the JSON form of a snapshot. Builds that had no shared documents wrote a bare lease.Lessor instead.
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
	data, err := json.Marshal(snapshotState{Leases: leases, Documents: documents})
	return encodedSnapshot(data), err
}

// maxSnapshotBytes bounds the size of a snapshot that is read. Documents of replication.MaxTotalSize and the leases, encoded as
// JSON, stay below it.
const maxSnapshotBytes = 1 << 24

// Restore implements raft.FSM. If the snapshot can't be decoded, the state is left unchanged.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes))
	if err != nil {
		return err
	}
	var encoded snapshotState
	if err := json.Unmarshal(data, &encoded); err != nil {
		return err
	}
	if encoded.Leases == nil {
		encoded = snapshotState{Leases: data, Documents: json.RawMessage("null")}
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

// encodedSnapshot is a snapshot encoded as JSON. It implements raft.FSMSnapshot.
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
