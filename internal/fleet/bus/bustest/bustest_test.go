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

// recorder records the messages that poolers receive.
type recorder struct {
	t       *testing.T
	network *Network

	mu       sync.Mutex // guards received: several messages are delivered at once
	received []string   // "FROM>TO:BODY"
}

// join adds a pooler whose messages are recorded.
func (r *recorder) join(name string) *Bus {
	b := r.network.Join(name)
	b.Handle("t", func(from string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.received = append(r.received, from+">"+name+":"+string(body))
	})
	return b
}

// take returns what was received within a second, sorted, and forgets it.
func (r *recorder) take() []string {
	time.Sleep(time.Second)
	synctest.Wait()
	received := r.received
	r.received = nil
	slices.Sort(received)
	return received
}

// want checks what was received within a second.
func (r *recorder) want(what string, messages ...string) {
	r.t.Helper()
	if received := r.take(); !slices.Equal(received, messages) {
		r.t.Errorf("%s: received %q, want %q", what, received, messages)
	}
}

// Messages and datagrams arrive through open links alone, and a link that is cut one way carries the other way's.
func TestOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{t: t, network: New(1)}
		a, _, c := r.join("a"), r.join("b"), r.join("c")
		a.Broadcast("t", []byte("1"))
		r.want("a broadcast", "a>b:1", "a>c:1")
		if err := a.Send(t.Context(), "c", "t", []byte("2")); err != nil {
			t.Error(err)
		}
		r.want("a message", "a>c:2")
		r.network.SetOneWayCut("a", "c", true)
		a.Broadcast("t", []byte("3"))
		c.Broadcast("t", []byte("4"))
		r.want("one way cut", "a>b:3", "c>a:4", "c>b:4")
	})
}

// A message into a cut link fails or is lost, until the cut is detected and the pooler at its other end is no member.
func TestCutIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{t: t, network: New(1)}
		a := r.join("a")
		r.join("b")
		r.join("c")
		r.network.SetOneWayCut("a", "c", true)
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
		r.network.SetIsolated("c", true)
		r.network.SetIsolated("c", false)
		r.want("in a cut")
	})
}

// Delay, a stopped pooler, loss and duplication are as they are set.
func TestDelayAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{t: t, network: New(1)}
		a, b := r.join("a"), r.join("b")
		r.join("c")
		r.network.SetDelay(time.Second, 0)
		a.Broadcast("t", []byte("5"))
		synctest.Wait()
		if len(r.received) > 0 {
			t.Errorf("at once: %q", r.received)
		}
		b.Stop()
		r.want("late, one stopped", "a>c:5")
		r.network.SetDelay(0, 0)
		r.network.SetLoss(0.5, 0.5)
		for range 100 {
			a.Broadcast("t", []byte("6"))
		}
		if got := len(r.take()); got < 50 || got > 100 {
			t.Errorf("%d of 100 datagrams were delivered, half of them lost and half of the rest duplicated", got)
		}
	})
}
