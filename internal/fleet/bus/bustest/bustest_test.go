package bustest

import (
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/bus"
)

// Messages and datagrams arrive through open links alone, a cut is detected, and delay, loss and duplication are as they are set.
func TestNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(1)
		var mu sync.Mutex // guards received: several messages are delivered at once
		var received []string
		join := func(name string) *Bus {
			b := network.Join(name)
			b.Handle("t", func(from string, body []byte) {
				mu.Lock()
				defer mu.Unlock()
				received = append(received, from+">"+name+":"+string(body))
			})
			return b
		}
		a, b, c := join("a"), join("b"), join("c")
		wantReceived := func(what string, messages ...string) {
			t.Helper()
			time.Sleep(time.Second)
			synctest.Wait()
			slices.Sort(received)
			if !slices.Equal(received, messages) {
				t.Errorf("%s: received %q, want %q", what, received, messages)
			}
			received = nil
		}
		a.Broadcast("t", []byte("1"))
		wantReceived("a broadcast", "a>b:1", "a>c:1")
		if err := a.Send(t.Context(), "c", "t", []byte("2")); err != nil {
			t.Error(err)
		}
		wantReceived("a message", "a>c:2")
		network.SetOneWayCut("a", "c", true)
		a.Broadcast("t", []byte("3"))
		c.Broadcast("t", []byte("4"))
		wantReceived("one way cut", "a>b:3", "c>a:4", "c>b:4")
		failed := 0
		for range 20 {
			if a.Send(t.Context(), "c", "t", nil) != nil {
				failed++
			}
			if !slices.Contains(a.Members(), "c") {
				break
			}
		}
		if failed == 0 {
			t.Error("no message into a cut link failed")
		}
		time.Sleep(detectionDelay)
		if got := a.Members(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("members %v", got)
		}
		if err := a.Send(t.Context(), "c", "t", nil); !errors.Is(err, bus.ErrUnknownMember) {
			t.Errorf("to a pooler that is detected down: %v", err)
		}
		network.SetIsolated("c", true)
		network.SetIsolated("c", false)
		wantReceived("in a cut")
		network.SetDelay(time.Second, 0)
		a.Broadcast("t", []byte("5"))
		synctest.Wait()
		if len(received) > 0 {
			t.Errorf("at once: %q", received)
		}
		b.Stop()
		wantReceived("late, one stopped", "a>c:5")
		network.SetDelay(0, 0)
		network.SetLoss(0.5, 0.5)
		for range 100 {
			a.Broadcast("t", []byte("6"))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if got := len(received); got < 50 || got > 100 {
			t.Errorf("%d of 100 datagrams were delivered, half of them lost and half of the rest duplicated", got)
		}
	})
}
