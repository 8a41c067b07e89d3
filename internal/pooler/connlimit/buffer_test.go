package connlimit

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/dispatch"
)

const testBufferLimit = 1000 // bytes

// bufferTest is a limiter whose clients have incomplete messages.
type bufferTest struct {
	limiter *Limiter
	evicted []string
}

func newBufferTest() *bufferTest {
	return &bufferTest{limiter: New(dispatch.NewEventLoop(), 100, testBufferLimit)}
}

// admit admits a client whose message began, and last had input, the given time ago.
func (b *bufferTest) admit(name string, state State, bytes int, ago time.Duration, unseen bool) *client {
	c := &client{name: name, evicted: &b.evicted, unseen: unseen}
	c.admission = b.limiter.Admit(c)
	c.admission.SetState(state, bytes)
	c.admission.stateSince -= ago
	c.admission.bufferedSince -= ago
	return c
}

func (b *bufferTest) expectEvicted(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(b.evicted, want) {
		t.Errorf("%v were evicted, want %v", b.evicted, want)
	}
}

// A client with a request in flight must not be evicted when other clients' incomplete messages exceed the limit, however much it
// has buffered: its request may have been executed, and would never be answered. Nor must one whose next bytes have arrived.
func TestBufferLimitSparesRequestsInFlight(t *testing.T) {
	b := newBufferTest()
	active := b.admit("active", Active, 900, time.Second, false)
	b.admit("coming", Receiving, 40, time.Second, true)
	b.admit("stalled", Receiving, 30, 3*minStallTime, false)
	b.admit("stalled longer", Connecting, 20, 4*minStallTime, false)
	b.expectEvicted(t)
	fresh := b.admit("fresh", Receiving, 80, 0, false)
	b.expectEvicted(t, "stalled longer", "stalled")
	if !fresh.throttled || active.throttled {
		t.Errorf("throttled: the new sender %v, the one in flight %v; want the new sender alone", fresh.throttled, active.throttled)
	}
	active.admission.SetState(Active, 920)
	if !active.throttled {
		t.Error("the client in flight may send on above the limit")
	}
	active.admission.SetState(Idle, 0)
	b.expectEvicted(t, "stalled longer", "stalled")
	if fresh.throttled || active.throttled {
		t.Error("clients stay throttled below the limit")
	}
}

// Clients that are all in the middle of sending a message must not wait for each other above the limit: one reads on until its
// message is complete, then the one whose message began first. A client whose message is complete is not throttled.
func TestBufferLimitLetsOneClientFinish(t *testing.T) {
	b := newBufferTest()
	var senders []*client
	for i := range 4 {
		senders = append(senders, b.admit("sender", Receiving, testBufferLimit, time.Duration(10-i)*time.Millisecond, true))
	}
	senders[0].admission.SetState(Receiving, testBufferLimit+1)
	senders[3].admission.SetState(Active, 0)
	if senders[3].throttled {
		t.Error("the client whose message is complete is throttled")
	}
	for _, next := range []int{1, 0} {
		for i, c := range senders {
			if reads := !c.throttled && c.admission.bufferedBytes > 0; reads != (i == next) {
				t.Fatalf("client %d reads on: %v, want client %d alone", i, reads, next)
			}
		}
		senders[next].admission.SetState(Active, 0)
	}
	b.expectEvicted(t)
	if senders[2].throttled {
		t.Error("the last client is throttled below the limit")
	}
}

// Far above the limit a client that has stopped in the middle of a message must be evicted at once: clients that come faster than
// the stall time passes would take all memory.
func TestBufferHardLimit(t *testing.T) {
	b := newBufferTest()
	b.admit("first", Receiving, testBufferLimit, 0, false)
	b.admit("second", Receiving, testBufferLimit, 0, false)
	b.expectEvicted(t)
	b.admit("third", Receiving, 1, 0, false)
	b.expectEvicted(t, "first")
}
