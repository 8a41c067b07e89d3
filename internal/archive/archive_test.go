package archive

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/policy"
	"threadsail/internal/serverlist"
)

func generation(n uint64) *serverlist.Generation {
	g := &serverlist.Generation{Number: n, Source: "f", Servers: []serverlist.Server{{Name: fmt.Sprint("db", n), Addr: "h:1", State: policy.Ready}}}
	g.Digest = serverlist.Digest(g.Servers)
	return g
}

func TestKeepsTheLast(t *testing.T) {
	a, err := Open(filepath.Join(t.TempDir(), "a", "b"), 3)
	if err != nil {
		t.Fatal(err)
	}
	for n := range uint64(12) {
		if err := a.Put(generation(n + 1)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := a.Load()
	want := []*serverlist.Generation{generation(10), generation(11), generation(12)}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(err, d)
	}
}

// The newest file is cut at any byte, or changed at any: it must not be believed, and the one before it still holds.
func TestDamaged(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(dir, 3)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []uint64{1, 2} {
		if err := a.Put(generation(n)); err != nil {
			t.Fatal(err)
		}
	}
	names, _ := a.fileNames()
	path := filepath.Join(dir, names[1])
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	older, both := []*serverlist.Generation{generation(1)}, []*serverlist.Generation{generation(1), generation(2)}
	damage := func(what string, text []byte, mayHold bool) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := a.Load()
		if mayHold && err == nil && cmp.Diff(both, got) == "" {
			return
		}
		if d := cmp.Diff(older, got); d != "" || err == nil {
			t.Errorf("%s: %v %s", what, err, d)
		}
	}
	for i := range len(whole) {
		damage(fmt.Sprint("cut after ", i), whole[:i], false)
		changed := append([]byte(nil), whole...)
		changed[i] ^= 0x20
		damage(fmt.Sprint("changed at ", i), changed, true) // a key in capitals means the same, and any other list is wrong
	}
}
