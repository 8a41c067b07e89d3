package program_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
)

// overLists runs a test on a front whose lists are asked for, in a large fleet, and on one to which they are pushed.
func overLists(t *testing.T, test func(t *testing.T, f *standin.Fleet, a *agent)) {
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

// waitFor waits until a condition holds. In a large fleet a front's own share of the servers is small: reads may be refused.
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
	overLists(t, func(t *testing.T, f *standin.Fleet, a *agent) {
		c := dial(t, pooler(t, f))
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
	overLists(t, func(t *testing.T, f *standin.Fleet, a *agent) {
		a.Indent()
		c := dial(t, pooler(t, f))
		waitFor(t, "no watch is opened", func() bool { _, ok := a.Open(); return ok })
		a.drain(f.Servers[1])
		waitFor(t, "the drain is never heard of", func() bool { return quiet(c, f.Servers[1]) })
		if n := a.Watches(); n > 2 { // an agent is also asked before the start
			t.Errorf("%d watches were opened", n)
		}
	})
}
