package quota

import (
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// Requests, attempts at cold servers, connections and probes take tokens of their limits, and clients learn when to retry.
func TestGuard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient("a/1", term, 10, config.Limits{Revision: 1, List: []config.Limit{
			{Name: "all", Target: config.LimitRequests, Rate: 100, Burst: 80, Reserve: 0.5},
			{Name: "tenant", Target: config.LimitRequests, Tenants: true, Rate: 10, Reserve: 0.5},
			{Name: "cold", Target: config.LimitCold, Rate: 100, Burst: 40, Reserve: 0.5},
			{Name: "dials", Target: config.LimitConnections, Rate: 10, Reserve: 0.5},
			{Name: "probes", Target: config.LimitProbes, Rate: 10, Reserve: 0.5},
		}})
		classes := []policy.Class{{Name: "any"}, {Name: "own", Access: policy.ReadSession}}
		settings := policy.Settings{RetryAfterSupported: true, MaxRetryAfter: 300 * time.Millisecond, SlowStartCapacity: 0.5, SlowStartDuration: 10 * time.Second}
		g := NewGuard(client, func(i int) policy.Class { return classes[i] }, func() policy.Settings { return settings })
		admit := func(want bool, class int, key string, group int) {
			t.Helper()
			a := g.Admit(0, &dispatch.Request{Class: class, Key: key, Group: group})
			if a.Reject == want || want == false && a.RetryAfter != 300*time.Millisecond {
				t.Errorf("class %d, key %q, group %d: %+v", class, key, group, a)
			}
		}
		admit(true, 1, "x", 1)
		admit(false, 1, "x", 2) // the session is the tenant
		admit(true, 1, "y", 1)
		admit(true, 0, "x", 1) // a class without sessions: the group is the tenant
		admit(false, 0, "y", 1)
		now := 100 * time.Second
		g.ServerListed("s", now-time.Second)
		r := &dispatch.Request{}
		if r.WaitedForConnection = true; g.MaySend(now, r, "s") != dispatch.Send {
			t.Error("an attempt that has waited for its connection is stopped, though it has taken a token")
		}
		if r.WaitedForConnection = false; g.MaySend(now, r, "warm") != dispatch.Send {
			t.Error("nothing is sent to a warm server")
		}
		sent, dialled, probed := 0, 0, 0
		for range 1000 { // 10 s at the safe share of half a connection a second
			if _, ok := g.MayDial(0, "s"); ok {
				dialled++
			}
			if g.MayProbe(0, "s") {
				probed++
			}
			if g.MaySend(now, &dispatch.Request{}, "s") == dispatch.Send {
				sent++
			}
			time.Sleep(10 * time.Millisecond)
		}
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
		admit(true, 1, "z", 1)
		admit(false, 1, "z", 1)
		settings.MaxRetryAfter = 200 * time.Millisecond // changed settings apply
		if a := g.Admit(0, &dispatch.Request{Class: 1, Key: "z"}); a.RetryAfter != settings.MaxRetryAfter {
			t.Errorf("%+v, want the new time", a)
		}
	})
}
