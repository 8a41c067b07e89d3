package serverlist_test

import (
	"strings"

	"threadsail/internal/serverlist"
)

// list makes servers of words like "a" or "a/1" (its cluster) or "a!" (draining); each has its name for a host.
func list(words ...string) []serverlist.Server {
	var rows []serverlist.Row
	for i, w := range words {
		r := serverlist.Row{Line: i + 1}
		w, draining := strings.CutSuffix(w, "!")
		if draining {
			r.Values[serverlist.FieldState] = "draining"
		}
		r.Values[serverlist.FieldName], r.Values[serverlist.FieldCluster], _ = strings.Cut(w, "/")
		if name, host, ok := strings.Cut(r.Values[serverlist.FieldName], "@"); ok {
			r.Values[serverlist.FieldName], r.Values[serverlist.FieldHost] = name, host
		}
		rows = append(rows, r)
	}
	out, err := serverlist.Check(rows, serverlist.Constraints{DefaultPort: 1})
	if err != nil {
		panic(err)
	}
	return out
}

var contents uint64

func offer(servers []serverlist.Server, change func(*serverlist.Candidate)) serverlist.Candidate {
	contents++
	c := serverlist.Candidate{Source: "f", ContentHash: contents, Servers: servers}
	if change != nil {
		change(&c)
	}
	return c
}

func sealed(c *serverlist.Candidate)    { c.Sealed = true }
func truncated(c *serverlist.Candidate) { c.Truncation = "line 9 has no line end" }
func truncatedButSealed(c *serverlist.Candidate) {
	truncated(c)
	sealed(c)
}
func confirms(servers []serverlist.Server) func(*serverlist.Candidate) {
	return func(c *serverlist.Candidate) { c.Sealed, c.Confirms = true, serverlist.Digest(servers) }
}
