package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// fakeGate allows no connection and no probe, and keeps what it is called with.
type fakeGate struct {
	fakeGuard
	started map[string]time.Duration
	probes  int
	waited  []bool
}

func (g *fakeGate) ServerListed(server string, started time.Duration) { g.started[server] = started }
func (g *fakeGate) MayDial(time.Duration, string) (time.Duration, bool) {
	return time.Second, false
}
func (g *fakeGate) MayProbe(time.Duration, string) bool { g.probes++; return false }
func (g *fakeGate) MaySend(now time.Duration, r *Request, server string) SendDecision {
	g.waited = append(g.waited, r.WaitedForConnection)
	return g.fakeGuard.MaySend(now, r, server)
}

// A gate learns when servers have started and decides on each connection and probe; a probe that is not allowed reaches no
// server. Guards can tell an attempt that has waited for its connection from a new one.
func TestConnectionGate(t *testing.T) {
	d, b := startDispatcher(t)
	g := &fakeGate{started: map[string]time.Duration{}}
	done := make(chan struct{})
	d.loop.Post(func() {
		defer close(done)
		d.AddGuard(g)
		d.SetConnectionGate(g)
		d.ApplyList(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Ready, StartedAt: 7 * time.Second}})
		if g.started["s"] != 7*time.Second {
			t.Errorf("starts: %v", g.started)
		}
		if after, ok := d.MayDial("s"); ok || after != time.Second {
			t.Errorf("leave to dial: %v after %v", ok, after)
		}
		if _, ok := d.MayDial("elsewhere"); !ok {
			t.Error("no leave for an address that no list names")
		}
		before := len(b.calls)
		d.startHealthCheck(d.servers.ids["s"])
		if g.probes == 0 || len(b.calls) != before {
			t.Errorf("%d probes asked for", g.probes)
		}
	})
	<-done
	_, w := submit(d, b, time.Second)
	asked := make(chan []bool)
	d.loop.Post(func() {
		w.StillAllowed()
		asked <- g.waited
	})
	if got := <-asked; len(got) != 2 || got[0] || !got[1] {
		t.Errorf("asked of an attempt, waited: %v", got)
	}
}
