package program_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/program"
)

// New settings come under load: a request under way keeps its class, a new class is served, one that has vanished is an
// error, and a stricter effect holds. A file that is turned down changes nothing.
func TestNewSettings(t *testing.T) {
	overBoth(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a program.Addrs) {
		release, waits, c := make(chan struct{}), dial(t, a), dial(t, a)
		block := func(s standin.Seen) standin.Act { <-release; return standin.Break }
		f.Servers[0].Do(once(standin.Answer))
		served(t, c.Do(standin.Write("k", patience)))
		f.Servers[0].Do(block)
		ended := make(chan standin.Result, 1)
		go func() { ended <- waits.Do(standin.Write("k1", 20*time.Second)) }()
		if !f.Servers[0].Wait(2) {
			t.Fatal("the write never came")
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
		shows(t, a, "edge_proxy_config_reloads 1", "edge_proxy_config_reload_errors 0",
			`edge_proxy_upstream_requests{lane="more"} 0`)
		f.Servers[0].Do(once(standin.Break))
		if r := c.Do(standin.Write("k2", patience)); !r.Failed || len(f.Servers[0].Seen()) != 3 {
			t.Errorf("a write of the stricter class got %+v after %d statements", r, len(f.Servers[0].Seen()))
		}
		if r := c.Do(standin.Read("view", patience)); r.Served() || r.Refused || r.Err != nil {
			t.Errorf("a class that has vanished got %+v", r)
		}
		served(t, c.Do(standin.Read("any", patience)))
		close(release)
		served(t, <-ended) // by its second attempt, as its class allowed when it came
		settings["caps"].(map[string]any)["maxAttempts"] = 0
		f.Reload("settings", settings)
		shows(t, a, "edge_proxy_config_reloads 1", "edge_proxy_config_reload_errors 1")
		served(t, c.Do(standin.Write("k3", patience)))
	})
}
