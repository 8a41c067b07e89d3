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

// If the first attempt of a write gets no response and the second is refused, the first may have been applied and caused the refusal.
// Put must not return ErrConflict then.
func TestMaybeAppliedWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for attempt := 0; ; attempt++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for reader := bufio.NewReader(conn); attempt > 0; { // the first connection is closed without a response
					if _, err := reader.ReadString('\n'); err != nil {
						return
					}
					_, _ = conn.Write([]byte(`{"refused":"conflict"}` + "\n"))
				}
			}()
		}
	}()
	peer := Peer{"s", listener.Addr().String()}
	client := &Client{Holder: "a", Voters: []Peer{peer, peer, peer}, Timeout: 10 * time.Second}
	defer client.Close()
	if _, err := client.Put(t.Context(), replication.Write{Key: "k"}); err == nil || errors.Is(err, replication.ErrConflict) {
		t.Errorf("Put after an attempt without a response: got error %v, want one other than ErrConflict", err)
	}
	if _, err := client.Put(t.Context(), replication.Write{Key: "k"}); !errors.Is(err, replication.ErrConflict) {
		t.Errorf("Put refused at the first attempt: got error %v, want ErrConflict", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Put(ctx, replication.Write{Key: "k"}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("Put with an ended context: got error %v, want ErrNoLeader", err)
	}
}
