package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// guardTest is a guard of one of ten poolers, with a limit of each kind, and its settings.
type guardTest struct {
	*Guard
	settings policy.Settings
}

func newGuardTest() *guardTest {
	client := NewClient("a/1", term, 10, config.Limits{Revision: 1, List: []config.Limit{
		{Name: "all", Target: config.LimitRequests, Rate: 100, Burst: 80, Reserve: 0.5},
		{Name: "tenant", Target: config.LimitRequests, Tenants: true, Rate: 10, Reserve: 0.5},
		{Name: "cold", Target: config.LimitCold, Rate: 100, Burst: 40, Reserve: 0.5},
		{Name: "dials", Target: config.LimitConnections, Rate: 10, Reserve: 0.5},
		{Name: "probes", Target: config.LimitProbes, Rate: 10, Reserve: 0.5},
	}})
	classes := []policy.Class{{Name: "any"}, {Name: "own", Access: policy.ReadSession}}
	g := &guardTest{settings: policy.Settings{RetryAfterSupported: true, MaxRetryAfter: 300 * time.Millisecond, SlowStartCapacity: 0.5, SlowStartDuration: 10 * time.Second}}
	g.Guard = NewGuard(client, func(i int) policy.Class { return classes[i] }, func() policy.Settings { return g.settings })
	return g
}

// wantAdmitted checks whether a request is admitted, and when the client of a rejected one may retry.
func (g *guardTest) wantAdmitted(t *testing.T, want bool, class int, key string, group int) {
	t.Helper()
	a := g.Admit(0, &dispatch.Request{Class: class, Key: key, Group: group})
	if a.Reject == want || want == false && a.RetryAfter != 300*time.Millisecond {
		t.Errorf("class %d, key %q, group %d: %+v", class, key, group, a)
	}
}

// Requests take tokens of their limits, by tenant, and the clients of rejected ones learn when to retry.
func TestGuardAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		g.wantAdmitted(t, true, 1, "x", 1)
		g.wantAdmitted(t, false, 1, "x", 2) // the session is the tenant
		g.wantAdmitted(t, true, 1, "y", 1)
		g.wantAdmitted(t, true, 0, "x", 1) // a class without sessions: the group is the tenant
		g.wantAdmitted(t, false, 0, "y", 1)
		time.Sleep(10 * time.Second)
		g.wantAdmitted(t, true, 1, "z", 1)
		g.wantAdmitted(t, false, 1, "z", 1)
		g.settings.MaxRetryAfter = 200 * time.Millisecond // changed settings apply
		if a := g.Admit(0, &dispatch.Request{Class: 1, Key: "z"}); a.RetryAfter != g.settings.MaxRetryAfter {
			t.Errorf("%+v, want the new time", a)
		}
	})
}

// Attempts at cold servers, connections and probes take tokens of their limits; warm servers, and attempts that have waited for their
// connection, need none.
func TestGuardServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		now := 100 * time.Second
		g.ServerListed("s", now-time.Second)
		r := &dispatch.Request{WaitedForConnection: true}
		if g.MaySend(now, r, "s") != dispatch.Send {
			t.Error("an attempt that has waited for its connection is stopped, though it has taken a token")
		}
		r.WaitedForConnection = false
		if g.MaySend(now, r, "warm") != dispatch.Send {
			t.Error("nothing is sent to a warm server")
		}
		sent, dialled, probed := g.countTenSeconds(now, "s")
		if sent < 25 || sent > 30 { // at a weight of 0.55
			t.Errorf("%d attempts sent to a cold server in 10 s at five a second, want about 27", sent)
		}
		for range 10 {
			if g.MaySend(now+9*time.Second, r, "s") != dispatch.Send {
				t.Error("nothing is sent to a server that has warmed")
			}
		}
		if dialled < 4 || dialled > 6 || probed < 4 || probed > 6 {
			t.Errorf("%d connections and %d probes in 10 s at half a second, want 5 or 6", dialled, probed)
		}
	})
}

// countTenSeconds tries attempts, connections and probes at a server 100 times a second for ten seconds, at the safe shares, and returns
// how many the guard let pass. now is the time for the guard's slow start, which stands still.
func (g *guardTest) countTenSeconds(now time.Duration, server string) (sent, dialled, probed int) {
	for range 1000 {
		if _, ok := g.MayDial(0, server); ok {
			dialled++
		}
		if g.MayProbe(0, server) {
			probed++
		}
		if g.MaySend(now, &dispatch.Request{}, server) == dispatch.Send {
			sent++
		}
		time.Sleep(10 * time.Millisecond)
	}
	return sent, dialled, probed
}
