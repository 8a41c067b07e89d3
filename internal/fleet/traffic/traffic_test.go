package traffic

import (
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
)

func TestCounter(t *testing.T) {
	var none *Counter
	none.AddReceived("a", 1, 1)
	none.AddSent("a", 1, 1)
	if none.Snapshot() != nil {
		t.Error("a nil counter counts")
	}
	var c Counter
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				c.AddReceived("a", 1, 10)
				c.AddSent("b", 2, 5)
			}
		})
	}
	all.Wait()
	want := []Count{{Kind: "a", BytesIn: 8000, MessagesIn: 800}, {Kind: "b", BytesOut: 4000, MessagesOut: 1600}}
	if got := c.Snapshot(); !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	for i := range 2 * maxKinds {
		c.AddReceived(fmt.Sprint("k", i), 1, 1)
	}
	if n := len(c.Snapshot()); n > maxKinds+1 {
		t.Errorf("%d kinds are counted separately", n)
	}
}

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
		t.Errorf("%+v", got)
	}
}
