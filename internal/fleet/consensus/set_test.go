package consensus

import (
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// Two stewards are added to three under way, and one of the three is removed, by files of which the newest counts wherever it is met
// first; what was written stays, and the set bears the loss of two then.
func TestReform(t *testing.T) {
	g := start(t, 3)
	ctx := t.Context()
	c := NewClientPool(1, "a", g.outside, 3*election)
	t.Cleanup(c.Close)
	put := func(key string) {
		t.Helper()
		for range 100 {
			if _, err := c.Put(ctx, key, 0, []byte("x"), replication.Fence{}); err == nil {
				return
			}
			if d, err := c.Read(ctx, key); err == nil && d.Version > 0 {
				return
			}
		}
		t.Fatalf("%s is never written", key)
	}
	put("p/before")
	all := append([]Peer(nil), g.outside...)
	for i := 3; i < 5; i++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Peer{fmt.Sprint("s", i), ln.Addr().String()})
		_ = ln.Close()
	}
	for i := 3; i < 5; i++ {
		g.options = append(g.options, Options{Name: all[i].Name, ListenAddr: all[i].Addr, Dir: t.TempDir(), Voters: all, Join: true, MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: election})
		g.stewards = append(g.stewards, nil)
		g.run(t, i)
	}
	lead := g.leader(t)
	g.stewards[lead].SetVoters(1, all)
	names := func(n int, without string) {
		t.Helper()
		for range 1000 {
			set, has := 0, false
			for _, s := range g.stewards {
				if s == nil || s.options.Name == without {
					continue
				}
				f := s.raft.GetConfiguration()
				has, set = false, 0
				if f.Error() == nil {
					for _, v := range f.Configuration().Servers {
						set++
						has = has || string(v.ID) == without
					}
				}
				if set != n || has {
					break
				}
			}
			if set == n && !has {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("it never comes that all know %d stewards", n)
	}
	names(5, "")
	gone := (lead + 1) % 3
	var rest []Peer
	for i, p := range all {
		if i != gone {
			rest = append(rest, p)
		}
	}
	for i, s := range g.stewards {
		if i != gone {
			s.SetVoters(2, rest)
		}
	}
	g.stewards[gone].SetVoters(1, all) // on an older file
	names(4, all[gone].Name)
	put("p/after")
	g.end(gone)
	g.end(lead) // three of four are left
	c5 := NewClientPool(1, "b", all, 3*election)
	t.Cleanup(c5.Close)
	for range 100 {
		if d, err := c5.Read(ctx, "p/before"); err == nil {
			if d.Version == 0 {
				t.Error("what was written before is gone")
			}
			return
		}
	}
	t.Error("the new set never answers")
}
