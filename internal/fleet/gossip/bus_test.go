package gossip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"

	"threadsail/internal/fleet/bus"
)

// Messages to one and to all arrive with their sender, the newest of a topic last.
func TestBus(t *testing.T) {
	c := startCluster(t, 3)
	received := make(chan string, 1000)
	for i, p := range c.nodes {
		p.Bus().Handle("t", func(from string, body []byte) { received <- fmt.Sprint(from, ">", i, " ", string(body)) })
	}
	await(t, "all know all", c.allKnowAll)
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
		t.Errorf("to nobody: %v", err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.nodes[0].Bus().Send(canceled, "n1", "none", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("with an ended context: %v", err)
	}
	for i := range 20 {
		c.nodes[1].Bus().Broadcast("t", fmt.Append(nil, i))
	}
	for last := map[string]bool{}; !last["n1>0 19"] || !last["n1>2 19"]; {
		last[<-received] = true
	}
	if got := c.nodes[0].Bus().Members(); len(got) == 0 || got[0] != "n0" {
		t.Errorf("members %v", got)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	encoded, _ := encodeMessage("n1", "t", []byte("body"))
	f.Add(encoded)
	f.Add([]byte{busMessageMarker, 200, 1})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		from, topic, body, err := decodeMessage(text)
		if err != nil {
			return
		}
		again, err := encodeMessage(from, topic, body)
		if err != nil {
			t.Fatal(err)
		}
		f2, t2, b2, err := decodeMessage(again)
		if err != nil || f2 != from || t2 != topic || !bytes.Equal(b2, body) {
			t.Errorf("%q %q %q becomes %q %q %q, %v", from, topic, body, f2, t2, b2, err)
		}
	})
}
