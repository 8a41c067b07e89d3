package connlimit

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/dispatch"
)

// client is a stand-in that leaves when it is evicted.
type client struct {
	admission *Admission
	name      string
	evicted   *[]string
	unseen    bool // its next request has come and was not seen yet
}

func (c *client) Quiet() bool { return !c.unseen }

func (c *client) Evict() {
	*c.evicted = append(*c.evicted, c.name)
	c.admission.Release()
}

// Some clients ask once and keep their connection. With many connected, those idle longest must go long before places run
// short here: the clients have limits of their own. Busy ones stay, and one whose next request has come.
func TestIdleClientsMakeRoom(t *testing.T) {
	limiter := New(dispatch.NewEventLoop(), 6, 1<<20)
	var evicted []string
	admit := func(name string, state State, idle time.Duration, busy bool) {
		c := &client{name: name, evicted: &evicted, unseen: busy}
		c.admission = limiter.Admit(c)
		c.admission.state, c.admission.since = state, limiter.loop.Now()-idle
	}
	admit("coming", Idle, 9*time.Second, true)
	admit("busy", Active, 9*time.Second, false)
	admit("oldest", Idle, 8*time.Second, false)
	admit("old", Idle, 2*crowdedIdleTime, false)
	admit("fresh", Idle, 0, false)
	limiter.sweep()
	if want := []string{"oldest", "old"}; !slices.Equal(evicted, want) {
		t.Errorf("%v were evicted, want %v", evicted, want)
	}
	admit("silent", Connecting, 2*minConnectingTime, false)
	admit("more", Active, 0, false)
	admit("most", Active, 0, false)
	if admit("newcomer", Active, 0, false); evicted[len(evicted)-1] != "silent" {
		t.Errorf("%v were evicted, want the silent one last", evicted)
	}
	if admit("another", Active, 0, false); evicted[len(evicted)-1] != "fresh" {
		t.Errorf("%v were evicted, want the one that is idle last", evicted)
	}
	if limiter.Admit(&client{}) != nil {
		t.Error("there is room where all are busy")
	}
}

// During the shutdown the clients leave by shares, and those that have sent no request yet with the last.
func TestClientsLeaveByShares(t *testing.T) {
	const clients = 200
	limiter := New(dispatch.NewEventLoop(), 2*clients, 1<<20)
	for range clients {
		limiter.Admit(&client{}).SetState(Idle, 0)
		limiter.Admit(&client{})
	}
	leaving := func(share float64) (idle, connecting int) {
		limiter.SetDisconnectShare(share)
		for a := range limiter.admissions {
			if a.ShouldDisconnect() && a.state == Connecting {
				connecting++
			} else if a.ShouldDisconnect() {
				idle++
			}
		}
		return idle, connecting
	}
	for _, c := range []struct {
		share       float64
		least, most int
		connecting  int
	}{{0, 0, 0, 0}, {0.5, clients / 4, 3 * clients / 4, 0}, {1, clients, clients, clients}} {
		if idle, connecting := leaving(c.share); idle < c.least || idle > c.most || connecting != c.connecting {
			t.Errorf("share %v: %d idle clients and %d that have sent no request of %d each are to leave", c.share, idle, connecting, clients)
		}
	}
}

// A client that has been silent for too long goes at once; one whose bytes have come and were not seen yet only if that
// lasts, so that a machine that is late loses no request.
func TestSilentClientsGoUnlessHeardFrom(t *testing.T) {
	limiter := New(dispatch.NewEventLoop(), 10, 1<<20)
	var evicted []string
	admit := func(name string, state State, unseen bool) *client {
		c := &client{name: name, evicted: &evicted, unseen: unseen}
		c.admission = limiter.Admit(c)
		c.admission.state, c.admission.since = state, limiter.loop.Now()-silenceTimeout
		return c
	}
	admit("silent", Receiving, false)
	admit("trickling", Receiving, true)
	late := admit("late", Receiving, true)
	admit("busy", Active, false)
	for range maxSparedSweeps {
		limiter.sweep()
	}
	if want := []string{"silent"}; !slices.Equal(evicted, want) {
		t.Errorf("%v were evicted, want %v", evicted, want)
	}
	late.admission.SetState(Active, 0) // its bytes are seen
	limiter.sweep()
	if want := []string{"silent", "trickling"}; !slices.Equal(evicted, want) {
		t.Errorf("%v were evicted, want %v", evicted, want)
	}
}
