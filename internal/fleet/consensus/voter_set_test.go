package consensus

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// putOnce writes a document that must not exist, until it is there.
func putOnce(t *testing.T, c *ClientPool, key string) {
	t.Helper()
	for range 100 {
		if _, err := c.Put(t.Context(), key, 0, []byte("x"), replication.Fence{}); err == nil {
			return
		}
		if d, err := c.Read(t.Context(), key); err == nil && d.Version > 0 {
			return
		}
	}
	t.Fatalf("%s is never written", key)
}

// voterNames are the voters as a voter's raft engine has them; nil if it can't tell.
func voterNames(v *Voter) (names []string) {
	future := v.raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	for _, server := range future.Configuration().Servers {
		names = append(names, string(server.ID))
	}
	return names
}

// awaitVoters waits until all voters but the one removed know a set of a size without it; removed "": none is.
func (g *cluster) awaitVoters(t *testing.T, size int, removed string) {
	t.Helper()
	known := func(v *Voter) bool {
		if v == nil || v.options.Name == removed {
			return true
		}
		names := voterNames(v)
		return len(names) == size && !slices.Contains(names, removed)
	}
	for range 1000 {
		if !slices.ContainsFunc(g.voters, func(v *Voter) bool { return !known(v) }) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("not in time: all know %d voters", size)
}

// addVoters starts further voters, which join the set, and returns the peers of all.
func (g *cluster) addVoters(t *testing.T, count int) (all []Peer) {
	t.Helper()
	all = slices.Clone(g.clientPeers)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Peer{fmt.Sprint("s", len(all)), listener.Addr().String()})
		_ = listener.Close()
	}
	for i := len(g.voters); i < len(all); i++ {
		g.options = append(g.options, Options{
			Name:            all[i].Name,
			ListenAddr:      all[i].Addr,
			Dir:             t.TempDir(),
			Voters:          all,
			Join:            true,
			MaxClockDrift:   100 * time.Millisecond,
			ElectionTimeout: electionTimeout,
		})
		g.voters = append(g.voters, nil)
		g.start(t, i)
	}
	return all
}

// Two voters are added to three that run, and one of the three is removed, by files of which the newest counts wherever it is
// seen first; what was written stays, and the set then tolerates the loss of two.
func TestSetVoters(t *testing.T) {
	g := startCluster(t, 3)
	c := NewClientPool(1, "a", g.clientPeers, 3*electionTimeout)
	t.Cleanup(c.Close)
	putOnce(t, c, "p/before")
	all := g.addVoters(t, 2)
	leader := g.leader(t)
	g.voters[leader].SetVoters(1, all)
	g.awaitVoters(t, 5, "")
	removed := (leader + 1) % 3
	rest := slices.Delete(slices.Clone(all), removed, removed+1)
	for i, v := range g.voters {
		if i != removed {
			v.SetVoters(2, rest)
		}
	}
	g.voters[removed].SetVoters(1, all) // an older file
	g.awaitVoters(t, 4, all[removed].Name)
	putOnce(t, c, "p/after")
	g.stop(removed)
	g.stop(leader) // three of four are left
	d := NewClientPool(1, "b", all, 3*electionTimeout)
	t.Cleanup(d.Close)
	for range 100 {
		document, err := d.Read(t.Context(), "p/before")
		if err != nil {
			continue
		}
		if document.Version == 0 {
			t.Error("what was written before is lost")
		}
		return
	}
	t.Error("the new set never answers")
}
