package serverlist_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/inventory"
	"threadsail/internal/serverlist"
)

const s = time.Second

var gatePolicy = serverlist.Policy{SettleTime: s, RemovalSettleTime: 2 * s, HoldTime: 30 * s, MaxLossShare: 0.4, MaxGenerations: 3}

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
	c := serverlist.Candidate{Source: "f", ContentHash: contents, Servers: servers, EndsInNewline: true}
	if change != nil {
		change(&c)
	}
	return c
}

func sealed(c *serverlist.Candidate)  { c.Sealed = true }
func unended(c *serverlist.Candidate) { c.EndsInNewline = false }
func confirms(servers []serverlist.Server) func(*serverlist.Candidate) {
	return func(c *serverlist.Candidate) { c.Sealed, c.Confirms = true, serverlist.Digest(servers) }
}

// What is done with a candidate, by what it takes away and what vouches for it.
func TestGateJudges(t *testing.T) {
	base := list("a", "b", "c", "d", "e", "x/1")
	for name, c := range map[string]struct {
		to      []serverlist.Server
		change  func(*serverlist.Candidate)
		verdict serverlist.Outcome
		reason  string
		until   time.Duration
	}{
		"the same":                   {base, nil, serverlist.Unchanged, "", 0},
		"one more":                   {list("a", "b", "c", "d", "e", "f", "x/1"), nil, serverlist.Held, "it has no seal", s},
		"one more, cut":              {list("a", "b", "c", "d", "e", "f", "x/1"), unended, serverlist.Held, "it has no seal, and may not be whole", 2 * s},
		"one more, sealed":           {list("a", "b", "c", "d", "e", "f", "x/1"), sealed, serverlist.Accepted, "", 0},
		"one less":                   {list("a", "b", "c", "d", "x/1"), nil, serverlist.Held, "it has no seal, and may not be whole", 2 * s},
		"one less, sealed":           {list("a", "b", "c", "d", "x/1"), sealed, serverlist.Accepted, "", 0},
		"one moves":                  {list("a", "b", "c", "d", "e@y", "x/1"), nil, serverlist.Held, "it has no seal, and may not be whole", 2 * s},
		"three less, sealed":         {list("a", "b", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
		"three move, sealed":         {list("a", "b", "c@1x", "d@1y", "e@1z", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
		"three drain, sealed":        {list("a", "b", "c!", "d!", "e!", "x/1"), sealed, serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
		"three less, confirmed":      {list("a", "b", "x/1"), confirms(base), serverlist.Accepted, "", 0},
		"confirmed against another":  {list("a", "b", "x/1"), confirms(list("a")), serverlist.Held, "it takes 3 of 5 ready servers of cluster 0 away", 30 * s},
		"a cluster emptied":          {list("a", "b", "c", "d", "e"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
		"a cluster all drained":      {list("a", "b", "c", "d", "e", "x/1!"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
		"a cluster's only one moves": {list("a", "b", "c", "d", "e", "x@y/1"), sealed, serverlist.Accepted, "", 0},
		"a cluster moves":            {list("a", "b", "c", "d", "e", "x/2"), sealed, serverlist.Held, "cluster 1 is left without a ready server", 0},
		"nobody":                     {list(), sealed, serverlist.Held, "no server is listed", 0},
		"nobody, confirmed":          {list(), confirms(base), serverlist.Accepted, "", 0},
		"wrong":                      {nil, func(c *serverlist.Candidate) { c.Err = errors.New("line 3") }, serverlist.Rejected, "line 3", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := serverlist.NewGate(gatePolicy)
			if d := g.Offer(0, offer(base, nil)); d.Outcome != serverlist.Accepted || d.Generation.Number != 1 {
				t.Fatalf("the first list is %v", d.Outcome)
			}
			to := offer(c.to, c.change)
			d := g.Offer(0, to)
			if d.Outcome != c.verdict || d.Reason != c.reason || d.AcceptAt != c.until || g.NextTimer() != c.until {
				t.Errorf("got %v (%s) until %v, due %v", d.Outcome, d.Reason, d.AcceptAt, g.NextTimer())
			}
			want := base
			if c.verdict == serverlist.Accepted {
				want = c.to
			}
			if diff := cmp.Diff(want, g.Current().Servers); diff != "" {
				t.Error(diff)
			}
			if c.verdict != serverlist.Held {
				return
			}
			if c.until == 0 {
				if d := g.HandleTimer(1000 * time.Hour); d.Outcome != serverlist.Idle {
					t.Errorf("it is %v by waiting", d.Outcome)
				}
				return
			}
			if d := g.HandleTimer(c.until - 1); d.Outcome != serverlist.Idle {
				t.Errorf("it is %v before its time", d.Outcome)
			}
			if d := g.Offer(c.until-1, to); d.Outcome != serverlist.Held || d.AcceptAt != c.until {
				t.Errorf("read again it is %v until %v", d.Outcome, d.AcceptAt)
			}
			if d := g.HandleTimer(c.until); d.Outcome != serverlist.Accepted || d.Generation.Number != 2 {
				t.Errorf("at its time it is %v", d.Outcome)
			}
		})
	}
}

// A held candidate must be gone once its file holds something else, whatever that is.
func TestHeldGivesWay(t *testing.T) {
	base := list("a", "b", "c")
	for name, next := range map[string]func(*serverlist.Gate) serverlist.Decision{
		"another": func(g *serverlist.Gate) serverlist.Decision { return g.Offer(1, offer(list("a", "b", "c", "e"), nil)) },
		"a bad one": func(g *serverlist.Gate) serverlist.Decision {
			return g.Offer(1, offer(nil, func(c *serverlist.Candidate) { c.Err = errors.New("bad") }))
		},
		"the one in force": func(g *serverlist.Gate) serverlist.Decision { return g.Offer(1, offer(base, nil)) },
		"none":             func(g *serverlist.Gate) serverlist.Decision { return g.Withdraw(1, "no such file") },
		"seals wanted": func(g *serverlist.Gate) serverlist.Decision {
			return g.SetPolicy(1, serverlist.Policy{RequireSeal: true})
		},
	} {
		g := serverlist.NewGate(gatePolicy)
		g.Offer(0, offer(base, nil))
		g.Offer(0, offer(list("a", "b"), nil))
		if _, held := g.Pending(); !held {
			t.Fatal("nothing is held")
		}
		next(g)
		if d := g.HandleTimer(2 * s); d.Outcome == serverlist.Accepted && len(d.Generation.Servers) == 2 {
			t.Errorf("%s: the held list is taken all the same", name)
		}
	}
}

// Whatever comes in whatever order: the list in force is one that was offered whole; no list empties a cluster unless it is
// confirmed; an unsealed one has stood for its time; numbers only grow and the history is bounded.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := serverlist.NewGate(gatePolicy)
		now, number := time.Duration(0), uint64(0)
		var inForce []serverlist.Server
		var standing *serverlist.Candidate
		var since time.Duration
		names := []string{"a", "b", "c", "d/1", "e/1", "f@x", "f@y", "g@z/2"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			var d serverlist.Decision
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
				pick := rapid.SliceOfDistinct(rapid.SampledFrom(names), func(w string) string { return w[:1] }).Draw(t, "list")
				c := offer(list(pick...), nil)
				switch rapid.IntRange(0, 3).Draw(t, "seal") {
				case 0:
					sealed(&c)
				case 1:
					confirms(inForce)(&c)
				}
				standing, since = &c, now
				d = g.Offer(now, c)
			case 2:
				now += time.Duration(rapid.IntRange(0, 40000).Draw(t, "wait")) * time.Millisecond
				d = g.HandleTimer(now)
			case 3:
				standing = nil
				d = g.Withdraw(now, "gone")
			}
			if d.Outcome == serverlist.Accepted {
				switch {
				case standing == nil || cmp.Diff(standing.Servers, d.Generation.Servers) != "":
					t.Fatalf("%v is taken, which no file holds", d.Generation.Servers)
				case !standing.Sealed && number > 0 && now < since+gatePolicy.SettleTime:
					t.Fatalf("an unsealed list is taken after %v", now-since)
				case d.Generation.Number <= number:
					t.Fatalf("generation %d follows %d", d.Generation.Number, number)
				}
				if confirmed := standing.Sealed && standing.Confirms == serverlist.Digest(inForce); !confirmed {
					left := map[int]int{}
					for _, x := range d.Generation.Servers {
						left[x.Cluster]++
					}
					for _, x := range inForce {
						if left[x.Cluster] == 0 {
							t.Fatalf("cluster %d is emptied", x.Cluster)
						}
					}
				}
				inForce, number = d.Generation.Servers, d.Generation.Number
			}
			if cur := g.Current(); cur != nil && cmp.Diff(inForce, cur.Servers) != "" || len(g.History()) > gatePolicy.MaxGenerations {
				t.Fatalf("in force is %v, and should be %v; %d are kept", cur, inForce, len(g.History()))
			}
		}
	})
}

// Applying a difference to the list before it must give the list after it, whatever moves, swaps or changes.
func TestCompare(t *testing.T) {
	swapped := serverlist.Compare(list("a@x", "b@y"), list("a@y", "b@x"))
	if len(swapped.Moved) != 2 || len(swapped.RemovedServers()) != 2 || len(swapped.NewOrChanged()) != 2 {
		t.Errorf("two servers that swap their addresses are %v", swapped)
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []serverlist.Server {
			var words []string
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, label) {
				words = append(words, fmt.Sprintf("s%d@h%d%s", n, n+rapid.SampledFrom([]int{0, 10, 20}).Draw(t, "host"),
					rapid.SampledFrom([]string{"", "/1", "!"}).Draw(t, "kind")))
			}
			return list(words...)
		}
		before, after := draw("before"), draw("after")
		d := serverlist.Compare(before, after)
		byKey := map[string]serverlist.Server{}
		for _, x := range before {
			byKey[x.Key()] = x
		}
		for _, x := range d.RemovedServers() {
			delete(byKey, x.Key())
		}
		for _, x := range d.NewOrChanged() {
			byKey[x.Key()] = x
		}
		got := slices.SortedFunc(maps.Values(byKey), func(a, b serverlist.Server) int { return strings.Compare(a.Name, b.Name) })
		if len(got)+len(after) > 0 && cmp.Diff(after, got) != "" || d.Empty() != (serverlist.Digest(before) == serverlist.Digest(after)) {
			t.Fatalf("%v and %s give %v, not %v", before, d, got, after)
		}
	})
}

// A file that is cut anywhere must be turned down, held, or read as the whole: in no case may a part of it be in force.
func TestTruncatedAnywhere(t *testing.T) {
	for name, f := range map[string]struct {
		form Form
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

type Form = inventory.Form

func candidate(form Form, text string) (serverlist.Candidate, bool) {
	c := serverlist.Candidate{Source: "f"}
	f, err := inventory.Parse(form, "mysql_port", []byte(text))
	if err == nil {
		c.Servers, err = serverlist.Check(f.Rows, serverlist.Constraints{DefaultPort: 3306})
		c.Sealed, c.EndsInNewline = f.Seal != nil, f.Ended
	}
	c.Err = err
	return c, err == nil
}

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

func TestDiffLines(t *testing.T) {
	after := list("a", "c@x", "d!")
	after[0].Weight, after[0].Zone = 5, "buda"
	got := serverlist.Compare(list("a", "b", "c", "d"), after).Lines()
	want := []string{"~ a: room none -> buda, weight 1 -> 5", "- b at b:1, room none, cluster 0, ready, weight 1",
		"- c at c:1, room none, cluster 0, ready, weight 1 (moves)", "+ c at x:1, room none, cluster 0, ready, weight 1 (moved)",
		"~ d: state ready -> draining"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if serverlist.StateName(policy.Draining) != "draining" {
		t.Error("a state's name")
	}
}
