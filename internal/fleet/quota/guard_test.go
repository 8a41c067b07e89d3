package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// guardTest is the guard of one of ten poolers, with limits for all targets, and its settings.
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

// wantAdmitted checks whether a request is admitted, and the retry time of a rejected one.
func (g *guardTest) wantAdmitted(t *testing.T, want bool, class int, key string, group int) {
	t.Helper()
	a := g.Admit(0, &dispatch.Request{Class: class, Key: key, Group: group})
	if a.Reject == want || want == false && a.RetryAfter != 300*time.Millisecond {
		t.Errorf("class %d, key %q, group %d: got %+v", class, key, group, a)
	}
}

// Requests take tokens of all limits that apply to them, for their tenant, and rejected ones get a retry time.
func TestGuardAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		g.wantAdmitted(t, true, 1, "x", 1)
		g.wantAdmitted(t, false, 1, "x", 2) // the session is the tenant
		g.wantAdmitted(t, true, 1, "y", 1)
		g.wantAdmitted(t, true, 0, "x", 1) // the class has no sessions: the group is the tenant
		g.wantAdmitted(t, false, 0, "y", 1)
		time.Sleep(10 * time.Second)
		g.wantAdmitted(t, true, 1, "z", 1)
		g.wantAdmitted(t, false, 1, "z", 1)
		g.settings.MaxRetryAfter = 200 * time.Millisecond // changed settings apply
		if a := g.Admit(0, &dispatch.Request{Class: 1, Key: "z"}); a.RetryAfter != g.settings.MaxRetryAfter {
			t.Errorf("got %+v, want the new retry time", a)
		}
	})
}

// Attempts at cold servers, connections and probes take tokens of their limits. Attempts at warm servers, and attempts that have waited
// for a connection, need none.
func TestGuardServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuardTest()
		now := 100 * time.Second
		g.ServerListed("s", now-time.Second)
		r := &dispatch.Request{WaitedForConnection: true}
		if g.MaySend(now, r, "s") != dispatch.Send {
			t.Error("an attempt that has waited for a connection is not sent, although it has taken its tokens")
		}
		r.WaitedForConnection = false
		if g.MaySend(now, r, "warm") != dispatch.Send {
			t.Error("an attempt is not sent to a warm server")
		}
		sent, dialled, probed := g.countTenSeconds(now, "s")
		if sent < 25 || sent > 30 { // at a weight of 0.55
			t.Errorf("%d attempts sent to a cold server in 10 s at five a second, want about 27", sent)
		}
		for range 10 {
			if g.MaySend(now+9*time.Second, r, "s") != dispatch.Send {
				t.Error("an attempt is not sent to a server near the end of its slow start")
			}
		}
		if dialled < 4 || dialled > 6 || probed < 4 || probed > 6 {
			t.Errorf("%d connections and %d probes in 10 s at half a second, want 5 or 6", dialled, probed)
		}
	})
}

// countTenSeconds requests attempts, connections and probes at a server 100 times a second for ten seconds, with safe shares only, and
// returns how many the guard allows. now is the time passed to MaySend, so that the slow start does not progress.
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
