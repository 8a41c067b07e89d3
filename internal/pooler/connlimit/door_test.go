package connlimit

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/dispatch"
)

// client is a stand-in that leaves when it is turned out.
type client struct {
	guest *Admission
	name  string
	out   *[]string
	busy  bool // its next request has come and was not seen yet
}

func (c *client) Quiet() bool { return !c.busy }

func (c *client) Evict() {
	*c.out = append(*c.out, c.name)
	c.guest.Release()
}

// Some clients ask once and keep their connection. With many connected, those idle longest must go long before places run
// short here: the clients have limits of their own. Busy ones stay, and one whose next request has come.
func TestIdleClientsMakeRoom(t *testing.T) {
	d := New(dispatch.NewEventLoop(), 6, 1<<20)
	var out []string
	enter := func(name string, state State, idle time.Duration, busy bool) {
		c := &client{name: name, out: &out, busy: busy}
		c.guest = d.Admit(c)
		c.guest.state, c.guest.since = state, d.loop.Now()-idle
	}
	enter("coming", Idle, 9*time.Second, true)
	enter("busy", Active, 9*time.Second, false)
	enter("oldest", Idle, 8*time.Second, false)
	enter("old", Idle, 2*crowdedIdleTime, false)
	enter("fresh", Idle, 0, false)
	d.sweep()
	if want := []string{"oldest", "old"}; !slices.Equal(out, want) {
		t.Errorf("%v were turned out, want %v", out, want)
	}
	enter("silent", Connecting, 2*minConnectingTime, false)
	enter("more", Active, 0, false)
	enter("most", Active, 0, false)
	if enter("newcomer", Active, 0, false); out[len(out)-1] != "silent" {
		t.Errorf("%v were turned out, want the silent one last", out)
	}
	if enter("another", Active, 0, false); out[len(out)-1] != "fresh" {
		t.Errorf("%v were turned out, want the one that is idle last", out)
	}
	if d.Admit(&client{}) != nil {
		t.Error("there is room where all are busy")
	}
}

// While the program ends the clients leave by shares, and those that have not asked yet with the last.
func TestClientsPartByShares(t *testing.T) {
	const guests = 200
	d := New(dispatch.NewEventLoop(), 2*guests, 1<<20)
	for range guests {
		d.Admit(&client{}).SetState(Idle, 0)
		d.Admit(&client{})
	}
	parts := func(share float64) (idle, entering int) {
		d.SetDisconnectShare(share)
		for g := range d.admissions {
			if g.ShouldDisconnect() && g.state == Connecting {
				entering++
			} else if g.ShouldDisconnect() {
				idle++
			}
		}
		return idle, entering
	}
	for _, c := range []struct {
		share       float64
		least, most int
		entering    int
	}{{0, 0, 0, 0}, {0.5, guests / 4, 3 * guests / 4, 0}, {1, guests, guests, guests}} {
		if idle, entering := parts(c.share); idle < c.least || idle > c.most || entering != c.entering {
			t.Errorf("share %v: %d idle guests and %d that have not asked of %d each are to leave", c.share, idle, entering, guests)
		}
	}
}

// A client that has been silent for too long goes at once; one whose bytes have come and were not seen yet only if that
// lasts, so that a machine that is late loses no request.
func TestSilentClientsGoUnlessHeardFrom(t *testing.T) {
	d := New(dispatch.NewEventLoop(), 10, 1<<20)
	var out []string
	enter := func(name string, state State, unseen bool) *client {
		c := &client{name: name, out: &out, busy: unseen}
		c.guest = d.Admit(c)
		c.guest.state, c.guest.since = state, d.loop.Now()-silenceTimeout
		return c
	}
	enter("silent", Receiving, false)
	enter("trickling", Receiving, true)
	late := enter("late", Receiving, true)
	enter("busy", Active, false)
	for range maxSparedSweeps {
		d.sweep()
	}
	if want := []string{"silent"}; !slices.Equal(out, want) {
		t.Errorf("%v were turned out, want %v", out, want)
	}
	late.guest.SetState(Active, 0) // its bytes are seen
	d.sweep()
	if want := []string{"silent", "trickling"}; !slices.Equal(out, want) {
		t.Errorf("%v were turned out, want %v", out, want)
	}
}
