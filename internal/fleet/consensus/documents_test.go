package consensus

import (
	"errors"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// put retries a write until the voters decide, and returns the new version, ErrConflict or ErrFenced.
func put(t *testing.T, client *ClientPool, key string, expectedVersion uint64, value string, fence replication.Fence) (version uint64, err error) {
	t.Helper()
	for range 50 {
		version, err = client.Put(t.Context(), key, expectedVersion, []byte(value), fence)
		if err == nil || errors.Is(err, replication.ErrConflict) || errors.Is(err, replication.ErrFenced) {
			return version, err
		}
	}
	t.Fatal("the voters did not decide the write: ", err)
	return 0, nil
}

// awaitFenced repeats a fenced write until it is refused because the lease has ended.
func awaitFenced(t *testing.T, client *ClientPool, fence replication.Fence) {
	t.Helper()
	for {
		_, err := put(t, client, "p/fenced", 0, "x", fence)
		if errors.Is(err, replication.ErrFenced) {
			return
		}
		if err != nil && !errors.Is(err, replication.ErrConflict) {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// expectDocument reads a document, retrying until a leader responds, and checks its version and value.
func expectDocument(t *testing.T, client *ClientPool, want replication.Document, situation string) {
	t.Helper()
	for range 50 {
		got, err := client.Read(t.Context(), want.Key)
		if err != nil {
			continue
		}
		if got.Version != want.Version || string(got.Value) != string(want.Value) {
			t.Errorf("%s: %+v, want %+v", situation, got, want)
		}
		return
	}
	t.Errorf("%s: no leader responded to the read", situation)
}

// fetchUntil fetches all documents until the document key has the given version. It retries because any voter may respond, including
// one that lags behind.
func fetchUntil(t *testing.T, client *ClientPool, key string, version uint64) (documents replication.Snapshot) {
	t.Helper()
	for range 500 {
		next, newer, err := client.Fetch(t.Context(), documents.Version, false)
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
	t.Fatalf("%s has version %d in documents of version %d, want %d", key, documents.Documents[key].Version, documents.Version, version)
	return documents
}

// startDocuments starts three voters and returns them with the client pools of two poolers.
func startDocuments(t *testing.T) (cluster *testCluster, a, b *ClientPool) {
	t.Helper()
	cluster = startCluster(t, 3)
	a = NewClientPool(2, "a", cluster.clientPeers, 3*electionTimeout)
	b = NewClientPool(2, "b", cluster.clientPeers, 3*electionTimeout)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return cluster, a, b
}

// A write is refused if the document has another version, if its value is too large, or if the lease of its fence has ended.
func TestDocumentWrites(t *testing.T) {
	cluster, a, b := startDocuments(t)
	granted, ok := acquire(t, cluster.client(t, "a", cluster.clientPeers...), time.Second)
	if !ok {
		t.Fatal("the lease was not granted")
	}
	fence := replication.Fence{Lease: "lists", Token: granted.Token}
	version, err := put(t, a, "p/x", 0, "1", fence)
	if err != nil || version <= granted.Token {
		t.Fatalf("version %d, %v", version, err)
	}
	if _, err := put(t, b, "p/x", 0, "2", replication.Fence{}); !errors.Is(err, replication.ErrConflict) {
		t.Errorf("write with a wrong expected version: got error %v, want ErrConflict", err)
	}
	tooLarge := make([]byte, replication.MaxDocumentSize+1)
	if _, err := b.Put(t.Context(), "p/y", 0, tooLarge, replication.Fence{}); !errors.Is(err, replication.ErrTooLarge) {
		t.Errorf("write of a value that is too large: got error %v, want ErrTooLarge", err)
	}
	// Once the lease's duration and the clock drift have passed, its token is invalid, even if nobody else has acquired the lease.
	awaitFenced(t, a, fence)
}

// Reads are linearizable and fetches are complete. The documents survive the loss of the leader and a restart of all voters from
// snapshots. Only the leader confirms their version.
func TestDocumentReads(t *testing.T) {
	cluster, a, b := startDocuments(t)
	granted, ok := acquire(t, cluster.client(t, "a", cluster.clientPeers...), time.Minute)
	if !ok {
		t.Fatal("the lease was not granted")
	}
	first, err := put(t, a, "p/x", 0, "1", replication.Fence{Lease: "lists", Token: granted.Token})
	if err != nil {
		t.Fatal(err)
	}
	largest := make([]byte, replication.MaxDocumentSize)
	if _, err := b.Put(t.Context(), "p/z", 0, largest, replication.Fence{}); err != nil {
		t.Errorf("write of a value of the maximum size: %v", err)
	}
	cluster.stop(cluster.leader(t))
	second, err := put(t, b, "p/x", first, "2", replication.Fence{})
	if err != nil || second <= first {
		t.Fatalf("version %d after %d, %v", second, first, err)
	}
	want := replication.Document{Key: "p/x", Version: second, Value: []byte("2")}
	expectDocument(t, a, want, "after the leader was stopped")
	cluster.snapshotAll(t)
	cluster.stopAll()
	cluster.startAll(t)
	expectDocument(t, a, want, "after all voters restarted from snapshots")
	documents := fetchUntil(t, a, "p/x", second)
	if got := len(documents.Documents["p/z"].Value); got != len(largest) {
		t.Errorf("fetched %d documents; p/z has %d bytes", len(documents.Documents), got)
	}
	if _, newer, err := a.Fetch(t.Context(), documents.Version, true); newer || err != nil {
		t.Errorf("fetch since the newest version: newer %v, error %v", newer, err)
	}
	leader := cluster.leader(t)
	if version, asOf, ok := cluster.voters[leader].ConfirmVersion(); !ok || version != documents.Version || time.Since(asOf) > time.Minute {
		t.Errorf("the leader confirmed version %d as of %v: %v", version, asOf, ok)
	}
	if _, _, ok := cluster.voters[(leader+1)%3].ConfirmVersion(); ok {
		t.Error("a voter that is not the leader confirmed a version")
	}
}
