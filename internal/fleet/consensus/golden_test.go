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

func goldenState() replication.Snapshot {
	return replication.Snapshot{Version: 9, Documents: map[string]replication.Document{"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")}}}
}

func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "ask.json", goldentest.Filled[request](t))
	full := goldentest.Filled[response](t)
	state := goldenState()
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
			t.Errorf("the refusal %q reads as %v, want %v", name, refusalErrors[name], err)
		}
	}
}

// Log entries and the snapshot that they lead to are as they always were: the stored entries are applied, the table's snapshot is
// the stored one, and a table that is restored from it writes the same again.
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
	for _, c := range commands {
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		log = append(append(log, text...), '\n')
	}
	applied := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	for i, line := range bytes.Split(bytes.TrimSpace(goldentest.Check(t, "log.jsonl", log)), []byte("\n")) {
		a, ok := applied.Apply(&raft.Log{Index: uint64(i + 1), Term: 2, Data: line}).(response)
		if released := i == 3; !ok || a.OK == released || a.Error != "" {
			t.Errorf("entry %d: got the answer %+v", i+1, a)
		}
	}
	stored := goldentest.Check(t, "snapshot.json", append(snapshotOf(t, applied), '\n'))
	restored := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	if err := restored.Restore(io.NopCloser(bytes.NewReader(stored))); err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, restored); !bytes.Equal(got, bytes.TrimSpace(stored)) {
		t.Errorf("a restored table writes\n%s, want\n%s", got, stored)
	}
}

// snapshotOf is the text of a table's snapshot.
func snapshotOf(t *testing.T, from *stateMachine) []byte {
	t.Helper()
	s, err := from.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	sink := &memorySink{}
	if err := s.Persist(sink); err != nil {
		t.Fatal(err)
	}
	return sink.Bytes()
}

// memorySink is a snapshot sink that keeps what it is given.
type memorySink struct{ bytes.Buffer }

func (*memorySink) ID() string    { return "memory" }
func (*memorySink) Cancel() error { return nil }
func (*memorySink) Close() error  { return nil }

// storedDB is the log of a voter that has granted a lease and taken two documents, as its build left it on the disk.
const storedDB = "testdata/raft.db.gz"

// A voter starts on the log that an earlier build left on the disk, and knows all that is in it.
func TestStoredLogIsServed(t *testing.T) {
	dir := t.TempDir()
	if goldentest.Recording() {
		recordDB(t)
	}
	packed, err := os.Open(storedDB)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = packed.Close() }()
	plain, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(plain)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "raft.db"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	s, c := startAlone(t, dir)
	defer s.Close()
	defer c.Close()
	ctx := t.Context()
	for key, want := range map[string]string{"limits/set": "newer limits", "purge/plan": "plan"} {
		if doc, err := c.Read(ctx, key); err != nil || string(doc.Value) != want {
			t.Errorf("%s: got %q, %v, want %q", key, doc.Value, err, want)
		}
	}
	g, ok, err := c.Acquire(ctx, "lists", time.Second)
	if err != nil || ok || !strings.HasPrefix(g.Holder, "pooler-1") {
		t.Errorf("got %+v, %v, %v, want a denial for the stored lease of pooler-1", g, ok, err)
	}
}

// recordDB writes storedDB anew.
func recordDB(t *testing.T) {
	t.Helper()
	dir, ctx := t.TempDir(), t.Context()
	s, c := startAlone(t, dir)
	limits, err := c.Put(ctx, "limits/set", 0, []byte("limits"), replication.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "limits/set", limits, []byte("newer limits"), replication.Fence{}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "purge/plan", 0, []byte("plan"), replication.Fence{}); err != nil {
		t.Fatal(err)
	}
	holder := NewClientPool(1, "pooler-1/1", c.voters(), 5*time.Second)
	if _, ok, err := holder.Acquire(ctx, "lists", 1000*time.Hour); err != nil || !ok {
		t.Fatal(ok, err)
	}
	holder.Close()
	c.Close()
	s.Close()
	text, err := os.ReadFile(filepath.Join(dir, "raft.db"))
	if err != nil {
		t.Fatal(err)
	}
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(storedDB, packed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// voters are those that the idle clients ask.
func (c *ClientPool) voters() []Peer {
	one := <-c.idle
	defer func() { c.idle <- one }()
	return one.Voters
}

// startAlone starts a set of one voter on a directory, with a client of it.
func startAlone(t *testing.T, dir string) (*Voter, *ClientPool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := []Peer{{Name: "s0", Addr: ln.Addr().String()}}
	_ = ln.Close()
	s, err := Start(Options{Name: "s0", ListenAddr: all[0].Addr, Dir: dir, Voters: all, MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: electionTimeout})
	if err != nil {
		t.Fatal(err)
	}
	return s, NewClientPool(1, "pooler-2/1", all, 10*time.Second)
}
