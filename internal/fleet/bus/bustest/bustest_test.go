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

func TestNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(1)
		var mu sync.Mutex // several messages come at once
		var heard []string
		join := func(name string) *Bus {
			b := n.Join(name)
			b.Handle("t", func(from string, body []byte) {
				mu.Lock()
				defer mu.Unlock()
				heard = append(heard, from+">"+name+":"+string(body))
			})
			return b
		}
		a, b, c := join("a"), join("b"), join("c")
		want := func(what string, lines ...string) {
			t.Helper()
			time.Sleep(time.Second)
			synctest.Wait()
			slices.Sort(heard)
			if !slices.Equal(heard, lines) {
				t.Errorf("%s: heard %q, want %q", what, heard, lines)
			}
			heard = nil
		}
		a.Broadcast("t", []byte("1"))
		want("a cast", "a>b:1", "a>c:1")
		if err := a.Send(t.Context(), "c", "t", []byte("2")); err != nil {
			t.Error(err)
		}
		want("a message", "a>c:2")
		n.SetOneWayCut("a", "c", true)
		a.Broadcast("t", []byte("3"))
		c.Broadcast("t", []byte("4"))
		want("one way cut", "a>b:3", "c>a:4", "c>b:4")
		lost := 0
		for range 20 {
			if a.Send(t.Context(), "c", "t", nil) != nil {
				lost++
			}
			if !slices.Contains(a.Members(), "c") {
				break
			}
		}
		if lost == 0 {
			t.Error("no message into a cut link told of it")
		}
		time.Sleep(detectionDelay)
		if got := a.Members(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("members %v", got)
		}
		if err := a.Send(t.Context(), "c", "t", nil); !errors.Is(err, bus.ErrUnknownMember) {
			t.Errorf("to one that is gone: %v", err)
		}
		n.SetIsolated("c", true)
		n.SetIsolated("c", false)
		want("in a cut")
		n.SetDelay(time.Second, 0)
		a.Broadcast("t", []byte("5"))
		synctest.Wait()
		if len(heard) > 0 {
			t.Errorf("at once: %q", heard)
		}
		b.Stop()
		want("late, one stopped", "a>c:5")
		n.SetDelay(0, 0)
		n.SetLoss(0.5, 0.5)
		for range 100 {
			a.Broadcast("t", []byte("6"))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if got := len(heard); got < 50 || got > 100 {
			t.Errorf("%d of 100 datagrams came, half of them lost and half of the rest doubled", got)
		}
	})
}
