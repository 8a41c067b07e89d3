package gossip

import (
	"context"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/traffic"
	"threadsail/internal/lab/relay"
)

// What one node counts as sent the other counts as received, by its kind: memberlist's own, a bus's topics over packets and over
// streams, and the discovery leader's.
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
		p, err := Start(Options{Name: "n" + string(rune('0'+i)), Listen: addrs[i], Peers: []Peer{{"n0", addrs[0]}, {"n1", addrs[1]}},
			OnMessage: func([]byte) {}, Traffic: &counters[i]}, Meta{})
		if err != nil {
			t.Fatal(err)
		}
		defer p.Close()
		nodes[i] = p
	}
	await(t, "both know both", func() bool { return len(nodes[0].Members()) == 2 && len(nodes[1].Members()) == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := nodes[0].Bus().Send(ctx, "n1", "part/ask", []byte(strings.Repeat("x", 300))); err != nil {
		t.Fatal(err)
	}
	nodes[0].Bus().Broadcast("part/word", []byte("y"))
	nodes[0].Broadcast("lists", []byte(`{"kind":"word","word":{}}`), time.Now().Add(time.Minute))
	await(t, "all of it is counted", func() bool { return trafficCounted(&counters[0], &counters[1]) })
	for i := range counters {
		if c := countOf(&counters[i], traffic.Other); c.MessagesIn+c.MessagesOut > 0 {
			t.Errorf("node %d has no kind for %+v", i, c)
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

// countOf is what a counter has of a kind.
func countOf(counter *traffic.Counter, kind string) traffic.Count {
	for _, c := range counter.Snapshot() {
		if c.Kind == kind {
			return c
		}
	}
	return traffic.Count{}
}

// No packet is counted as more or less than it is, whatever it holds.
func FuzzCountPacket(f *testing.F) {
	f.Add([]byte{typeCRC, 1, 2, 3, 4, typeCompound, 2, 0, 1, 0, 2, 0, 2, 2})
	f.Add([]byte{typeCompound, 200, 1})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		sum := 0
		countPacket(b, func(_ string, _, bytes int) { sum += bytes })
		if sum != len(b) {
			t.Errorf("%d of %d bytes are counted", sum, len(b))
		}
	})
}
