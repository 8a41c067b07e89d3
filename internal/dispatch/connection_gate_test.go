package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// fakeGate is a ConnectionGate that allows no connection and no probe, and a Guard. It records its calls.
type fakeGate struct {
	fakeGuard
	startedAt map[string]time.Duration
	probes    int
	waited    []bool
}

func (g *fakeGate) ServerListed(server string, startedAt time.Duration) {
	g.startedAt[server] = startedAt
}
func (g *fakeGate) MayDial(time.Duration, string) (time.Duration, bool) {
	return time.Second, false
}
func (g *fakeGate) MayProbe(time.Duration, string) bool { g.probes++; return false }
func (g *fakeGate) MaySend(now time.Duration, r *Request, server string) SendDecision {
	g.waited = append(g.waited, r.WaitedForConnection)
	return g.fakeGuard.MaySend(now, r, server)
}

// The gate must receive the start times of listed servers and decide on each connection and probe; a probe that it does not
// allow must reach no server. WaitedForConnection must tell guards whether an attempt has waited for its connection.
func TestConnectionGate(t *testing.T) {
	d, backend := startDispatcher(t)
	gate := &fakeGate{startedAt: map[string]time.Duration{}}
	done := make(chan struct{})
	d.loop.Post(func() {
		defer close(done)
		d.AddGuard(gate)
		d.SetConnectionGate(gate)
		d.ApplyList(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Ready, StartedAt: 7 * time.Second}})
		if gate.startedAt["s"] != 7*time.Second {
			t.Errorf("server s started at %v, want 7s", gate.startedAt["s"])
		}
		if after, ok := d.MayDial("s"); ok || after != time.Second {
			t.Errorf("MayDial of a listed server: got %v, %v, want 1s, false", after, ok)
		}
		if _, ok := d.MayDial("elsewhere"); !ok {
			t.Error("MayDial of an address that no list names: got false, want true")
		}
		before := len(backend.calls)
		d.startHealthCheck(d.servers.ids["s"])
		if gate.probes == 0 || len(backend.calls) != before {
			t.Errorf("%d calls of MayProbe and %d of the backend, want at least 1 and none", gate.probes, len(backend.calls)-before)
		}
	})
	<-done
	_, call := submit(d, backend, time.Second)
	waits := make(chan []bool)
	d.loop.Post(func() {
		call.StillAllowed()
		waits <- gate.waited
	})
	if got := <-waits; len(got) != 2 || got[0] || !got[1] {
		t.Errorf("WaitedForConnection in the calls of MaySend: got %v, want [false true]", got)
	}
}
