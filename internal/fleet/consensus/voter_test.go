package consensus

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
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

// A lease passes on only when its duration is over, with a newer token; it outlives its voters' restart, one by one and all
// at once.
func TestLeaseAcrossVoters(t *testing.T) {
	g := startCluster(t, 3)
	a, b := g.client(t, "a", g.clientPeers...), g.client(t, "b", g.clientPeers...)
	first, ok := acquire(t, a, time.Minute)
	if !ok || first.Token == 0 {
		t.Fatalf("a: %+v %v", first, ok)
	}
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b: %+v %v, want a's", got, ok)
	}
	lead := g.leader(t)
	g.stop(lead)
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b, the leader gone: %+v %v, want a's", got, ok)
	}
	for i := range g.voters {
		if g.voters[i] != nil {
			g.stop(i)
		}
	}
	for i := range g.voters {
		g.start(t, i)
	}
	if got, ok := acquire(t, b, time.Minute); ok || got.Holder != "a" || got.Token != first.Token {
		t.Fatalf("b, all restarted: %+v %v, want a's", got, ok)
	}
	if err := a.Release(t.Context(), "lists"); err != nil {
		t.Fatal(err)
	}
	if got, ok := acquire(t, b, 50*time.Millisecond); !ok || got.Token <= first.Token {
		t.Fatalf("b, released: %+v %v, want a token above %d", got, ok, first.Token)
	}
	for { // b's duration of 50 ms and the clock drift go by
		if got, ok := acquire(t, a, time.Minute); ok {
			if got.Token <= first.Token {
				t.Errorf("token %d after %d", got.Token, first.Token)
			}
			break
		}
	}
}

// A leader cut off from the others can't grant leases; the majority elects another, and the old one follows once it is back.
func TestMinority(t *testing.T) {
	g := startCluster(t, 3)
	first, _ := acquire(t, g.client(t, "a", g.clientPeers...), time.Minute)
	cut := g.leader(t)
	for link, l := range g.links {
		if link[0] == cut || link[1] == cut {
			l.Set(relay.Fault{Drop: true})
		}
	}
	alone := g.client(t, "b", g.clientPeers[cut])
	for { // until it steps down it may still say who has the lease
		got, ok, err := alone.Acquire(t.Context(), "lists", time.Minute)
		if ok {
			t.Errorf("the minority decides: %+v", got)
		}
		if errors.Is(err, ErrNoLeader) {
			break
		}
	}
	others := append(append([]Peer(nil), g.clientPeers[:cut]...), g.clientPeers[cut+1:]...)
	if got, ok := acquire(t, g.client(t, "b", others...), time.Minute); ok || got.Token != first.Token {
		t.Errorf("the majority: %+v %v, want a's", got, ok)
	}
	for _, l := range g.links {
		l.Set(relay.Fault{})
	}
	if got, ok := acquire(t, g.client(t, "a", append([]Peer{g.clientPeers[cut]}, others...)...), time.Minute); !ok || got.Token != first.Token {
		t.Errorf("a, with the healed voter first: %+v %v, want its own", got, ok)
	}
}

// What is no request gets an error or a close, never a lease, and does not end the voter.
func TestMalformedRequests(t *testing.T) {
	g := startCluster(t, 1)
	for _, text := range []string{"X", "L\n", "L{}\n", "L{\"duty\":\"d\"}\n", "L" + string(make([]byte, 2*maxRequestBytes)), "R\x00\x01garbage"} {
		c, err := net.Dial("tcp", g.clientPeers[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
	if got, ok := acquire(t, g.client(t, "a", g.clientPeers...), time.Minute); !ok {
		t.Errorf("after malformed requests: %+v", got)
	}
	if _, err := Start(Options{Name: "s", ListenAddr: "127.0.0.1:0", Dir: "/dev/null/x", Voters: g.clientPeers, ElectionTimeout: electionTimeout}); err == nil {
		t.Error("a voter starts without its directory")
	}
}

// Documents are written by version and under a lease's token, read as of the last write, and outlive the leader and a restart of
// all; an old holder's write is refused.
func TestDocuments(t *testing.T) {
	g := startCluster(t, 3)
	ctx := t.Context()
	a, b := NewClientPool(2, "a", g.clientPeers, 3*electionTimeout), NewClientPool(2, "b", g.clientPeers, 3*electionTimeout)
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	put := func(c *ClientPool, key string, expect uint64, value string, f replication.Fence) (version uint64, err error) {
		t.Helper()
		for range 50 {
			if version, err = c.Put(ctx, key, expect, []byte(value), f); err == nil || errors.Is(err, replication.ErrConflict) || errors.Is(err, replication.ErrFenced) {
				return version, err
			}
		}
		t.Fatal("the voters never decide: ", err)
		return 0, nil
	}
	grant, ok := acquire(t, g.client(t, "a", g.clientPeers...), time.Second)
	if !ok {
		t.Fatal("no lease")
	}
	v1, err := put(a, "p/x", 0, "1", replication.Fence{Lease: "lists", Token: grant.Token})
	if err != nil || v1 <= grant.Token {
		t.Fatalf("version %d, %v", v1, err)
	}
	if _, err := put(b, "p/x", 0, "2", replication.Fence{}); !errors.Is(err, replication.ErrConflict) {
		t.Errorf("over a version that was not read: %v", err)
	}
	if _, err := b.Put(ctx, "p/y", 0, make([]byte, replication.MaxDocumentSize+1), replication.Fence{}); !errors.Is(err, replication.ErrTooLarge) {
		t.Errorf("too large: %v", err)
	}
	largest := make([]byte, replication.MaxDocumentSize)
	if _, err := b.Put(ctx, "p/z", 0, largest, replication.Fence{}); err != nil {
		t.Errorf("the largest: %v", err)
	}
	for { // a's duration and the clock drift go by: its token is no longer valid, though nobody else has the lease
		if _, err := put(a, "p/fenced", 0, "x", replication.Fence{Lease: "lists", Token: grant.Token}); errors.Is(err, replication.ErrFenced) {
			break
		} else if !errors.Is(err, replication.ErrConflict) && err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	lead := g.leader(t)
	g.stop(lead)
	v2, err := put(b, "p/x", v1, "2", replication.Fence{})
	if err != nil || v2 <= v1 {
		t.Fatalf("version %d after %d, %v", v2, v1, err)
	}
	read := func(what string) {
		t.Helper()
		for range 50 {
			if d, err := a.Read(ctx, "p/x"); err == nil {
				if d.Version != v2 || string(d.Value) != "2" {
					t.Errorf("%s: %+v", what, d)
				}
				return
			}
		}
		t.Errorf("%s: never read", what)
	}
	read("the old leader gone")
	for i := range g.voters {
		if g.voters[i] != nil {
			if err := g.voters[i].raft.Snapshot().Error(); err != nil {
				t.Fatal(err)
			}
			g.stop(i)
		}
	}
	for i := range g.voters {
		g.start(t, i)
	}
	read("all restarted from snapshots")
	var state replication.Snapshot
	for range 500 { // of whichever voter is asked, which may not have caught up yet
		if next, ok, err := a.Fetch(ctx, state.Version, false); err != nil {
			t.Fatal(err)
		} else if ok {
			state = next
		}
		if state.Documents["p/x"].Version == v2 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if state.Documents["p/x"].Version != v2 || len(state.Documents["p/z"].Value) != len(largest) {
		t.Errorf("fetched %d documents of version %d", len(state.Documents), state.Version)
	}
	if _, ok, err := a.Fetch(ctx, state.Version, true); ok || err != nil {
		t.Errorf("nothing newer: %v %v", ok, err)
	}
	lead = g.leader(t)
	if version, at, ok := g.voters[lead].ConfirmVersion(); !ok || version != state.Version || time.Since(at) > time.Minute {
		t.Errorf("the leader confirms %d at %v: %v", version, at, ok)
	}
	if _, _, ok := g.voters[(lead+1)%3].ConfirmVersion(); ok {
		t.Error("a voter that does not lead confirms")
	}
}

// A snapshot from before there were documents is taken over: its leases are kept, and there are no documents.
func TestOldSnapshot(t *testing.T) {
	var old lease.Lessor
	want, _ := old.Apply(lease.Command{Name: "d", Holder: "a", Duration: time.Minute, RaftTerm: 1}, 7, 1)
	text, err := old.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	now := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	if _, err := now.documents.Apply(replication.Write{Key: "k", Value: []byte("v")}, 3, &now.lessor); err != nil {
		t.Fatal(err)
	}
	snap, err := now.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := &stateMachine{onDocumentsChanged: func(replication.Snapshot) {}}
	for _, c := range []struct {
		text  []byte
		token uint64
		docs  int
	}{{text, want.Token, 0}, {snap.(encodedSnapshot), 0, 1}, {text, want.Token, 0}} {
		if err := next.Restore(io.NopCloser(bytes.NewReader(c.text))); err != nil {
			t.Fatal(err)
		}
		if _, token := next.lessor.Holder("d"); token != c.token || len(next.documents.Snapshot().Documents) != c.docs {
			t.Errorf("token %d, %d documents of %s", token, len(next.documents.Snapshot().Documents), c.text)
		}
	}
	for _, torn := range []string{"", "{", `{"table":{},"docs":{"version":1,"docs":[{"key":"a","version":2,"value":""}]}}`} {
		if err := next.Restore(io.NopCloser(strings.NewReader(torn))); err == nil {
			t.Errorf("%q is restored", torn)
		}
	}
	if _, token := next.lessor.Holder("d"); token != want.Token {
		t.Error("a snapshot that can't be decoded has changed the state")
	}
}

// A write whose first attempt got no response is not said to be refused when the second is.
func TestMaybeAppliedWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); i > 0; { // the first attempt gets no response
					if _, err := in.ReadString('\n'); err != nil {
						return
					}
					_, _ = c.Write([]byte(`{"refused":"conflict"}` + "\n"))
				}
			}()
		}
	}()
	p := Peer{"s", ln.Addr().String()}
	c := &Client{Holder: "a", Voters: []Peer{p, p, p}, Timeout: 10 * time.Second}
	defer c.Close()
	if _, err := c.Put(t.Context(), replication.Write{Key: "k"}); err == nil || errors.Is(err, replication.ErrConflict) {
		t.Errorf("after an attempt that may have been applied: %v", err)
	}
	if _, err := c.Put(t.Context(), replication.Write{Key: "k"}); !errors.Is(err, replication.ErrConflict) {
		t.Errorf("after one that says so itself: %v", err)
	}
	over, end := context.WithCancel(t.Context())
	end()
	if _, err := c.Put(over, replication.Write{Key: "k"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("ended: %v", err)
	}
}
