package pooler_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// testOverLists runs a test on a frontend whose lists are asked for, in a large fleet, and on one to which they are pushed.
func testOverLists(t *testing.T, test func(t *testing.T, f *standin.Fleet, a *agent)) {
	for _, how := range []string{"ask", "push"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := standin.NewFleet(t, false, func(s map[string]any) {
				s["discovery"], s["balancers"] = how, 300
				s["contract"].(map[string]any)["mustAskInMs"] = 6000
			}, "p", "r1", "r2")
			a := newAgent(t, f)
			a.name()
			test(t, f, a)
		})
	}
}

// waitFor waits until a condition holds. In a large fleet a frontend's own share of the servers is small: reads may be refused.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(what)
		}
	}
}

// A watch that has fallen silent is opened anew. What it missed, a server that drains, is heard of before it counts as told,
// 6 s after the silence began.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	testOverLists(t, func(t *testing.T, f *standin.Fleet, a *agent) {
		c := dial(t, poolerProcess(t, f))
		waitFor(t, "no watch is opened", func() bool { _, ok := a.Open(); return ok })
		silent := time.Now()
		a.Strand()
		a.drain(f.Servers[1])
		opened := a.Watches()
		waitFor(t, "the drain is never heard of", func() bool { return a.Watches() > opened && quiet(c, f.Servers[1]) })
		if d := time.Since(silent); d > 6*time.Second {
			t.Errorf("a drain was heard of %v after the watch fell silent", d)
		}
	})
}

// Lists that come indented, over many lines, are taken as any others are.
func TestIndentedLists(t *testing.T) {
	testOverLists(t, func(t *testing.T, f *standin.Fleet, a *agent) {
		a.Indent()
		c := dial(t, poolerProcess(t, f))
		waitFor(t, "no watch is opened", func() bool { _, ok := a.Open(); return ok })
		a.drain(f.Servers[1])
		waitFor(t, "the drain is never heard of", func() bool { return quiet(c, f.Servers[1]) })
		if n := a.Watches(); n > 2 { // an agent is also asked before the start
			t.Errorf("%d watches were opened", n)
		}
	})
}

// Idle clients fill their places and idle connections those of the servers, at the least limits there are, while the list
// service is down. Both are left some: requests are served, and the list is heard once the service is back.
func TestCapacityWhileTheListIsAway(t *testing.T) {
	for wire, sockets := range map[string]int{"postgres": 32, "mysql": 64} { // the front of PostgreSQL runs beside MySQL's
		t.Run(wire, func(t *testing.T) {
			f := standin.NewFleet(t, wire == "mysql", nil, "p", "r1", "r2", "r3", "r4", "r5")
			f.Configure("limits", map[string]any{"sockets": sockets, "memory_mb": 64})
			a := newAgent(t, f)
			a.name()
			addrs := poolerProcess(t, f)
			waitFor(t, "no watch is opened", func() bool { _, ok := a.Open(); return ok })
			a.Out(true)
			waitFor(t, "the list service is not called again", func() bool { return a.TurnedAway() > 0 })
			turned := 0
			for range 2 * sockets {
				if c, err := standin.Dial(wire, frontendAddr(addrs)); err != nil {
					turned++
				} else {
					t.Cleanup(func() { _ = c.Close() })
				}
			}
			var c standin.Client
			waitFor(t, "a newcomer finds no room", func() (ok bool) {
				if c, ok = tryNewClient(t, wire, addrs); !ok {
					turned++
				}
				return ok
			})
			open := 0
			readUntil(t, c, "no read is served", func() bool {
				now := 0
				for _, s := range f.Servers {
					now += s.Open()
				}
				open = max(open, now)
				return open >= 2 && len(f.Servers[1].Seen()) > 0
			})
			a.drain(f.Servers[1])
			watches, back := a.Watches(), time.Now()
			a.Out(false)
			readUntil(t, c, "the list service is not called once it is back", func() bool { return a.Watches() > watches })
			readUntil(t, c, "the drain is never heard of", func() bool { return quiet(c, f.Servers[1]) })
			expectServed(t, c.Do(standin.Write("k", amplePatience)))
			t.Logf("%d turned away, %d connections to servers, heard within %v", turned, open, time.Since(back))
		})
	}
}

// tryNewClient connects a client, if it finds room and is served.
func tryNewClient(t *testing.T, wire string, a pooler.Addresses) (standin.Client, bool) {
	c, err := standin.Dial(wire, frontendAddr(a))
	if err != nil {
		return nil, false
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, c.Do(standin.Read("any", patience)).Served()
}
