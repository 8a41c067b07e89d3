package traffic

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
)

// The totals are exact under concurrent use, the number of kinds is bounded, and a nil Counter counts nothing.
func TestCounter(t *testing.T) {
	var nilCounter *Counter
	nilCounter.AddReceived("a", 1, 1)
	nilCounter.AddSent("a", 1, 1)
	if nilCounter.Snapshot() != nil {
		t.Error("got a snapshot of a nil counter, want nil")
	}
	var c Counter
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 100 {
				c.AddReceived("a", 1, 10)
				c.AddSent("b", 2, 5)
			}
		})
	}
	running.Wait()
	want := []Count{{Kind: "a", BytesIn: 8000, MessagesIn: 800}, {Kind: "b", BytesOut: 4000, MessagesOut: 1600}}
	if got := c.Snapshot(); !slices.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	for i := range 2 * maxKinds {
		c.AddReceived(fmt.Sprint("k", i), 1, 1)
	}
	if n := len(c.Snapshot()); n > maxKinds+1 {
		t.Errorf("got %d kinds, want at most maxKinds and Other", n)
	}
}

// Each read and write on a wrapped connection counts as one message.
func TestConn(t *testing.T) {
	var c Counter
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() {
		_, _ = b.Write([]byte("hello"))
		_, _ = io.ReadAll(b)
	}()
	conn := c.Conn(a, "k")
	if _, err := io.ReadFull(conn, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	_, _ = conn.Write([]byte("you"))
	_ = conn.Close()
	if got := c.Snapshot(); len(got) != 1 || got[0] != (Count{"k", 5, 3, 1, 1}) {
		t.Errorf("got %+v, want 5 bytes received and 3 sent, in one message each", got)
	}
}
