package pooler_test

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// New settings come under load: a request under way keeps its class, a new class is served, one that has vanished is an
// error, also to a statement that was prepared before, and a stricter effect holds. What the old settings had kept for reuse
// is kept no longer than the new ones have it. A file that is turned down changes nothing.
func TestNewSettings(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		release, waits, c := make(chan struct{}), dial(t, a), dial(t, a)
		block := func(standin.Seen) standin.Act { <-release; return standin.Break }
		f.Servers[0].Do(once(standin.Answer))
		expectServed(t, c.Do(standin.Write("k", amplePatience)))
		f.Servers[0].Do(block)
		ended := make(chan standin.Result, 1)
		go func() { ended <- waits.Do(standin.Write("k1", 20*time.Second)) }()
		if !f.Servers[0].Wait(2) {
			t.Fatal("the write never came")
		}
		my, mysql := c.(*standin.MySQL)
		view := func() standin.Result { return c.Do(standin.Read("view", patience)) }
		if mysql {
			st := prepared(t, my, standin.Read("view", patience))
			view = func() standin.Result { return standin.Execute(st) }
		}
		settings := standin.Settings()
		lanes := settings["lanes"].([]any)
		write, more := lanes[2].(map[string]any), map[string]any{}
		for k, v := range write {
			more[k] = v
		}
		write["semantics"], more["name"] = "single_shot", "more"
		settings["lanes"] = []any{write, lanes[1], more} // view vanishes
		settings["familyInfo"].(map[string]any)["classRead"] = []string{"mutate", "eventual", "mutate"}
		f.Reload("settings", settings)
		expectInfo(t, a, "edge_proxy_config_reloads 1", "edge_proxy_config_reload_errors 0",
			`edge_proxy_upstream_requests{lane="more"} 0`)
		f.Servers[0].Do(once(standin.Break))
		if r := c.Do(standin.Write("k2", patience)); !r.Failed || len(f.Servers[0].Seen()) != 3 {
			t.Errorf("a write of the stricter class got %+v after %d statements", r, len(f.Servers[0].Seen()))
		}
		if r := view(); r.Served() || r.Refused || r.Err != nil {
			t.Errorf("a class that has vanished got %+v", r)
		}
		expectServed(t, c.Do(standin.Read("any", amplePatience)))
		close(release)
		expectServed(t, <-ended) // by its second attempt, as its class allowed when it came
		caps := settings["caps"].(map[string]any)
		caps["connIdleMs"] = 1
		f.Reload("settings", settings)
		expectInfo(t, a, "edge_proxy_config_reloads 2", "edge_proxy_config_reload_errors 0")
		expectNewConnections(t, f, c)
		wrong := 0
		if mysql { // whose front serves statements without a comment by a class of reads
			settings["lanes"] = []any{write, more}
			settings["familyInfo"].(map[string]any)["classRead"] = []string{"mutate", "mutate"}
			f.Reload("settings", settings)
			wrong = 1
			expectInfo(t, a, "edge_proxy_config_reloads 2", fmt.Sprint("edge_proxy_config_reload_errors ", wrong))
		}
		caps["maxAttempts"] = 0
		f.Reload("settings", settings)
		expectInfo(t, a, "edge_proxy_config_reloads 2", fmt.Sprint("edge_proxy_config_reload_errors ", wrong+1))
		expectServed(t, c.Do(standin.Write("k3", amplePatience)))
	})
}

// expectNewConnections has four reads served, each over a new connection to a server.
func expectNewConnections(t *testing.T, f *standin.Fleet, c standin.Client) {
	t.Helper()
	came := func() (n int) {
		for _, s := range f.Servers {
			n += s.Came()
		}
		return n
	}
	before := came()
	for n := 0; n < 4; {
		if r := c.Do(standin.Read("any", patience)); r.Served() {
			n++
		} else if !r.Refused { // as a busy machine's may be
			t.Fatalf("a read got %+v", r)
		}
	}
	if n := came() - before; n < 4 {
		t.Errorf("%d new connections for 4 reads, where none is kept for a millisecond", n)
	}
}
