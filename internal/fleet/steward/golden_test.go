package steward

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

	"threadsail/internal/fleet/goldentest"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/shared"
)

func goldenState() shared.State {
	return shared.State{Version: 9, Docs: map[string]shared.Doc{"purge/plan": {Key: "purge/plan", Version: 9, Value: []byte("plan")}}}
}

func TestMessageForms(t *testing.T) {
	goldentest.JSON(t, "ask.json", goldentest.Filled[ask](t))
	full := goldentest.Filled[answer](t)
	state := goldenState()
	full.State = &state
	goldentest.JSON(t, "answer.json", full)
	goldentest.JSON(t, "set.json", goldentest.Filled[set](t))
}

func TestNames(t *testing.T) {
	goldentest.Names(t, map[string]string{
		"R": string(callRaft), "L": string(callLease), "stewards/set": setKey, "CurrentTerm": string(termKey), "raft": kindRaft,
		"lease": ask{}.kind(), "documents/put": ask{Put: &shared.Write{}}.kind(), "documents/read": ask{Read: "a"}.kind(),
		"documents/fetch": ask{Since: new(uint64)}.kind(),
		"conflict":        refusal(shared.ErrConflict), "fenced": refusal(shared.ErrFenced), "large": refusal(shared.ErrTooLarge)})
	for name, err := range map[string]error{"conflict": shared.ErrConflict, "fenced": shared.ErrFenced, "large": shared.ErrTooLarge} {
		if !errors.Is(refusals[name], err) {
			t.Errorf("the refusal %q reads as %v, want %v", name, refusals[name], err)
		}
	}
}

// Log entries and the snapshot that they lead to are as they always were: the stored entries are applied, the table's snapshot is
// the stored one, and a table that is restored from it writes the same again.
func TestStoredLogAndSnapshot(t *testing.T) {
	goldentest.JSON(t, "command.json", goldentest.Filled[command](t))
	commands := []command{
		{Command: lease.Command{Duty: "lists", Holder: "pooler-1", Term: 300, Now: 20, Epoch: 2}},
		{Command: lease.Command{Now: 21, Epoch: 2}, Put: &shared.Write{Key: "limits/set", Value: []byte("limits"), Fence: shared.Fence{Duty: "lists", Token: 1}}},
		{Command: lease.Command{Duty: "purges", Holder: "pooler-2", Term: 300, Now: 22, Epoch: 2}},
		{Command: lease.Command{Release: true, Duty: "purges", Holder: "pooler-2", Now: 23, Epoch: 2}},
		{Command: lease.Command{Now: 24, Epoch: 2}, Put: &shared.Write{Key: "limits/set", Expect: 2, Value: []byte("newer limits")}},
	}
	var log []byte
	for _, c := range commands {
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		log = append(append(log, text...), '\n')
	}
	applied := &table{changed: func(shared.State) {}}
	for i, line := range bytes.Split(bytes.TrimSpace(goldentest.Bytes(t, "log.jsonl", log)), []byte("\n")) {
		a, ok := applied.Apply(&raft.Log{Index: uint64(i + 1), Term: 2, Data: line}).(answer)
		if released := i == 3; !ok || a.OK == released || a.Error != "" {
			t.Errorf("entry %d: got the answer %+v", i+1, a)
		}
	}
	stored := goldentest.Bytes(t, "snapshot.json", append(snapshotOf(t, applied), '\n'))
	restored := &table{changed: func(shared.State) {}}
	if err := restored.Restore(io.NopCloser(bytes.NewReader(stored))); err != nil {
		t.Fatal(err)
	}
	if got := snapshotOf(t, restored); !bytes.Equal(got, bytes.TrimSpace(stored)) {
		t.Errorf("a restored table writes\n%s, want\n%s", got, stored)
	}
}

// snapshotOf is the text of a table's snapshot.
func snapshotOf(t *testing.T, from *table) []byte {
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

// storedDB is the log of a steward that has given a lease away and written two documents, as its build left it on the disk.
const storedDB = "testdata/raft.db.gz"

// A steward starts on the log that an earlier build left on the disk, and knows all that is in it.
func TestStoredLogIsServed(t *testing.T) {
	dir := t.TempDir()
	if os.Getenv("THREADSAIL_RECORD_GOLDEN") == "1" {
		recordDB(t)
	}
	packed, err := os.Open(storedDB)
	if err != nil {
		t.Fatal(err)
	}
	defer packed.Close()
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
	limits, err := c.Put(ctx, "limits/set", 0, []byte("limits"), shared.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "limits/set", limits, []byte("newer limits"), shared.Fence{}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "purge/plan", 0, []byte("plan"), shared.Fence{}); err != nil {
		t.Fatal(err)
	}
	holder := NewClients(1, "pooler-1/1", c.stewards(), 5*time.Second)
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

// stewards are those that idle clients ask.
func (c *Clients) stewards() []Peer {
	one := <-c.idle
	defer func() { c.idle <- one }()
	return one.Stewards
}

// startAlone starts a set of one steward on a folder, with a client of it.
func startAlone(t *testing.T, dir string) (*Steward, *Clients) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	all := []Peer{{Name: "s0", Addr: ln.Addr().String()}}
	_ = ln.Close()
	s, err := Start(Options{Name: "s0", Listen: all[0].Addr, Dir: dir, Stewards: all, Drift: 100 * time.Millisecond, Election: election})
	if err != nil {
		t.Fatal(err)
	}
	return s, NewClients(1, "pooler-2/1", all, 10*time.Second)
}
