package pooler_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// poolerProcess runs the program on a fleet until the test ends.
func poolerProcess(t testing.TB, f *standin.Fleet) pooler.Addresses {
	t.Helper()
	return serve(t, f.Getenv, f.Hup)
}

func serve(t testing.TB, getenv func(string) string, hup <-chan struct{}) pooler.Addresses {
	t.Helper()
	a, err := tryServe(t, getenv, hup)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// tryServe runs the program until the test ends, if it starts.
func tryServe(t testing.TB, getenv func(string) string, hup <-chan struct{}) (pooler.Addresses, error) {
	a, terminate, ended, err := launch(getenv, hup)
	if err == nil {
		t.Cleanup(func() {
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
	return a, err
}

// launch runs the program until terminate is closed; ended tells how it ended.
func launch(getenv func(string) string, hup <-chan struct{}) (a pooler.Addresses, terminate chan struct{}, ended chan error, err error) {
	return launchWith(getenv, hup, nil)
}

func launchWith(getenv func(string) string, hup <-chan struct{}, part *pooler.FleetOptions) (a pooler.Addresses, terminate chan struct{}, ended chan error, err error) {
	cfg, err := config.Load(getenv)
	if err != nil {
		return a, nil, nil, err
	}
	my, err := config.LoadMySQL(getenv, cfg)
	if err != nil {
		return a, nil, nil, err
	}
	ready := make(chan pooler.Addresses, 1)
	terminate, ended = make(chan struct{}), make(chan error, 1)
	control := pooler.Control{Terminate: terminate, Reload: hup, Fleet: part,
		Load: func(inForce *config.Config) (*config.Config, error) { return inForce.Reload(getenv) }}
	go func() {
		ended <- pooler.Serve(cfg, my, zerolog.Nop(), control, func(a pooler.Addresses) { ready <- a })
	}()
	select {
	case a = <-ready:
		return a, terminate, ended, nil
	case err = <-ended:
		return a, nil, nil, err
	}
}

func dial(t testing.TB, a pooler.Addresses) standin.Client {
	t.Helper()
	var c standin.Client
	var err error
	if a.MySQL != "" {
		c, err = standin.DialMySQL(a.MySQL)
	} else {
		c, err = standin.DialPostgres(a.Postgres)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// pairs are the fronts, and the wires of the servers behind them.
var pairs = []struct {
	name  string
	mysql bool
	speak func(i int) bool // MySQL
}{
	{"postgres", false, func(int) bool { return false }},
	{"mysql", true, func(int) bool { return true }},
	{"postgres to mysql", false, func(int) bool { return true }},
	{"postgres to new and old", false, func(i int) bool { return i > 0 }},
	{"mysql to postgres", true, func(int) bool { return false }},
	{"mysql to new and old", true, func(i int) bool { return i > 0 }}, // a migration: the primary is new already
	{"mysql to old and new", true, func(i int) bool { return i == 0 }},
}

// testOverAllProtocols runs a test of a rule over all pairs of fronts and servers.
func testOverAllProtocols(t *testing.T, change func(map[string]any), names []string, test func(*testing.T, *standin.Fleet, pooler.Addresses)) {
	for _, pair := range pairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel() // they mostly wait
			f := standin.NewMixedFleet(t, pair.mysql, pair.speak, change, names...)
			test(t, f, poolerProcess(t, f))
			if n := f.Ledger.Overlaps(); n > 0 {
				t.Errorf("%d attempts met an earlier one of the same request", n)
			}
		})
	}
}

func always(act standin.Act) func(standin.Seen) standin.Act {
	return func(standin.Seen) standin.Act { return act }
}

// once does something with the first statement only.
func once(act standin.Act) func(standin.Seen) standin.Act {
	var done atomic.Bool
	return func(standin.Seen) standin.Act {
		if done.CompareAndSwap(false, true) {
			return act
		}
		return standin.Answer
	}
}

const patience = 800 * time.Millisecond

func expectServed(t testing.TB, r standin.Result) {
	t.Helper()
	if !r.Served() {
		t.Fatalf("got %+v, want an answer", r)
	}
}

// Rule 1: servers that say nothing must not leave a client without its one answer. A read is refused; a write that
// may have run is failed.
func TestNoLostRequest(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		for _, s := range f.Servers {
			s.Do(always(standin.Hang))
		}
		c := dial(t, a)
		if r := c.Do(standin.Read("any", patience)); !r.Refused {
			t.Errorf("a read on silent servers ended as %+v, want a refusal", r)
		}
		if r := c.Do(standin.Write("k1", patience)); !r.Failed {
			t.Errorf("a write on a silent primary ended as %+v, want a failure", r)
		}
	})
}

// Rule 2: a write without a key that may have run is never sent again and never refused.
func TestNoDuplicatedEffect(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		f.Servers[0].Do(once(standin.Break))
		if r := dial(t, a).Do(standin.Write("", patience)); !r.Failed {
			t.Errorf("a broken write ended as %+v, want a failure", r)
		}
		if n := len(f.Servers[0].Seen()); n != 1 {
			t.Errorf("the write was sent %d times", n)
		}
	})
}

// Rule 2 as well: with a key it is sent again, to the cluster that drops the repeat, with all but d unchanged.
func TestKeyedWriteIsRepeated(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		f.Servers[0].Do(once(standin.Break))
		expectServed(t, dial(t, a).Do(standin.Write("k2", patience)))
		seen := f.Servers[0].Seen()
		if len(seen) != 2 || seen[0].ID != seen[1].ID || !strings.Contains(seen[1].Text, ",k=k2,") {
			t.Errorf("the primary has seen %+v, want the same write twice", seen)
		}
	})
}

// Rule 3: from the end of the grace on, nothing goes to a server listed as draining.
func TestSafeDrain(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r1", "r2"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c := dial(t, a)
		draining := f.Servers[1]
		for len(draining.Seen()) == 0 {
			expectServed(t, c.Do(standin.Read("any", patience)))
		}
		f.Drain(draining)
		told := time.Now()
		const grace, late = 500 * time.Millisecond, time.Second // and time for the news on a slow machine
		for time.Since(told) < grace+2*late {
			expectServed(t, c.Do(standin.Read("any", patience)))
		}
		seen := draining.Seen()
		if last := seen[len(seen)-1].At.Sub(told); last > grace+late {
			t.Errorf("a statement went to a draining server %v after the news", last)
		}
	})
}

// Rule 4: a server that was out of reach counts as cold and gets a small share of a burst.
func TestSlowStart(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		cold := f.Servers[1]
		cold.Down()
		expectServed(t, dial(t, a).Do(standin.Read("any", patience)))
		if err := cold.Up(); err != nil {
			t.Fatal(err)
		}
		var burst sync.WaitGroup
		for range 30 {
			c := dial(t, a)
			burst.Add(1)
			go func() {
				defer burst.Done()
				c.Do(standin.Read("any", patience))
			}()
		}
		burst.Wait()
		if n := len(cold.Seen()); n > 10 {
			t.Errorf("the cold server got %d of 30 reads", n)
		}
	})
}

// Rule 5: a bounded read never goes to a replica that is too far behind, or whose position is unknown.
func TestNoStaleRead(t *testing.T) {
	for name, behind := range map[string]time.Duration{"behind": 5 * time.Second, "unknown": -1} {
		t.Run(name, func(t *testing.T) {
			testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
				f.Servers[1].Set(false, behind)
				c := dial(t, a)
				for range 4 {
					r := c.Do(standin.Read("view", patience))
					if expectServed(t, r); r.Value != "from p" {
						t.Errorf("a bounded read was answered %q", r.Value)
					}
				}
			})
		})
	}
}

// A request beyond the open ones is refused at once, with the time after which to come again.
func TestRejectionHasARetryTime(t *testing.T) {
	one := func(s map[string]any) { s["caps"].(map[string]any)["maxOpen"] = 1 }
	testOverAllProtocols(t, one, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		f.Servers[0].Do(always(standin.Hang))
		first, second := dial(t, a), dial(t, a)
		ended := make(chan standin.Result, 1)
		go func() { ended <- first.Do(standin.Write("k3", patience)) }()
		if !f.Servers[0].Wait(1) {
			t.Fatal("the first write never came")
		}
		if r := second.Do(standin.Read("any", patience)); !r.Refused || r.After != 500*time.Millisecond {
			t.Errorf("got %+v, want a refusal with 500ms", r)
		}
		<-ended
	})
}

// A client that leaves takes its attempt with it: the server's connection is closed.
func TestClientDisconnects(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		f.Servers[0].Do(once(standin.Hang))
		c, text := dial(t, a), standin.Write("k4", 2*time.Second)
		leave := func() { _ = c.Close() }
		switch c := c.(type) {
		case *standin.Postgres:
			if err := c.Send(text); err != nil {
				t.Fatal(err)
			}
		case *standin.MySQL:
			ctx, cancel := context.WithCancel(context.Background()) // the driver then closes its connection
			ended := make(chan struct{})
			go func() { _, _ = c.ExecContext(ctx, text); close(ended) }()
			leave = func() { cancel(); <-ended }
		}
		if !f.Servers[0].Wait(1) {
			t.Fatal("the write never came")
		}
		leave()
		expectServed(t, dial(t, a).Do(standin.Write("k4", patience)))
	})
}

// The brief's second hard case: a write meets a server that has just lost its role, and goes once to the replica
// that has just been promoted.
func TestWriteMeetsPromotedReplica(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c := dial(t, a)
		expectServed(t, c.Do(standin.Write("k5", patience)))
		f.Servers[0].Set(false, 0)
		f.Servers[1].Set(true, 0)
		text := standin.Write("k6", 2*time.Second)
		expectServed(t, c.Do(text))
		took := 0
		for _, seen := range f.Servers[1].Seen() {
			if strings.Contains(seen.Text, ",k=k6,") {
				took++
			}
		}
		if took != 1 {
			t.Errorf("the new primary has taken the write %d times", took)
		}
	})
}
