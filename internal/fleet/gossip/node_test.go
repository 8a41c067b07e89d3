package gossip

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/lab/relay"
)

// cluster is a set of nodes in this process. Each node reaches each other node through a separate relay.
type cluster struct {
	nodes    []*Node
	messages []chan string          // received messages by node
	links    map[[2]int]*relay.Link // by sending and receiving node
}

// startCluster starts n nodes, which are closed at the end of the test.
func startCluster(t *testing.T, n int) *cluster {
	t.Helper()
	c := &cluster{links: map[[2]int]*relay.Link{}}
	var addrs []string
	for range n {
		addr, err := relay.FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, addr)
	}
	for i := range n {
		messages := make(chan string, 1000)
		options := Options{Name: fmt.Sprint("n", i), Listen: addrs[i], OnMessage: func(message []byte) { messages <- string(message) }}
		for j := range n {
			if i == j {
				continue
			}
			link, err := relay.ListenBoth(addrs[j], uint64(i*n+j))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(link.Close)
			c.links[[2]int{i, j}] = link
			options.Peers = append(options.Peers, Peer{fmt.Sprint("n", j), link.Addr()})
		}
		node, err := Start(options, Meta{Build: "b1"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(node.Close)
		c.nodes = append(c.nodes, node)
		c.messages = append(c.messages, messages)
	}
	return c
}

// await waits until done returns true, and fails the test after a minute.
func await(t *testing.T, condition string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout while waiting until %s", condition)
		}
	}
}

// allSeeAll reports whether each node considers all nodes alive.
func (c *cluster) allSeeAll() bool {
	for _, n := range c.nodes {
		if len(n.Members()) != len(c.nodes) {
			return false
		}
	}
	return true
}

// Nodes join each other through relays and exchange messages and versions. A node that is cut off is considered dead, and
// rejoins when the cut ends.
func TestMembership(t *testing.T) {
	c := startCluster(t, 3)
	await(t, "every node sees all nodes", c.allSeeAll)
	if c.nodes[0].Broadcast("lists", []byte("late"), time.Now()) {
		t.Error("a broadcast after its deadline was reported as complete")
	}
	c.nodes[0].Broadcast("lists", []byte("word"), time.Now().Add(time.Minute))
	for i := 1; i < 3; i++ {
		if got := <-c.messages[i]; got != "word" {
			t.Errorf("node %d received %q", i, got)
		}
	}
	if err := c.nodes[1].Send("n2", []byte("to you")); err != nil {
		t.Error(err)
	}
	if got := <-c.messages[2]; got != "to you" {
		t.Errorf("node 2 received %q", got)
	}
	if err := c.nodes[1].Send("nobody", nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("sending to an unknown pooler: got error %v, want ErrUnknownMember", err)
	}
	c.nodes[2].SetMeta(Meta{Build: "b2", Token: 7, Sequence: 3})
	await(t, "the new version is known", func() bool {
		members := c.nodes[0].Members()
		return len(members) == 3 && members[2].Meta == Meta{Build: "b2", Token: 7, Sequence: 3}
	})
	setFault := func(fault relay.Fault) {
		for ends, link := range c.links {
			if ends[0] == 2 || ends[1] == 2 {
				link.Set(fault)
			}
		}
	}
	setFault(relay.Fault{Drop: true})
	await(t, "the node that is cut off is considered dead", func() bool { return len(c.nodes[0].Members()) == 2 && len(c.nodes[2].Members()) == 1 })
	setFault(relay.Fault{})
	await(t, "every node sees all nodes again", c.allSeeAll)
}

// A meta that memberlist has accepted is not published again, whether or not it has been gossiped yet.
func TestMetaIsPublishedOnce(t *testing.T) {
	c := startCluster(t, 3)
	await(t, "every node sees all nodes", c.allSeeAll)
	node := c.nodes[0]
	for i := range 20 {
		node.mu.Lock()
		node.meta, node.metaChanged = Meta{Build: fmt.Sprint("b", i)}, false
		node.mu.Unlock()
		node.publishMeta()
		node.mu.Lock()
		changed := node.metaChanged
		node.mu.Unlock()
		if changed {
			t.Errorf("meta %d is marked for another publication", i)
		}
	}
}

func TestInvalidAddresses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, options := range []Options{{Name: "a", Listen: "nowhere"}, {Name: "a", Listen: "localhost:0"}, {Name: "a", Listen: ln.Addr().String()},
		{Name: "a", Listen: "127.0.0.1:0", Advertise: "nowhere"}} {
		if node, err := Start(options, Meta{}); err == nil {
			node.Close()
			t.Errorf("a node started with invalid options %+v", options)
		}
	}
}
