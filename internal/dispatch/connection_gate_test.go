package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// gatekeeper lets nothing pass, and notes what it is told.
type gatekeeper struct {
	script
	started map[string]time.Duration
	probes  int
	waited  []bool
}

func (g *gatekeeper) ServerListed(server string, started time.Duration) { g.started[server] = started }
func (g *gatekeeper) MayDial(time.Duration, string) (time.Duration, bool) {
	return time.Second, false
}
func (g *gatekeeper) MayProbe(time.Duration, string) bool { g.probes++; return false }
func (g *gatekeeper) MaySend(now time.Duration, r *Request, server string) SendDecision {
	g.waited = append(g.waited, r.WaitedForConnection)
	return g.script.MaySend(now, r, server)
}

// A gate hears when servers have started and is asked for each connection and probe; a probe that may not go reaches no server,
// and an attempt that waits for its connection is told from a new one.
func TestGate(t *testing.T) {
	c, b := start(t)
	g := &gatekeeper{started: map[string]time.Duration{}}
	done := make(chan struct{})
	c.loop.Post(func() {
		defer close(done)
		c.AddGuard(g)
		c.SetConnectionGate(g)
		c.ApplyList(policy.ListDelta, []Member{{Name: "s", Addr: "s", State: policy.Ready, Started: 7 * time.Second}})
		if g.started["s"] != 7*time.Second {
			t.Errorf("told of starts: %v", g.started)
		}
		if after, ok := c.MayDial("s"); ok || after != time.Second {
			t.Errorf("leave to dial: %v after %v", ok, after)
		}
		if _, ok := c.MayDial("elsewhere"); !ok {
			t.Error("no leave for an address that no list names")
		}
		before := len(b.calls)
		c.startHealthCheck(c.servers.ids["s"])
		if g.probes == 0 || len(b.calls) != before {
			t.Errorf("%d probes asked for", g.probes)
		}
	})
	<-done
	_, w := submit(c, b, time.Second)
	asked := make(chan []bool)
	c.loop.Post(func() {
		w.StillAllowed()
		asked <- g.waited
	})
	if got := <-asked; len(got) != 2 || got[0] || !got[1] {
		t.Errorf("asked of an attempt, waited: %v", got)
	}
}
