package serverlist_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/protocol/inventory"
	"threadsail/internal/serverlist"
)

// A file that is cut anywhere must be turned down, held, or read as the whole: in no case may a part of it be in force.
func TestTruncatedAnywhere(t *testing.T) {
	for name, f := range map[string]struct {
		form inventory.Form
		text string
	}{
		"csv":  {inventory.CSV, "name,host,port,zone,cluster,state,weight\ndb1,10.0.0.1,3306,a,0,ready,10\ndb2,10.0.0.12,3306,a,0,ready,20\ndb3,10.0.0.13,33060,b,1,draining,30\n"},
		"yaml": {inventory.YAML, "g:\n  vars: {cluster: 10}\n  hosts:\n    db1: {ansible_host: 10.0.0.1}\n    db2: {ansible_host: 10.0.0.12, weight: 20}\n    db3:\n      weight: 12\n"},
	} {
		whole, ok := candidate(f.form, f.text)
		if !ok {
			t.Fatal(name)
		}
		rows := len(whole.Servers)
		for _, text := range []string{f.text, string(inventory.AppendSeal([]byte(f.text), rows, ""))} {
			for i := range len(text) {
				for before, start := range map[string][]serverlist.Server{"the same": whole.Servers, "fewer": whole.Servers[:1],
					"others": list("z", "y")} {
					g := serverlist.NewGate(gatePolicy, &serverlist.Generation{Number: 1, Servers: start})
					c, _ := candidate(f.form, text[:i])
					if d := g.Offer(0, c); d.Outcome == serverlist.Accepted && cmp.Diff(whole.Servers, d.Generation.Servers) != "" {
						t.Fatalf("%s, %s before: cut after %d bytes it is in force as %v", name, before, i, d.Generation.Servers)
					}
				}
			}
		}
	}
}

func candidate(form inventory.Form, text string) (serverlist.Candidate, bool) {
	c := serverlist.Candidate{Source: "f"}
	f, err := inventory.Parse(form, "mysql_port", []byte(text))
	if err == nil {
		c.Servers, err = serverlist.Check(f.Rows, serverlist.Constraints{DefaultPort: 3306})
		c.Sealed, c.EndsInNewline = f.Seal != nil, f.EndsInNewline
	}
	c.Err = err
	return c, err == nil
}

// No part of a file that is cut may be in force, whatever the file holds.
func FuzzTruncated(f *testing.F) {
	text := string(inventory.AppendSeal([]byte("name,weight\ndb1,10\ndb2,20\n"), 2, ""))
	f.Add(text, 30)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		whole, ok := candidate(inventory.CSV, text)
		if !ok || cut < 0 || cut >= len(text) {
			return
		}
		g := serverlist.NewGate(gatePolicy, &serverlist.Generation{Number: 1, Servers: list("z")})
		c, _ := candidate(inventory.CSV, text[:cut])
		if d := g.Offer(0, c); d.Outcome == serverlist.Accepted && cmp.Diff(whole.Servers, d.Generation.Servers) != "" {
			t.Errorf("cut after %d bytes it is in force as %v", cut, d.Generation.Servers)
		}
	})
}
