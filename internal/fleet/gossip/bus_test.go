package gossip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"threadsail/internal/fleet/bus"
)

// Messages to one pooler and to all poolers arrive with the name of their sender, and the newest message of a topic arrives
// last.
func TestBus(t *testing.T) {
	c := startCluster(t, 3)
	received := make(chan string, 1000)
	for i, node := range c.nodes {
		node.Bus().Handle("t", func(from string, body []byte) { received <- fmt.Sprint(from, ">", i, " ", string(body)) })
	}
	await(t, "every node sees all nodes", c.allSeeAll)
	if err := c.nodes[0].Bus().Send(t.Context(), "n2", "t", []byte("to one")); err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != "n0>2 to one" {
		t.Error(got)
	}
	if err := c.nodes[0].Bus().Send(t.Context(), "n0", "t", []byte("to itself")); err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != "n0>0 to itself" {
		t.Error(got)
	}
	if err := c.nodes[0].Bus().Send(t.Context(), "nobody", "t", nil); !errors.Is(err, bus.ErrUnknownMember) {
		t.Errorf("sending to an unknown pooler: got error %v, want bus.ErrUnknownMember", err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.nodes[0].Bus().Send(canceled, "n1", "none", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("sending with a canceled context: got error %v, want context.Canceled", err)
	}
	for i := range 20 {
		c.nodes[1].Bus().Broadcast("t", fmt.Append(nil, i))
	}
	for delivered := map[string]bool{}; !delivered["n1>0 19"] || !delivered["n1>2 19"]; {
		delivered[<-received] = true
	}
	if got := c.nodes[0].Bus().Members(); len(got) == 0 || got[0] != "n0" {
		t.Errorf("got members %v, want n0 first", got)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	encoded, _ := encodeMessage("n1", "t", []byte("body"))
	f.Add(encoded)
	f.Add([]byte{busMessageMarker, 200, 1})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, message []byte) {
		from, topic, body, err := decodeMessage(message)
		if err != nil {
			return
		}
		reencoded, err := encodeMessage(from, topic, body)
		if err != nil {
			t.Fatal(err)
		}
		from2, topic2, body2, err := decodeMessage(reencoded)
		if err != nil || from2 != from || topic2 != topic || !bytes.Equal(body2, body) {
			t.Errorf("encoding and decoding %q, %q, %q returns %q, %q, %q, %v", from, topic, body, from2, topic2, body2, err)
		}
	})
}
