package consensus

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/goldentest"
)

func goldenSnapshot() replication.Snapshot {
	return replication.Snapshot{Version: 9, Documents: map[string]replication.Document{"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")}}}
}

func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "ask.json", goldentest.Filled[request](t))
	full := goldentest.Filled[response](t)
	state := goldenSnapshot()
	full.State = &state
	goldentest.CheckJSONOf(t, "answer.json", full)
	goldentest.CheckJSONOf(t, "set.json", goldentest.Filled[voterSet](t))
}

func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{
		"R": string(connectionRaft), "L": string(connectionClient), "stewards/set": voterSetKey, "CurrentTerm": string(currentTermKey), "raft": trafficKindRaft,
		"lease": request{}.trafficKind(), "documents/put": request{Put: &replication.Write{}}.trafficKind(), "documents/read": request{Read: "a"}.trafficKind(),
		"documents/fetch": request{Since: new(uint64)}.trafficKind(),
		"conflict":        refusalName(replication.ErrConflict), "fenced": refusalName(replication.ErrFenced), "large": refusalName(replication.ErrTooLarge)})
	for name, err := range map[string]error{"conflict": replication.ErrConflict, "fenced": replication.ErrFenced, "large": replication.ErrTooLarge} {
		if !errors.Is(refusalErrors[name], err) {
			t.Errorf("refusal %q: got error %v, want %v", name, refusalErrors[name], err)
		}
	}
}

// Log entries and snapshots keep their stored form: the entries of the golden file can be applied, the resulting snapshot equals the
// golden one, and a state machine restored from it writes the same snapshot.
func TestStoredLogAndSnapshot(t *testing.T) {
	goldentest.CheckJSONOf(t, "command.json", goldentest.Filled[command](t))
	commands := []command{
		{Command: lease.Command{Name: "lists", Holder: "pooler-1", Duration: 300, Now: 20, RaftTerm: 2}},
		{Command: lease.Command{Now: 21, RaftTerm: 2}, Put: &replication.Write{Key: "limits/set", Value: []byte("limits"), Fence: replication.Fence{Lease: "lists", Token: 1}}},
		{Command: lease.Command{Name: "purges", Holder: "pooler-2", Duration: 300, Now: 22, RaftTerm: 2}},
		{Command: lease.Command{Release: true, Name: "purges", Holder: "pooler-2", Now: 23, RaftTerm: 2}},
		{Command: lease.Command{Now: 24, RaftTerm: 2}, Put: &replication.Write{Key: "limits/set", ExpectedVersion: 2, Value: []byte("newer limits")}},
	}
	var log []byte
	for _, cmd := range commands {
		encoded, err := json.Marshal(cmd)
		if err != nil {
			t.Fatal(err)
		}
		log = append(append(log, encoded...), '\n')
	}
	applied := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	for i, line := range bytes.Split(bytes.TrimSpace(goldentest.Check(t, "log.jsonl", log)), []byte("\n")) {
		resp, ok := applied.Apply(&raft.Log{Index: uint64(i + 1), Term: 2, Data: line}).(response)
		if released := i == 3; !ok || resp.OK == released || resp.Error != "" {
			t.Errorf("entry %d: got response %+v", i+1, resp)
		}
	}
	stored := goldentest.Check(t, "snapshot.json", append(snapshotOf(t, applied), '\n'))
	restored := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	if err := restored.Restore(io.NopCloser(bytes.NewReader(stored))); err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, restored); !bytes.Equal(got, bytes.TrimSpace(stored)) {
		t.Errorf("snapshot of the restored state machine:\n%s, want\n%s", got, stored)
	}
}

// snapshotOf returns the encoded snapshot of a state machine.
func snapshotOf(t *testing.T, state *stateMachine) []byte {
	t.Helper()
	snapshot, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sink := &memorySink{}
	if err := snapshot.Persist(sink); err != nil {
		t.Fatal(err)
	}
	return sink.Bytes()
}

// memorySink is a raft.SnapshotSink that stores the snapshot in memory.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "memory" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// storedDB is the compressed log file of a voter that granted a lease and accepted writes of two documents, written by an earlier build.
const storedDB = "testdata/raft.db.gz"

// A voter starts with a log file that an earlier build wrote, and serves the log's documents and lease.
func TestStoredLogIsServed(t *testing.T) {
	dir := t.TempDir()
	if goldentest.Recording() {
		recordDB(t)
	}
	file, err := os.Open(storedDB)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	decompressed, err := gzip.NewReader(file)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(decompressed)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "raft.db"), content, 0o600); err != nil {
		t.Fatal(err)
	}
	voter, client := startAlone(t, dir)
	defer voter.Close()
	defer client.Close()
	ctx := t.Context()
	for key, want := range map[string]string{"limits/set": "newer limits", "purge/plan": "plan"} {
		if doc, err := client.Read(ctx, key); err != nil || string(doc.Value) != want {
			t.Errorf("%s: got %q, %v, want %q", key, doc.Value, err, want)
		}
	}
	current, granted, err := client.Acquire(ctx, "lists", time.Second)
	if err != nil || granted || !strings.HasPrefix(current.Holder, "pooler-1") {
		t.Errorf("got %+v, %v, %v, want a denial for the stored lease of pooler-1", current, granted, err)
	}
}

// recordDB rewrites storedDB.
func recordDB(t *testing.T) {
	t.Helper()
	dir, ctx := t.TempDir(), t.Context()
	voter, client := startAlone(t, dir)
	limitsVersion, err := client.Put(ctx, "limits/set", 0, []byte("limits"), replication.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, "limits/set", limitsVersion, []byte("newer limits"), replication.Fence{}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Put(ctx, "purge/plan", 0, []byte("plan"), replication.Fence{}); err != nil {
		t.Fatal(err)
	}
	holder := NewClientPool(1, "pooler-1/1", client.voters(), 5*time.Second)
	if _, ok, err := holder.Acquire(ctx, "lists", 1000*time.Hour); err != nil || !ok {
		t.Fatal(ok, err)
	}
	holder.Close()
	client.Close()
	voter.Close()
	content, err := os.ReadFile(filepath.Join(dir, "raft.db"))
	if err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(storedDB, compressed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// voters returns the voters that the pool is configured with. It waits for an idle client.
func (p *ClientPool) voters() []Peer {
	client := <-p.idle
	defer func() { p.idle <- client }()
	return client.Voters
}

// startAlone starts a cluster of one voter with its log in dir, and returns the voter and a client pool for it.
func startAlone(t *testing.T, dir string) (*Voter, *ClientPool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peers := []Peer{{Name: "s0", Addr: listener.Addr().String()}}
	_ = listener.Close()
	voter, err := Start(Options{Name: "s0", ListenAddr: peers[0].Addr, Dir: dir, Voters: peers, MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: electionTimeout})
	if err != nil {
		t.Fatal(err)
	}
	return voter, NewClientPool(1, "pooler-2/1", peers, 10*time.Second)
}
