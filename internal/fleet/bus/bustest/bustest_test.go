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

	mu       sync.Mutex // guards received; messages are delivered concurrently
	received []string   // "FROM>TO:BODY"
}

// join adds a pooler and records the messages that it receives.
func (r *recorder) join(name string) *Bus {
	b := r.network.Join(name)
	b.Handle("t", func(from string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.received = append(r.received, from+">"+name+":"+string(body))
	})
	return b
}

// take waits for a second, then returns the messages received so far, sorted, and clears them.
func (r *recorder) take() []string {
	time.Sleep(time.Second)
	synctest.Wait()
	received := r.received
	r.received = nil
	slices.Sort(received)
	return received
}

// expect waits for a second and checks the messages received so far.
func (r *recorder) expect(step string, messages ...string) {
	r.t.Helper()
	if received := r.take(); !slices.Equal(received, messages) {
		r.t.Errorf("%s: received %q, want %q", step, received, messages)
	}
}

// Messages and datagrams are delivered on open links only, and cutting a link in one direction does not affect the other one.
func TestOneWayCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{t: t, network: New(1)}
		a, _, c := r.join("a"), r.join("b"), r.join("c")
		a.Broadcast("t", []byte("1"))
		r.expect("a broadcast", "a>b:1", "a>c:1")
		if err := a.Send(t.Context(), "c", "t", []byte("2")); err != nil {
			t.Error(err)
		}
		r.expect("a message", "a>c:2")
		r.network.SetOneWayCut("a", "c", true)
		a.Broadcast("t", []byte("3"))
		c.Broadcast("t", []byte("4"))
		r.expect("broadcasts with a one-way cut", "a>b:3", "c>a:4", "c>b:4")
	})
}

// Messages on a cut link fail or are lost, until the cut is detected and the pooler at the other end is no longer a member.
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
			t.Error("no message on a cut link failed")
		}
		time.Sleep(detectionDelay)
		if got := a.Members(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("got members %v, want a and b", got)
		}
		if err := a.Send(t.Context(), "c", "t", nil); !errors.Is(err, bus.ErrUnknownMember) {
			t.Errorf("sending to a pooler detected as down: got error %v, want bus.ErrUnknownMember", err)
		}
		r.network.SetIsolated("c", true)
		r.network.SetIsolated("c", false)
		r.expect("messages on a cut link")
	})
}

// The network applies the configured delay, loss and duplication, and a stopped pooler receives nothing.
func TestDelayAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &recorder{t: t, network: New(1)}
		a, b := r.join("a"), r.join("b")
		r.join("c")
		r.network.SetDelay(time.Second, 0)
		a.Broadcast("t", []byte("5"))
		synctest.Wait()
		if len(r.received) > 0 {
			t.Errorf("received %q before the delay", r.received)
		}
		b.Stop()
		r.expect("delayed broadcast with a stopped pooler", "a>c:5")
		r.network.SetDelay(0, 0)
		r.network.SetLoss(0.5, 0.5)
		for range 100 {
			a.Broadcast("t", []byte("6"))
		}
		if delivered := len(r.take()); delivered < 50 || delivered > 100 {
			t.Errorf("%d of 100 datagrams were delivered, want 50 to 100 with half of them lost and half of the rest duplicated", delivered)
		}
	})
}
