package standin

import (
	"strings"
	"testing"
	"time"
)

// A read of the class that stops a replica's log holds its position; a bounded read then waits and is turned away
// untouched, and is served again once the log has gone on. At a primary nothing stops.
func TestLag(t *testing.T) {
	for _, primary := range []bool{true, false} {
		s, err := NewServer("s", false, primary, NewLedger())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Down)
		s.Follow(Lag{Wait: 20 * time.Millisecond, Bounds: map[string]time.Duration{"view": 200 * time.Millisecond}, Stops: "any"})
		release := make(chan struct{})
		s.Do(func(seen Seen) Act {
			if strings.Contains(seen.Text, "c=any") {
				<-release
			}
			return Answer
		})
		first, second := dialStandin(t, s), dialStandin(t, s)
		ended := make(chan Result, 1)
		go func() { ended <- first.Do(Read("any", time.Minute)) }()
		if !s.Wait(1) {
			t.Fatal("the read never came")
		}
		for until := time.Now().Add(300 * time.Millisecond); time.Now().Before(until); { // older than the bound, by the clock
			time.Sleep(time.Millisecond)
		}
		if r := second.Do(Read("view", time.Minute)); primary != r.Served() || !primary && r.Code != "72000" {
			t.Errorf("primary %v: a read behind a stopped log got %+v", primary, r)
		}
		close(release)
		if r := <-ended; !r.Served() {
			t.Errorf("the long read got %+v", r)
		}
		for until := time.Now().Add(20 * time.Second); !second.Do(Read("view", time.Minute)).Served(); {
			if time.Now().After(until) {
				t.Fatal("the log never goes on")
			}
		}
	}
}

func dialStandin(t *testing.T, s *Server) *Postgres {
	t.Helper()
	c, err := DialPostgres(s.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
