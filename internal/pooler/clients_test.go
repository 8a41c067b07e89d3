package pooler_test

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/pgwire"
)

func frontendAddr(a pooler.Addresses) string {
	if a.MySQL != "" {
		return a.MySQL
	}
	return a.Postgres
}

// Clients that connect and say nothing, or nothing whole, are owed a word or a close within 3 s. One that has logged in
// and has not asked yet stays.
func TestSilentClientsAreEvicted(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, _ *standin.Fleet, a pooler.Addresses) {
		waits := dial(t, a) // logged in, and keeps its connection for later
		var silent []net.Conn
		for _, first := range []string{"", "\x00\x00\x00\x54\x00\x03",
			string(pgwire.AppendStartup(nil, "client", "core")) + "Q\x00\x00\x00\x40SELECT"} {
			c, err := net.Dial("tcp", frontendAddr(a))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := c.Write([]byte(first)); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(7 * time.Second))
			silent = append(silent, c)
		}
		for i, c := range silent {
			var err error
			for b := make([]byte, 4096); err == nil; {
				_, err = c.Read(b)
			}
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				t.Errorf("silent client %d is never turned out", i)
			}
		}
		expectServed(t, waits.Do(standin.Read("any", amplePatience)))
	})
}

// Clients that have asked once and stay must not keep out those that ask now: the longest idle makes room.
func TestNewClientsFindCapacity(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "p")
	f.Configure("limits", map[string]any{"sockets": 64, "memory_mb": 64})
	a := poolerProcess(t, f)
	var idle []standin.Client
	for range 12 {
		c := dial(t, a)
		expectServed(t, c.Do(standin.Read("any", amplePatience)))
		idle = append(idle, c)
	}
	for until := time.Now().Add(20 * time.Second); ; {
		c, err := standin.DialPostgres(a.Postgres)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			if r := c.Do(standin.Read("any", patience)); r.Served() && len(idle) == 40 {
				break
			} else if r.Served() {
				idle = append(idle, c)
				continue
			}
		}
		if time.Now().After(until) {
			t.Fatalf("after %d clients a newcomer finds no room: %v", len(idle), err)
		}
	}
	if r := idle[0].Do("SET x = 1"); r.Err == nil {
		t.Error("the client that has been idle longest is still there")
	}
}

// A newcomer for whom there is no room is closed without a word: its first query may be on the way, and would take the
// word for its answer.
func TestRejectedClientGetsNoAnswer(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "p")
	f.Configure("limits", map[string]any{"sockets": 64, "memory_mb": 64})
	a := poolerProcess(t, f)
	f.Servers[0].Do(always(standin.Hang))
	for {
		c, err := net.Dial("tcp", a.Postgres)
		if errors.Is(err, syscall.ECONNRESET) {
			return // full, and closed before this side had looked
		}
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		text := standin.Write("k", 10*time.Second)
		if _, err := c.Write(pgwire.AppendQuery(pgwire.AppendStartup(nil, "client", "core"), text)); err != nil {
			return
		}
		b := make([]byte, 4096)
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := c.Read(b); err != nil {
			return // full
		} else if b[0] != 'R' {
			t.Fatalf("a newcomer got %q", b[:n])
		}
	}
}

// An id that is open elsewhere can't be told from the other's: an error, and the first is served.
func TestRequestIDInFlightIsRejected(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		release := make(chan struct{})
		f.Servers[0].Do(func(standin.Seen) standin.Act { <-release; return standin.Answer })
		text := standin.Read("any", 5*patience)
		first, second := dial(t, a), dial(t, a)
		ended := make(chan standin.Result, 1)
		go func() { ended <- first.Do(text) }()
		if !f.Servers[0].Wait(1) {
			t.Fatal("the first read never came")
		}
		if r := second.Do(text); !r.Failed || len(f.Servers[0].Seen()) != 1 {
			t.Errorf("got %+v for an id that is open", r)
		}
		close(release)
		expectServed(t, <-ended)
		expectServed(t, second.Do(text)) // it is free again
	})
}

// What can't be read ends the connection at once, whatever waits on it: that gets its final answer before.
func TestMalformedMessageAfterARequest(t *testing.T) {
	f, c := postgresPooler(t, "p")
	f.Servers[0].Do(always(standin.Hang))
	if err := c.Send(standin.Write("k", 20*time.Second)); err != nil || !f.Servers[0].Wait(1) {
		t.Fatal("the write never came", err)
	}
	if _, err := c.Write([]byte("Q\xff\xff\xff\xff")); err != nil {
		t.Fatal(err)
	}
	if r := c.Receive(); !r.Failed || r.Code != pgwire.CodeFailed {
		t.Errorf("the open write got %+v", r)
	}
	if r := c.Receive(); r.Code != pgwire.CodeProtocol {
		t.Errorf("the unreadable command got %+v", r)
	}
	if r := c.Receive(); r.Err == nil {
		t.Error("the connection stays open")
	}
}

// A value that is far too large is turned away by its first bytes, while the client still sends.
func TestHugeCommand(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, _ *standin.Fleet, a pooler.Addresses) {
		c, err := net.Dial("tcp", frontendAddr(a))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		out := append(pgwire.AppendStartup(nil, "client", "core"), "Q\x03\x90\x00\x00"...)
		chunk := []byte(strings.Repeat("x", 1<<20))
		for n := 0; n < 60 && err == nil; n++ {
			_, err = c.Write(out)
			out = chunk
		}
		if err == nil {
			t.Error("60 MB are taken in")
		}
		expectServed(t, dial(t, a).Do(standin.Read("any", amplePatience)))
	})
}
