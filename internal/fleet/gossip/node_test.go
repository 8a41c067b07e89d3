package gossip

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/lab/relay"
)

// cluster is some nodes of this process, each reached by each other through a relay of its own.
type cluster struct {
	nodes    []*Node
	messages []chan string // that each has received
	links    map[[2]int]*relay.Link
}

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
		o := Options{Name: fmt.Sprint("n", i), Listen: addrs[i], OnMessage: func(text []byte) { messages <- string(text) }}
		for j := range n {
			if i == j {
				continue
			}
			l, err := relay.ListenBoth(addrs[j], uint64(i*n+j))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			c.links[[2]int{i, j}] = l
			o.Peers = append(o.Peers, Peer{fmt.Sprint("n", j), l.Addr()})
		}
		p, err := Start(o, Meta{Build: "b1"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		c.nodes = append(c.nodes, p)
		c.messages = append(c.messages, messages)
	}
	return c
}

// await waits until what must come has come.
func await(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// allKnowAll reports whether each node considers all nodes alive.
func (c *cluster) allKnowAll() bool {
	for _, n := range c.nodes {
		if len(n.Members()) != len(c.nodes) {
			return false
		}
	}
	return true
}

// Nodes find each other through relays, receive messages and versions, see one that is cut off leave, and find it again.
func TestMembership(t *testing.T) {
	c := startCluster(t, 3)
	await(t, "all know all", c.allKnowAll)
	if c.nodes[0].Broadcast("lists", []byte("late"), time.Now()) {
		t.Error("a broadcast is complete after its deadline")
	}
	c.nodes[0].Broadcast("lists", []byte("word"), time.Now().Add(time.Minute))
	for i := 1; i < 3; i++ {
		if got := <-c.messages[i]; got != "word" {
			t.Errorf("node %d receives %q", i, got)
		}
	}
	if err := c.nodes[1].Send("n2", []byte("to you")); err != nil {
		t.Error(err)
	}
	if got := <-c.messages[2]; got != "to you" {
		t.Errorf("node 2 receives %q", got)
	}
	if err := c.nodes[1].Send("nobody", nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("to nobody: %v", err)
	}
	c.nodes[2].SetMeta(Meta{Build: "b2", Token: 7, Sequence: 3})
	await(t, "versions are known", func() bool {
		m := c.nodes[0].Members()
		return len(m) == 3 && m[2].Meta == Meta{Build: "b2", Token: 7, Sequence: 3}
	})
	set := func(fault relay.Fault) {
		for link, l := range c.links {
			if link[0] == 2 || link[1] == 2 {
				l.Set(fault)
			}
		}
	}
	set(relay.Fault{Drop: true})
	await(t, "the node cut off is considered dead", func() bool { return len(c.nodes[0].Members()) == 2 && len(c.nodes[2].Members()) == 1 })
	set(relay.Fault{})
	await(t, "all know all again", c.allKnowAll)
}

// A meta that memberlist has taken is not published again, whether or not it has been passed on yet.
func TestMetaIsPublishedOnce(t *testing.T) {
	c := startCluster(t, 3)
	await(t, "all know all", c.allKnowAll)
	m := c.nodes[0]
	for i := range 20 {
		m.mu.Lock()
		m.meta, m.metaChanged = Meta{Build: fmt.Sprint("b", i)}, false
		m.mu.Unlock()
		m.publishMeta()
		m.mu.Lock()
		again := m.metaChanged
		m.mu.Unlock()
		if again {
			t.Errorf("meta %d is to be published again", i)
		}
	}
}

func TestInvalidAddresses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, o := range []Options{{Name: "a", Listen: "nowhere"}, {Name: "a", Listen: "localhost:0"}, {Name: "a", Listen: ln.Addr().String()},
		{Name: "a", Listen: "127.0.0.1:0", Advertise: "nowhere"}} {
		if p, err := Start(o, Meta{}); err == nil {
			p.Close()
			t.Errorf("%+v starts", o)
		}
	}
}
