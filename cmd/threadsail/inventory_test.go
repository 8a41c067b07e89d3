package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"threadsail/internal/archive"
	"threadsail/internal/pooler"
	"threadsail/internal/serverlist"
)

// inventoryCommand is a command on files, what it exits with and a part of what it prints; empty: it prints nothing.
type inventoryCommand struct {
	args string
	code int
	want string
}

// inventoryCommands are run one after the other; digest is that of b.csv.
func inventoryCommands(digest string) []inventoryCommand {
	return []inventoryCommand{
		{"check a.csv", 0, "3 servers in 1 clusters, 0 draining, no seal"},
		{"--rooms buda check a.csv", 1, `a.csv: line 3: zone: unknown server room "pest", expected one of buda`},
		{"check bad.csv", 1, "bad.csv: line 3: name: \"DB1\" is listed twice, first on line 2\nthreadsail: bad.csv: 2 problems"},
		{"check none.csv", 1, "no such file"},
		{"check a.txt", 1, "a.txt"},
		{"diff a.csv a.csv", 0, ""},
		{"diff a.csv b.csv", 3, "- db2 at 10.0.0.2:3306, room pest, cluster 0, ready, weight 2\n- db3"},
		{"--wire postgres diff a.csv b.csv", 3, "+ db4 at 10.0.0.4:5432"},
		{"seal b.csv --confirm xyz", 1, "no digest"},
		{"seal b.csv --confirm " + digest, 0, "b.csv: 2 servers sealed, digest " + digest},
		{"check b.csv", 0, "sealed, digest " + digest},
		{"seal bad.csv", 1, "expected a whole number from 1 to 65535"},
		{"convert a.csv c.yaml --seal", 0, "c.yaml: 3 servers"},
		{"diff a.csv c.yaml", 0, ""},
		{"check c.yaml", 0, "sealed"},
		{"convert a.csv c.txt", 1, "the name ends in none of"},
		{"history --state state", 0, "1 added, 2 removed, 0 moved, 0 changed\n1           1970-01-01T01:00:00Z"},
		{"history --state dir", 1, "no such file"},
		{"back --state state --generation 7 b.csv", 1, "not kept"},
		{"back --state state b.csv", 0, "+ db2 at 10.0.0.2:3306"},
		{"diff a.csv b.csv", 0, ""},
		{"fly", 2, "unexpected argument"},
		{"check", 2, "expected \"<file>\""},
	}
}

// archiveLists keeps lists as the generations of MySQL's front, in the folder "state".
func archiveLists(t *testing.T, lists ...*pooler.List) {
	t.Helper()
	kept, err := archive.Open(filepath.Join("state", "mysql"), 8)
	if err != nil {
		t.Fatal(err)
	}
	for i, l := range lists {
		if err := kept.Put(&serverlist.Generation{Number: uint64(i + 1), Digest: serverlist.Digest(l.Servers), AcceptedAt: 1e9 * 3600, Servers: l.Servers}); err != nil {
			t.Fatal(err)
		}
	}
}

// The commands on files, one after the other: what each prints, and what it exits with.
func TestInventoryCommands(t *testing.T) {
	dir := t.TempDir()
	t.Chdir(dir)
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(name, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
	}
	write("a.csv", "name;host;zone;weight\r\ndb1;10.0.0.1;buda;1\r\ndb2;10.0.0.2;pest;2\r\ndb3;10.0.0.3;;0\r\n")
	write("b.csv", "name,host,zone\ndb1,10.0.0.1,buda\ndb4,10.0.0.4,pest\n")
	write("bad.csv", "name,port\ndb1,x\nDB1,1\n")
	all, err := pooler.ReadList("mysql", "a.csv", nil)
	if err != nil {
		t.Fatal(err)
	}
	less, err := pooler.ReadList("mysql", "b.csv", nil)
	if err != nil {
		t.Fatal(err)
	}
	digest := serverlist.Digest(less.Servers)
	archiveLists(t, all, less)
	for _, c := range inventoryCommands(digest) {
		var out bytes.Buffer
		t.Setenv("PROXY_CONFIG", "")
		code := run(append([]string{"inventory"}, strings.Fields(c.args)...), streams{&out, &out})
		if code != c.code || !strings.Contains(out.String(), c.want) || c.want == "" && out.Len() > 0 {
			t.Errorf("%s: exit %d, want %d; it says\n%s, want %q", c.args, code, c.code, &out, c.want)
		}
	}
	checkBack(t, less)
}

// checkBack checks what "back" has made of b.csv, which held the newest generation. What goes back is confirmed against that, so
// that a pooler on it takes it at once.
func checkBack(t *testing.T, newest *pooler.List) {
	t.Helper()
	digest := serverlist.Digest(newest.Servers)
	l, err := pooler.ReadList("mysql", "b.csv", nil)
	if err != nil || !l.Sealed || l.ConfirmedDigest != digest {
		t.Fatalf("%+v, %v", l, err)
	}
	g := serverlist.NewGate(serverlist.Policy{HoldTime: time.Hour}, &serverlist.Generation{Number: 2, Digest: digest, Servers: newest.Servers})
	if d := g.Offer(0, serverlist.Candidate{Servers: l.Servers, Sealed: true, Confirms: l.ConfirmedDigest}); d.Outcome != serverlist.Accepted {
		t.Errorf("it is %v: %s", d.Outcome, d.Reason)
	}
	if info, err := os.Stat("b.csv"); err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the file's mode has changed", info.Mode(), err)
	}
}
