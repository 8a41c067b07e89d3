package pooler_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

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
		expectServed(t, dial(t, a).Do(standin.Write("k2", amplePatience)))
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
			expectServed(t, c.Do(standin.Read("any", amplePatience)))
		}
		f.Drain(draining)
		told := time.Now()
		const grace, late = 500 * time.Millisecond, time.Second // and time for the news on a slow machine
		for time.Since(told) < grace+2*late {
			expectServed(t, c.Do(standin.Read("any", amplePatience)))
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
		expectServed(t, dial(t, a).Do(standin.Read("any", amplePatience)))
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
		expectServed(t, dial(t, a).Do(standin.Write("k4", amplePatience)))
	})
}

// The brief's second hard case: a write meets a server that has just lost its role, and goes once to the replica
// that has just been promoted.
func TestWriteMeetsPromotedReplica(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c := dial(t, a)
		expectServed(t, c.Do(standin.Write("k5", amplePatience)))
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
