package consensus

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// A write whose first attempt got no response is not said to be refused when the second is.
func TestMaybeAppliedWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
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
