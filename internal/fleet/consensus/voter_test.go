package consensus

import (
	"errors"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/relay"
)

// expectHeldBy checks that a request of another pooler is denied, by the lease that its holder has.
func expectHeldBy(t *testing.T, other *Client, held lease.Lease, when string) {
	t.Helper()
	if got, ok := acquire(t, other, time.Minute); ok || got.Holder != held.Holder || got.Token != held.Token {
		t.Fatalf("%s, %s: %+v %v, want %s's by token %d", other.Holder, when, got, ok, held.Holder, held.Token)
	}
}

// A lease passes on only when its duration is over, with a newer token; it outlives its voters' restart, one by one and all
// at once.
func TestLeaseAcrossVoters(t *testing.T) {
	g := startCluster(t, 3)
	a, b := g.client(t, "a", g.clientPeers...), g.client(t, "b", g.clientPeers...)
	first, ok := acquire(t, a, time.Minute)
	if !ok || first.Holder != "a" || first.Token == 0 {
		t.Fatalf("a: %+v %v", first, ok)
	}
	expectHeldBy(t, b, first, "at first")
	g.stop(g.leader(t))
	expectHeldBy(t, b, first, "the leader stopped")
	g.stopAll()
	g.startAll(t)
	expectHeldBy(t, b, first, "all restarted")
	if err := a.Release(t.Context(), "lists"); err != nil {
		t.Fatal(err)
	}
	if got, ok := acquire(t, b, 50*time.Millisecond); !ok || got.Token <= first.Token {
		t.Fatalf("b, released: %+v %v, want a token above %d", got, ok, first.Token)
	}
	for { // b's duration of 50 ms and the clock drift go by
		got, ok := acquire(t, a, time.Minute)
		if !ok {
			continue
		}
		if got.Token <= first.Token {
			t.Errorf("token %d after %d", got.Token, first.Token)
		}
		return
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
