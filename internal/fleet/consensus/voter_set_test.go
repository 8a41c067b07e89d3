package consensus

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// putOnce creates a document, retrying until the document exists.
func putOnce(t *testing.T, client *ClientPool, key string) {
	t.Helper()
	for range 100 {
		if _, err := client.Put(t.Context(), key, 0, []byte("x"), replication.Fence{}); err == nil {
			return
		}
		if document, err := client.Read(t.Context(), key); err == nil && document.Version > 0 {
			return
		}
	}
	t.Fatalf("document %s was not written", key)
}

// voterNames returns the names of the voters in a voter's raft configuration, or nil if the engine does not return it.
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

// awaitVoters waits until the configurations of all running voters have the given size and lack the removed voter. The configuration
// of the removed voter itself is ignored. removed is empty if no voter was removed.
func (c *testCluster) awaitVoters(t *testing.T, size int, removed string) {
	t.Helper()
	reached := func(v *Voter) bool {
		if v == nil || v.options.Name == removed {
			return true
		}
		names := voterNames(v)
		return len(names) == size && !slices.Contains(names, removed)
	}
	for range 1000 {
		if !slices.ContainsFunc(c.voters, func(v *Voter) bool { return !reached(v) }) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timeout: not all voters have a configuration of %d voters", size)
}

// addVoters starts further voters, which join the cluster, and returns the peers of all voters.
func (c *testCluster) addVoters(t *testing.T, count int) (all []Peer) {
	t.Helper()
	all = slices.Clone(c.clientPeers)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, Peer{fmt.Sprint("s", len(all)), listener.Addr().String()})
		_ = listener.Close()
	}
	for i := len(c.voters); i < len(all); i++ {
		c.options = append(c.options, Options{
			Name:            all[i].Name,
			ListenAddr:      all[i].Addr,
			Dir:             t.TempDir(),
			Voters:          all,
			Join:            true,
			MaxClockDrift:   100 * time.Millisecond,
			ElectionTimeout: electionTimeout,
		})
		c.voters = append(c.voters, nil)
		c.start(t, i)
	}
	return all
}

// Two voters are added to a cluster of three and one of the original voters is removed, while voters have files of different revisions.
// The newest revision wins, whichever voter has it. Documents are kept, and with the removed voter stopped the cluster of four
// tolerates the loss of another voter.
func TestSetVoters(t *testing.T) {
	cluster := startCluster(t, 3)
	client := NewClientPool(1, "a", cluster.clientPeers, 3*electionTimeout)
	t.Cleanup(client.Close)
	putOnce(t, client, "p/before")
	all := cluster.addVoters(t, 2)
	leader := cluster.leader(t)
	cluster.voters[leader].SetVoters(1, all)
	cluster.awaitVoters(t, 5, "")
	removed := (leader + 1) % 3
	remaining := slices.Delete(slices.Clone(all), removed, removed+1)
	for i, v := range cluster.voters {
		if i != removed {
			v.SetVoters(2, remaining)
		}
	}
	cluster.voters[removed].SetVoters(1, all) // an older revision
	cluster.awaitVoters(t, 4, all[removed].Name)
	putOnce(t, client, "p/after")
	cluster.stop(removed)
	cluster.stop(leader) // three of four are left
	newClient := NewClientPool(1, "b", all, 3*electionTimeout)
	t.Cleanup(newClient.Close)
	for range 100 {
		document, err := newClient.Read(t.Context(), "p/before")
		if err != nil {
			continue
		}
		if document.Version == 0 {
			t.Error("the document written before the changes is lost")
		}
		return
	}
	t.Error("no leader responded after the changes")
}
