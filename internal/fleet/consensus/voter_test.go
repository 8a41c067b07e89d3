package consensus

import (
	"errors"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/lab/relay"
)

// expectHeldBy checks that a request for the lease is denied because the lease is still held.
func expectHeldBy(t *testing.T, client *Client, held lease.Lease, situation string) {
	t.Helper()
	if got, granted := acquire(t, client, time.Minute); granted || got.Holder != held.Holder || got.Token != held.Token {
		t.Fatalf("%s requested the lease %s: %+v, granted %v, want that of %s with token %d", client.Holder, situation, got, granted, held.Holder, held.Token)
	}
}

// A lease survives the loss of the leader and a restart of all voters. It passes to another holder only after its release or the end
// of its duration, and then with a newer token.
func TestLeaseAcrossVoters(t *testing.T) {
	cluster := startCluster(t, 3)
	a, b := cluster.client(t, "a", cluster.clientPeers...), cluster.client(t, "b", cluster.clientPeers...)
	first, ok := acquire(t, a, time.Minute)
	if !ok || first.Holder != "a" || first.Token == 0 {
		t.Fatalf("a: %+v %v", first, ok)
	}
	expectHeldBy(t, b, first, "while the first holder has it")
	cluster.stop(cluster.leader(t))
	expectHeldBy(t, b, first, "after the leader was stopped")
	cluster.stopAll()
	cluster.startAll(t)
	expectHeldBy(t, b, first, "after all voters restarted")
	if err := a.Release(t.Context(), "lists"); err != nil {
		t.Fatal(err)
	}
	if got, ok := acquire(t, b, 50*time.Millisecond); !ok || got.Token <= first.Token {
		t.Fatalf("b requested the released lease: %+v, granted %v, want a token above %d", got, ok, first.Token)
	}
	for { // until b's lease of 50 ms and the clock drift have passed
		got, ok := acquire(t, a, time.Minute)
		if !ok {
			continue
		}
		if got.Token <= first.Token {
			t.Errorf("got token %d after token %d", got.Token, first.Token)
		}
		return
	}
}

// A leader that is partitioned from the other voters can't grant leases. The majority elects a new leader, and the old one becomes a
// follower once the partition heals.
func TestMinority(t *testing.T) {
	cluster := startCluster(t, 3)
	first, _ := acquire(t, cluster.client(t, "a", cluster.clientPeers...), time.Minute)
	isolated := cluster.leader(t)
	for endpoints, link := range cluster.links {
		if endpoints[0] == isolated || endpoints[1] == isolated {
			link.Set(relay.Fault{Drop: true})
		}
	}
	minority := cluster.client(t, "b", cluster.clientPeers[isolated])
	for { // it may still return the current lease until it steps down
		got, ok, err := minority.Acquire(t.Context(), "lists", time.Minute)
		if ok {
			t.Errorf("the minority granted a lease: %+v", got)
		}
		if errors.Is(err, ErrNoLeader) {
			break
		}
	}
	majority := append(append([]Peer(nil), cluster.clientPeers[:isolated]...), cluster.clientPeers[isolated+1:]...)
	if got, ok := acquire(t, cluster.client(t, "b", majority...), time.Minute); ok || got.Token != first.Token {
		t.Errorf("the majority returned %+v, granted %v, want the lease of a", got, ok)
	}
	for _, link := range cluster.links {
		link.Set(relay.Fault{})
	}
	if got, ok := acquire(t, cluster.client(t, "a", append([]Peer{cluster.clientPeers[isolated]}, majority...)...), time.Minute); !ok || got.Token != first.Token {
		t.Errorf("a requested its lease from the rejoined voter: %+v, granted %v, want its own lease", got, ok)
	}
}

// Malformed requests do not stop the voter from serving well-formed ones.
func TestMalformedRequests(t *testing.T) {
	cluster := startCluster(t, 1)
	for _, input := range []string{"X", "L\n", "L{}\n", "L{\"duty\":\"d\"}\n", "L" + string(make([]byte, 2*maxRequestBytes)), "R\x00\x01garbage"} {
		conn, err := net.Dial("tcp", cluster.clientPeers[0].Addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(input))
		_ = conn.Close()
	}
	if got, ok := acquire(t, cluster.client(t, "a", cluster.clientPeers...), time.Minute); !ok {
		t.Errorf("the lease was not granted after malformed requests: %+v", got)
	}
	if _, err := Start(Options{Name: "s", ListenAddr: "127.0.0.1:0", Dir: "/dev/null/x", Voters: cluster.clientPeers, ElectionTimeout: electionTimeout}); err == nil {
		t.Error("a voter started without its directory")
	}
}
