package pooler_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
)

// agent is the list that is pushed to a pooler's machine.
type agent struct {
	*standin.Discovery
	fleet *standin.Fleet
	phase map[string]string
}

func (a *agent) entries() []standin.Entry {
	var out []standin.Entry
	for _, s := range a.fleet.Servers {
		phase := a.phase[s.Name]
		if phase == "" {
			phase = "Ready"
		}
		out = append(out, standin.Entry{ID: s.Name, HostPort: s.Addr, Locality: "a", Phase: phase})
	}
	return out
}

func (a *agent) drain(s *standin.Server) {
	a.phase[s.Name] = "Terminating"
	a.Change(a.entries())
}

// name has the configuration name the agent.
func (a *agent) name() {
	addr := strings.TrimPrefix(a.URL, "http://")
	if a.fleet.Wire() == "mysql" {
		a.fleet.Lists(map[string]any{"enabled": true, "mysql": map[string]any{"discovery": addr}})
	} else {
		a.fleet.Configure("discovery", addr)
	}
}

func newAgent(t *testing.T, f *standin.Fleet) *agent {
	a := &agent{fleet: f, phase: map[string]string{}}
	a.Discovery = standin.NewDiscovery(a.entries())
	t.Cleanup(a.Close)
	t.Cleanup(a.CloseClientConnections)
	return a
}

// testOverPushedLists runs a test on frontends of both protocols to whose machine lists are pushed.
func testOverPushedLists(t *testing.T, names []string, test func(t *testing.T, f *standin.Fleet, a *agent)) {
	for _, wire := range []string{"postgres", "mysql"} {
		t.Run(wire, func(t *testing.T) {
			t.Parallel()
			f := standin.NewFleet(t, wire == "mysql", func(s map[string]any) { s["discovery"] = "push" }, names...)
			a := newAgent(t, f)
			a.name()
			test(t, f, a)
		})
	}
}

// readUntil reads until a condition holds. A machine may be too busy to serve all of them in time.
func readUntil(t *testing.T, c standin.Client, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !ok(); {
		if time.Now().After(until) {
			t.Fatal(what)
		}
		c.Do(standin.Read("any", patience))
	}
}

// What the agent has counts as told from a process's first moment, whatever list that process was started with: no read
// and no write goes to what drains already.
func TestPushedListAppliesFromTheStart(t *testing.T) {
	testOverPushedLists(t, []string{"p", "r1", "r2"}, func(t *testing.T, f *standin.Fleet, a *agent) {
		a.drain(f.Servers[0])
		a.drain(f.Servers[1])
		c := dial(t, poolerProcess(t, f))
		if r := c.Do(standin.Write("k", patience)); r.Served() {
			t.Errorf("a write was served: %+v", r)
		}
		readUntil(t, c, "no reads are served", func() bool { return len(f.Servers[2].Seen()) >= 20 })
		for _, s := range f.Servers[:2] {
			if n := len(s.Seen()); n > 0 {
				t.Errorf("%d statements came to %s, which drained before the start", n, s.Name)
			}
		}
	})
}

// While the agent is away the pooler serves from what it knows. What has changed meanwhile holds, without a grace, as soon
// as the agent answers again, and later changes do too.
func TestPushedListComesBack(t *testing.T) {
	testOverPushedLists(t, []string{"p", "r1", "r2", "r3"}, func(t *testing.T, f *standin.Fleet, a *agent) {
		c := dial(t, poolerProcess(t, f))
		a.Out(true)
		readUntil(t, c, "the pooler does not call the agent again", func() bool { return a.TurnedAway() > 1 })
		a.drain(f.Servers[1])
		watches := a.Watches()
		a.Out(false)
		readUntil(t, c, "the watch is not opened again", func() bool { return a.Watches() > watches })
		readUntil(t, c, "the change is not heard", func() bool { return quiet(c, f.Servers[1]) })
		a.drain(f.Servers[2])
		readUntil(t, c, "a later change is not heard", func() bool { return quiet(c, f.Servers[2]) })
	})
}

// quiet tells whether a number of reads, enough for many turns, all go elsewhere.
func quiet(c standin.Client, s *standin.Server) bool {
	had, served := len(s.Seen()), 0
	for range 20 {
		if c.Do(standin.Read("any", patience)).Served() {
			served++
		}
	}
	return len(s.Seen()) == had && served >= 10
}

// A configuration that moves the lists to another agent holds, though that one can't be reached at first.
func TestPushedListMoves(t *testing.T) {
	testOverPushedLists(t, []string{"p", "r1", "r2"}, func(t *testing.T, f *standin.Fleet, _ *agent) {
		c := dial(t, poolerProcess(t, f))
		next := newAgent(t, f)
		next.Out(true)
		next.drain(f.Servers[1])
		next.name()
		f.Hup <- struct{}{}
		readUntil(t, c, "the new agent is never called", func() bool { return next.TurnedAway() > 1 })
		next.Out(false)
		readUntil(t, c, "the new agent is not heard", func() bool { return quiet(c, f.Servers[1]) })
	})
}

// An agent that is silent holds no start up for long: the pooler serves the servers that it was started with.
func TestStartWithASilentAgent(t *testing.T) {
	f := standin.NewFleet(t, false, func(s map[string]any) { s["discovery"] = "push" }, "p", "r")
	a := newAgent(t, f)
	a.Hush(true)
	a.name()
	c := dial(t, poolerProcess(t, f))
	expectServed(t, c.Do(standin.Write("k", 15*time.Second)))
	a.drain(f.Servers[1])
	a.Hush(false)
	readUntil(t, c, "the agent is not heard", func() bool { return quiet(c, f.Servers[1]) })
}

// Lists may turn from asked to pushed under way.
func TestPolledListBecomesPushed(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "p", "r1", "r2")
	a := poolerProcess(t, f)
	c := dial(t, a)
	settings := standin.Settings()
	settings["discovery"] = "push"
	f.Reload("settings", settings)
	expectInfo(t, a, "edge_proxy_config_reloads 1")
	f.Discovery.Out(true)
	readUntil(t, c, "the agent is not called", func() bool { return f.Discovery.TurnedAway() > 2 })
	f.Drain(f.Servers[1])
	f.Discovery.Out(false)
	readUntil(t, c, "the agent is not heard", func() bool { return quiet(c, f.Servers[1]) })
}

// A pooler serves what it was started with at once, whatever the list service or the agent does to its calls.
func TestReadyWithoutAList(t *testing.T) {
	ends := make(chan struct{})
	t.Cleanup(func() { close(ends) })
	for name, answer := range map[string]func(net.Conn){
		"refused": nil,
		"silent":  func(net.Conn) { <-ends },
		"by byte": trickle(ends, "HTTP/1.1 200 OK\r\nX: ", "x"),
		"endless": trickle(ends, "HTTP/1.1 200 OK\r\n\r\n"+`{"revision":2,"complete":true,"members":[`, strings.Repeat(" ", 64<<10)),
	} {
		for _, how := range []string{"ask", "push"} {
			for _, wire := range []string{"postgres", "mysql"} {
				t.Run(name+" "+how+" "+wire, func(t *testing.T) {
					t.Parallel()
					testReadyWithoutAList(t, answer, how, wire)
				})
			}
		}
	}
}

// trickle answers a call by first, and again and again by more, until ends is closed.
func trickle(ends chan struct{}, first, more string) func(net.Conn) {
	return func(c net.Conn) {
		for _, err := io.WriteString(c, first); err == nil; _, err = io.WriteString(c, more) {
			select {
			case <-ends:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}
}

// listServiceOf accepts calls and answers each; nil: it accepts none.
func listServiceOf(t *testing.T, answer func(net.Conn)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	if answer == nil {
		_ = ln.Close()
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { answer(c); _ = c.Close() }()
		}
	}()
	return ln.Addr().String()
}

// testReadyWithoutAList starts a pooler whose list service answers so, and has it serve.
func testReadyWithoutAList(t *testing.T, answer func(net.Conn), how, wire string) {
	service := listServiceOf(t, answer)
	f := standin.NewFleet(t, wire == "mysql", func(s map[string]any) { s["discovery"] = how }, "p", "r")
	f.Configure("known", map[string]any{"revision": 1, "complete": true, "members": (&agent{fleet: f}).entries()})
	f.Configure("discovery", service)
	if wire == "mysql" {
		f.Lists(map[string]any{"enabled": true, "mysql": map[string]any{"discovery": service}})
	}
	began := time.Now()
	a := poolerProcess(t, f)
	c := newRawClient(t, a)
	if err := c.Send(""); err != nil {
		t.Fatal(err)
	}
	if r := c.Receive(); r.Err != nil {
		t.Errorf("an empty query got %v", r.Err)
	}
	expectServed(t, dial(t, a).Do(standin.Write("k", amplePatience)))
	if d := time.Since(began); d > 5*time.Second { // of the 10 allowed; 0.5 s to wait for an agent, 0.1 s without load
		t.Errorf("a write was served after %v", d)
	}
}
