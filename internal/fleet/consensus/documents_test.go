package consensus

import (
	"errors"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// put writes until the voters decide, and returns what they decided.
func put(t *testing.T, c *ClientPool, key string, expectedVersion uint64, value string, f replication.Fence) (version uint64, err error) {
	t.Helper()
	for range 50 {
		version, err = c.Put(t.Context(), key, expectedVersion, []byte(value), f)
		if err == nil || errors.Is(err, replication.ErrConflict) || errors.Is(err, replication.ErrFenced) {
			return version, err
		}
	}
	t.Fatal("the voters never decide: ", err)
	return 0, nil
}

// awaitFenced writes by a token until its lease is over, and the write is refused.
func awaitFenced(t *testing.T, c *ClientPool, f replication.Fence) {
	t.Helper()
	for {
		_, err := put(t, c, "p/fenced", 0, "x", f)
		if errors.Is(err, replication.ErrFenced) {
			return
		}
		if err != nil && !errors.Is(err, replication.ErrConflict) {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// expectDocument checks a document as the voters have it, once they answer.
func expectDocument(t *testing.T, c *ClientPool, want replication.Document, when string) {
	t.Helper()
	for range 50 {
		got, err := c.Read(t.Context(), want.Key)
		if err != nil {
			continue
		}
		if got.Version != want.Version || string(got.Value) != string(want.Value) {
			t.Errorf("%s: %+v, want %+v", when, got, want)
		}
		return
	}
	t.Errorf("%s: never read", when)
}

// fetchUntil fetches all documents, of whichever voter is asked, which may not have caught up yet, until one has a version.
func fetchUntil(t *testing.T, c *ClientPool, key string, version uint64) (documents replication.Snapshot) {
	t.Helper()
	for range 500 {
		next, newer, err := c.Fetch(t.Context(), documents.Version, false)
		if err != nil {
			t.Fatal(err)
		}
		if newer {
			documents = next
		}
		if documents.Documents[key].Version == version {
			return documents
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s is of version %d in documents of version %d, want %d", key, documents.Documents[key].Version, documents.Version, version)
	return documents
}

// startDocuments starts three voters and a pool of clients for each of two poolers.
func startDocuments(t *testing.T) (g *cluster, a, b *ClientPool) {
	t.Helper()
	g = startCluster(t, 3)
	a = NewClientPool(2, "a", g.clientPeers, 3*electionTimeout)
	b = NewClientPool(2, "b", g.clientPeers, 3*electionTimeout)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return g, a, b
}

// Documents are written by version and under a lease's token, up to a size; an old holder's write is refused.
func TestDocumentWrites(t *testing.T) {
	g, a, b := startDocuments(t)
	granted, ok := acquire(t, g.client(t, "a", g.clientPeers...), time.Second)
	if !ok {
		t.Fatal("no lease")
	}
	fence := replication.Fence{Lease: "lists", Token: granted.Token}
	version, err := put(t, a, "p/x", 0, "1", fence)
	if err != nil || version <= granted.Token {
		t.Fatalf("version %d, %v", version, err)
	}
	if _, err := put(t, b, "p/x", 0, "2", replication.Fence{}); !errors.Is(err, replication.ErrConflict) {
		t.Errorf("over a version that was not read: %v", err)
	}
	tooLarge := make([]byte, replication.MaxDocumentSize+1)
	if _, err := b.Put(t.Context(), "p/y", 0, tooLarge, replication.Fence{}); !errors.Is(err, replication.ErrTooLarge) {
		t.Errorf("too large: %v", err)
	}
	// The lease's duration and the clock drift go by: its token is no longer valid, though nobody else has the lease.
	awaitFenced(t, a, fence)
}

// Documents are read as of the last write and fetched whole, and outlive the leader and a restart of all; the leader alone
// confirms their version.
func TestDocumentReads(t *testing.T) {
	g, a, b := startDocuments(t)
	granted, ok := acquire(t, g.client(t, "a", g.clientPeers...), time.Minute)
	if !ok {
		t.Fatal("no lease")
	}
	first, err := put(t, a, "p/x", 0, "1", replication.Fence{Lease: "lists", Token: granted.Token})
	if err != nil {
		t.Fatal(err)
	}
	largest := make([]byte, replication.MaxDocumentSize)
	if _, err := b.Put(t.Context(), "p/z", 0, largest, replication.Fence{}); err != nil {
		t.Errorf("the largest: %v", err)
	}
	g.stop(g.leader(t))
	second, err := put(t, b, "p/x", first, "2", replication.Fence{})
	if err != nil || second <= first {
		t.Fatalf("version %d after %d, %v", second, first, err)
	}
	want := replication.Document{Key: "p/x", Version: second, Value: []byte("2")}
	expectDocument(t, a, want, "the old leader stopped")
	g.snapshotAll(t)
	g.stopAll()
	g.startAll(t)
	expectDocument(t, a, want, "all restarted from snapshots")
	documents := fetchUntil(t, a, "p/x", second)
	if got := len(documents.Documents["p/z"].Value); got != len(largest) {
		t.Errorf("fetched %d documents, the largest of %d bytes", len(documents.Documents), got)
	}
	if _, newer, err := a.Fetch(t.Context(), documents.Version, true); newer || err != nil {
		t.Errorf("nothing newer: %v %v", newer, err)
	}
	leader := g.leader(t)
	if version, at, ok := g.voters[leader].ConfirmVersion(); !ok || version != documents.Version || time.Since(at) > time.Minute {
		t.Errorf("the leader confirms %d at %v: %v", version, at, ok)
	}
	if _, _, ok := g.voters[(leader+1)%3].ConfirmVersion(); ok {
		t.Error("a voter that does not lead confirms")
	}
}
