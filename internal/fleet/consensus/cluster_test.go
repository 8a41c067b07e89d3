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

// cluster is a set of voters of this process, each behind a relay of its own on every link.
type cluster struct {
	voters      []*Voter
	options     []Options
	links       map[[2]int]*relay.Link // from voter i to voter j
	clientPeers []Peer                 // as a pooler reaches them
}

func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	g := &cluster{links: map[[2]int]*relay.Link{}}
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, ln.Addr().String())
		_ = ln.Close()
	}
	for i := range n {
		o := Options{Name: fmt.Sprint("s", i), ListenAddr: addrs[i], Dir: t.TempDir(), MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: electionTimeout}
		for j := range n {
			addr := addrs[j]
			if i != j {
				l, err := relay.Listen(addr, uint64(i*n+j))
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(l.Close)
				g.links[[2]int{i, j}], addr = l, l.Addr()
			}
			o.Voters = append(o.Voters, Peer{fmt.Sprint("s", j), addr})
		}
		g.options = append(g.options, o)
		g.clientPeers = append(g.clientPeers, Peer{o.Name, addrs[i]})
		g.voters = append(g.voters, nil)
		g.start(t, i)
	}
	t.Cleanup(func() {
		for _, s := range g.voters {
			if s != nil {
				s.Close()
			}
		}
	})
	return g
}

func (g *cluster) start(t *testing.T, i int) {
	t.Helper()
	s, err := Start(g.options[i])
	if err != nil {
		t.Fatal(err)
	}
	g.voters[i] = s
}

func (g *cluster) stop(i int) {
	g.voters[i].Close()
	g.voters[i] = nil
}

func (g *cluster) client(t *testing.T, holder string, voters ...Peer) *Client {
	c := &Client{Holder: holder, Voters: voters, Timeout: 3 * electionTimeout}
	t.Cleanup(c.Close)
	return c
}

// acquire requests the lease until the voters decide.
func acquire(t *testing.T, c *Client, term time.Duration) (lease.Lease, bool) {
	t.Helper()
	for range 50 {
		if g, ok, err := c.Acquire(t.Context(), "lists", term); err == nil {
			return g, ok
		}
	}
	t.Fatal("the voters never decide")
	return lease.Lease{}, false
}

func (g *cluster) leader(t *testing.T) int {
	t.Helper()
	for range 500 {
		for i, s := range g.voters {
			if s != nil {
				s.mu.Lock()
				leading := s.clock.RaftTerm != 0
				s.mu.Unlock()
				if leading {
					return i
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no voter leads")
	return 0
}

// stopAll stops the voters that run.
func (g *cluster) stopAll() {
	for i, v := range g.voters {
		if v != nil {
			g.stop(i)
		}
	}
}

// startAll starts all voters again, which are stopped.
func (g *cluster) startAll(t *testing.T) {
	t.Helper()
	for i := range g.voters {
		g.start(t, i)
	}
}

// snapshotAll has each voter that runs write a snapshot.
func (g *cluster) snapshotAll(t *testing.T) {
	t.Helper()
	for _, v := range g.voters {
		if v == nil {
			continue
		}
		if err := v.raft.Snapshot().Error(); err != nil {
			t.Fatal(err)
		}
	}
}
