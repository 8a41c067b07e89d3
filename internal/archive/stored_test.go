package archive

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/goldentest"
	"threadsail/internal/policy"
	"threadsail/internal/serverlist"
)

// stored is the generation in testdata/state/mysql, which sets every key that a file may hold.
func stored() *serverlist.Generation {
	g := &serverlist.Generation{Number: 7, Source: "servers.yaml", AcceptedAt: 1764676800 * time.Second, Sealed: true, Servers: []serverlist.Server{
		{Name: "db1", Addr: "127.0.0.11:3306", Zone: "a", Cluster: 4, State: policy.Ready, Weight: 5, Wire: "mysql", Version: "8.4"},
		{Name: "db2", Addr: "127.0.0.12:5432", Zone: "b", Cluster: 5, State: policy.Draining, Weight: 1, Wire: "postgres", Version: "16"},
		{Name: "db3", Addr: "127.0.0.13:3306", State: policy.Ready},
	}}
	g.Digest = serverlist.Digest(g.Servers)
	return g
}

// A generation that an earlier build has stored is read whole, and is written with the same bytes under the same name.
func TestStoredGeneration(t *testing.T) {
	const name = "generation-00000000000000000007.json"
	a, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Put(stored()); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(filepath.Join(a.dir, name))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, filepath.Join("state", "mysql", name), written)
	old, err := OpenExisting(filepath.Join("testdata", "state"), "mysql")
	if err != nil {
		t.Fatal(err)
	}
	got, err := old.Load()
	if d := cmp.Diff([]*serverlist.Generation{stored()}, got); d != "" || err != nil {
		t.Error(err, d)
	}
}
