package consensus

import (
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// Two voters are added to three that run, and one of the three is removed, by files of which the newest counts wherever it is seen
// first; what was written stays, and the set then tolerates the loss of two.
func TestSetVoters(t *testing.T) {
	g := startCluster(t, 3)
	ctx := t.Context()
	c := NewClientPool(1, "a", g.clientPeers, 3*electionTimeout)
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
	all := append([]Peer(nil), g.clientPeers...)
	for i := 3; i < 5; i++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Peer{fmt.Sprint("s", i), ln.Addr().String()})
		_ = ln.Close()
	}
	for i := 3; i < 5; i++ {
		g.options = append(g.options, Options{Name: all[i].Name, ListenAddr: all[i].Addr, Dir: t.TempDir(), Voters: all, Join: true, MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: electionTimeout})
		g.voters = append(g.voters, nil)
		g.start(t, i)
	}
	lead := g.leader(t)
	g.voters[lead].SetVoters(1, all)
	awaitVoters := func(n int, without string) {
		t.Helper()
		for range 1000 {
			count, found := 0, false
			for _, s := range g.voters {
				if s == nil || s.options.Name == without {
					continue
				}
				f := s.raft.GetConfiguration()
				count, found = 0, false
				if f.Error() == nil {
					for _, v := range f.Configuration().Servers {
						count++
						found = found || string(v.ID) == without
					}
				}
				if count != n || found {
					break
				}
			}
			if count == n && !found {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		t.Fatalf("not in time: all know %d voters", n)
	}
	awaitVoters(5, "")
	removed := (lead + 1) % 3
	var rest []Peer
	for i, p := range all {
		if i != removed {
			rest = append(rest, p)
		}
	}
	for i, s := range g.voters {
		if i != removed {
			s.SetVoters(2, rest)
		}
	}
	g.voters[removed].SetVoters(1, all) // on an older file
	awaitVoters(4, all[removed].Name)
	put("p/after")
	g.stop(removed)
	g.stop(lead) // three of four are left
	c5 := NewClientPool(1, "b", all, 3*electionTimeout)
	t.Cleanup(c5.Close)
	for range 100 {
		if d, err := c5.Read(ctx, "p/before"); err == nil {
			if d.Version == 0 {
				t.Error("what was written before is lost")
			}
			return
		}
	}
	t.Error("the new set never answers")
}
