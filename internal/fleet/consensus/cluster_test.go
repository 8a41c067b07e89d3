package consensus

import (
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/relay"
)

const electionTimeout = 300 * time.Millisecond

// testCluster is a set of voters in the test's process. Each voter reaches each of the others through a relay of its own, so that
// links can be cut one by one. Clients connect to the voters directly.
type testCluster struct {
	voters      []*Voter // nil for a voter that is stopped
	options     []Options
	links       map[[2]int]*relay.Link // key {i, j}: the link from voter i to voter j
	clientPeers []Peer                 // the voters' own addresses
}

// startCluster starts n voters, which are closed at the end of the test.
func startCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	cluster := &testCluster{links: map[[2]int]*relay.Link{}}
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, listener.Addr().String())
		_ = listener.Close()
	}
	for i := range n {
		voterOptions := Options{Name: fmt.Sprint("s", i), ListenAddr: addrs[i], Dir: t.TempDir(), MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: electionTimeout}
		for j := range n {
			addr := addrs[j]
			if i != j {
				link, err := relay.Listen(addr, uint64(i*n+j))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(link.Close)
				cluster.links[[2]int{i, j}], addr = link, link.Addr()
			}
			voterOptions.Voters = append(voterOptions.Voters, Peer{fmt.Sprint("s", j), addr})
		}
		cluster.options = append(cluster.options, voterOptions)
		cluster.clientPeers = append(cluster.clientPeers, Peer{voterOptions.Name, addrs[i]})
		cluster.voters = append(cluster.voters, nil)
		cluster.start(t, i)
	}
	t.Cleanup(func() {
		for _, voter := range cluster.voters {
			if voter != nil {
				voter.Close()
			}
		}
	})
	return cluster
}

// start starts voter i.
func (c *testCluster) start(t *testing.T, i int) {
	t.Helper()
	voter, err := Start(c.options[i])
	if err != nil {
		t.Fatal(err)
	}
	c.voters[i] = voter
}

// stop closes voter i.
func (c *testCluster) stop(i int) {
	c.voters[i].Close()
	c.voters[i] = nil
}

// client returns a client of the given voters, which is closed at the end of the test.
func (c *testCluster) client(t *testing.T, holder string, voters ...Peer) *Client {
	newClient := &Client{Holder: holder, Voters: voters, Timeout: 3 * electionTimeout}
	t.Cleanup(newClient.Close)
	return newClient
}

// acquire requests the lease "lists" until the voters decide, and returns the current lease and whether it was granted to the client.
func acquire(t *testing.T, client *Client, term time.Duration) (lease.Lease, bool) {
	t.Helper()
	for range 50 {
		if current, granted, err := client.Acquire(t.Context(), "lists", term); err == nil {
			return current, granted
		}
	}
	t.Fatal("the voters did not decide the request for the lease")
	return lease.Lease{}, false
}

// leader waits until a voter is the leader and has started its clock, and returns its index.
func (c *testCluster) leader(t *testing.T) int {
	t.Helper()
	for range 500 {
		for i, voter := range c.voters {
			if voter != nil {
				voter.mu.Lock()
				leading := voter.clock.RaftTerm != 0
				voter.mu.Unlock()
				if leading {
					return i
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no voter became the leader")
	return 0
}

// stopAll closes all running voters.
func (c *testCluster) stopAll() {
	for i, v := range c.voters {
		if v != nil {
			c.stop(i)
		}
	}
}

// startAll starts all voters. They must all be stopped.
func (c *testCluster) startAll(t *testing.T) {
	t.Helper()
	for i := range c.voters {
		c.start(t, i)
	}
}

// snapshotAll makes each running voter write a snapshot.
func (c *testCluster) snapshotAll(t *testing.T) {
	t.Helper()
	for _, v := range c.voters {
		if v == nil {
			continue
		}
		if err := v.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
}
