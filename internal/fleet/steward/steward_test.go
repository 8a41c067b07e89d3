package steward

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/relay"
)

const election = 300 * time.Millisecond

// group is a set of stewards of this process, each behind a relay of its own on every link.
type group struct {
	stewards []*Steward
	options  []Options
	links    map[[2]int]*relay.Link // from steward i to steward j
	outside  []Peer                 // as a pooler reaches them
}

func start(t *testing.T, n int) *group {
	t.Helper()
	g := &group{links: map[[2]int]*relay.Link{}}
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
		o := Options{Name: fmt.Sprint("s", i), Listen: addrs[i], Dir: t.TempDir(), Drift: 100 * time.Millisecond, Election: election}
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
			o.Stewards = append(o.Stewards, Peer{fmt.Sprint("s", j), addr})
		}
		g.options = append(g.options, o)
		g.outside = append(g.outside, Peer{o.Name, addrs[i]})
		g.stewards = append(g.stewards, nil)
		g.run(t, i)
	}
	t.Cleanup(func() {
		for _, s := range g.stewards {
			if s != nil {
				s.Close()
			}
		}
	})
	return g
}

func (g *group) run(t *testing.T, i int) {
	t.Helper()
	s, err := Start(g.options[i])
	if err != nil {
		t.Fatal(err)
	}
	g.stewards[i] = s
}

func (g *group) end(i int) {
	g.stewards[i].Close()
	g.stewards[i] = nil
}

func (g *group) client(t *testing.T, holder string, stewards ...Peer) *Client {
	c := &Client{Holder: holder, Stewards: stewards, Timeout: 3 * election}
	t.Cleanup(c.Close)
	return c
}

// acquire asks until the stewards decide.
func acquire(t *testing.T, c *Client, term time.Duration) (lease.Grant, bool) {
	t.Helper()
	for range 50 {
		if g, ok, err := c.Acquire("lists", term); err == nil {
			return g, ok
		}
	}
	t.Fatal("the stewards never decide")
	return lease.Grant{}, false
}

func (g *group) leader(t *testing.T) int {
	t.Helper()
	for range 500 {
		for i, s := range g.stewards {
			if s != nil {
				s.mu.Lock()
				leads := s.clock.Epoch != 0
				s.mu.Unlock()
				if leads {
					return i
				}
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no steward leads")
	return 0
}

// A lease passes on only when its term is over, with a newer token; it outlives its stewards' restart, one by one and all
// at once.
func TestLeaseAcrossStewards(t *testing.T) {
	g := start(t, 3)
	a, b := g.client(t, "a", g.outside...), g.client(t, "b", g.outside...)
	first, ok := acquire(t, a, time.Minute)
	if !ok || first.Token == 0 {
		t.Fatalf("a: %+v %v", first, ok)
	}
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b: %+v %v, want a's", got, ok)
	}
	lead := g.leader(t)
	g.end(lead)
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b, the leader gone: %+v %v, want a's", got, ok)
	}
	for i := range g.stewards {
		if g.stewards[i] != nil {
			g.end(i)
		}
	}
	for i := range g.stewards {
		g.run(t, i)
	}
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b, all restarted: %+v %v, want a's", got, ok)
	}
	if err := a.Release("lists"); err != nil {
		t.Fatal(err)
	}
	if got, ok := acquire(t, b, 50*time.Millisecond); !ok || got.Token <= first.Token {
		t.Fatalf("b, released: %+v %v, want a token above %d", got, ok, first.Token)
	}
	for { // b's term of 50 ms and the drift go by
		if got, ok := acquire(t, a, time.Minute); ok {
			if got.Token <= first.Token {
				t.Errorf("token %d after %d", got.Token, first.Token)
			}
			break
		}
	}
}

// A leader cut off from the others can't give leases; the majority elects another, and the old one follows once it is back.
func TestMinority(t *testing.T) {
	g := start(t, 3)
	first, _ := acquire(t, g.client(t, "a", g.outside...), time.Minute)
	cut := g.leader(t)
	for link, l := range g.links {
		if link[0] == cut || link[1] == cut {
			l.Set(relay.Fault{Drop: true})
		}
	}
	if got, ok, err := g.client(t, "b", g.outside[cut]).Acquire("lists", time.Minute); ok || !errors.Is(err, ErrNoLeader) {
		t.Errorf("the minority decides: %+v %v %v", got, ok, err)
	}
	others := append(append([]Peer(nil), g.outside[:cut]...), g.outside[cut+1:]...)
	if got, ok := acquire(t, g.client(t, "b", others...), time.Minute); ok || got.Token != first.Token {
		t.Errorf("the majority: %+v %v, want a's", got, ok)
	}
	for _, l := range g.links {
		l.Set(relay.Fault{})
	}
	if got, ok := acquire(t, g.client(t, "a", append([]Peer{g.outside[cut]}, others...)...), time.Minute); !ok || got.Token != first.Token {
		t.Errorf("a, asking the healed one first: %+v %v, want its own", got, ok)
	}
}

// What is no request gets an error or a close, never a lease, and does not end the steward.
func TestBadCallers(t *testing.T) {
	g := start(t, 1)
	for _, text := range []string{"X", "L\n", "L{}\n", "L{\"duty\":\"d\"}\n", "L" + string(make([]byte, 2*maxLine)), "R\x00\x01garbage"} {
		c, err := net.Dial("tcp", g.outside[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
	if got, ok := acquire(t, g.client(t, "a", g.outside...), time.Minute); !ok {
		t.Errorf("after bad callers: %+v", got)
	}
	if _, err := Start(Options{Name: "s", Listen: "127.0.0.1:0", Dir: "/dev/null/x", Stewards: g.outside, Election: election}); err == nil {
		t.Error("a steward starts without its folder")
	}
}
