package gossip

import (
	"context"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/traffic"
	"threadsail/internal/lab/relay"
)

// What one node counts as sent the other counts as received, for each kind of traffic: memberlist's own messages, the topics of
// a bus in packets and on streams, and the messages of the discovery leader.
func TestTraffic(t *testing.T) {
	var counters [2]traffic.Counter
	var nodes [2]*Node
	var addrs [2]string
	for i := range addrs {
		var err error
		if addrs[i], err = relay.FreeAddr(); err != nil {
			t.Fatal(err)
		}
	}
	for i := range nodes {
		node, err := Start(Options{Name: "n" + string(rune('0'+i)), Listen: addrs[i], Peers: []Peer{{"n0", addrs[0]}, {"n1", addrs[1]}},
			OnMessage: func([]byte) {}, Traffic: &counters[i]}, Meta{})
		if err != nil {
			t.Fatal(err)
		}
		defer node.Close()
		nodes[i] = node
	}
	await(t, "each node sees both nodes", func() bool { return len(nodes[0].Members()) == 2 && len(nodes[1].Members()) == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := nodes[0].Bus().Send(ctx, "n1", "part/ask", []byte(strings.Repeat("x", 300))); err != nil {
		t.Fatal(err)
	}
	nodes[0].Bus().Broadcast("part/word", []byte("y"))
	nodes[0].Broadcast("lists", []byte(`{"kind":"word","word":{}}`), time.Now().Add(time.Minute))
	await(t, "both nodes have counted all messages", func() bool { return trafficCounted(&counters[0], &counters[1]) })
	for i := range counters {
		if c := countOf(&counters[i], traffic.Other); c.MessagesIn+c.MessagesOut > 0 {
			t.Errorf("node %d counted traffic of an unknown kind: %+v", i, c)
		}
	}
}

// trafficCounted reports whether both nodes of TestTraffic have counted all that the first one has sent.
func trafficCounted(first, second *traffic.Counter) bool {
	sent, received := countOf(first, "part/ask"), countOf(second, "part/ask")
	largeMessage := sent.BytesOut > 300 && sent.BytesOut == received.BytesIn && sent.MessagesOut == 1 && received.MessagesIn == 1
	busBroadcast := countOf(first, "part/word").BytesOut > 0 && countOf(second, "part/word").BytesIn > 0
	broadcast := countOf(first, "duty/word").MessagesOut > 0 && countOf(second, "duty/word").MessagesIn > 0
	probes := countOf(first, "ping").MessagesOut > 0 && countOf(first, "ack").BytesIn > 0
	exchange := countOf(first, "push_pull").BytesOut+countOf(second, "push_pull").BytesOut > 0
	frames := countOf(first, "frame").BytesIn > 0
	return largeMessage && busBroadcast && broadcast && probes && exchange && frames
}

// countOf returns the count of a kind of traffic.
func countOf(counter *traffic.Counter, kind string) traffic.Count {
	for _, count := range counter.Snapshot() {
		if count.Kind == kind {
			return count
		}
	}
	return traffic.Count{}
}

// The counted bytes of any packet, even a malformed one, add up to its size.
func FuzzCountPacket(f *testing.F) {
	f.Add([]byte{typeCRC, 1, 2, 3, 4, typeCompound, 2, 0, 1, 0, 2, 0, 2, 2})
	f.Add([]byte{typeCompound, 200, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		sum := 0
		countPacket(b, func(_ string, _, bytes int) { sum += bytes })
		if sum != len(b) {
			t.Errorf("%d bytes are counted, want %d", sum, len(b))
		}
	})
}
