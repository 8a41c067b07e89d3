package scalepooler

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/lab/standin"
)

// open starts the stand-in servers that the names of lists share.
func (r *run) open() {
	r.fleet = standin.NewFleet(r.h, false, nil)
	for i := range r.Listeners {
		r.primaries = append(r.primaries, r.server(fmt.Sprintf("primaries%d", i), true))
		r.replicas = append(r.replicas, r.server(fmt.Sprintf("replicas%d", i), false))
	}
	r.news = r.fleet.Server("news", true)
}

func (r *run) server(name string, primary bool) *standin.Server {
	s := r.fleet.Server(name, primary)
	s.Do(r.work)
	return s
}

func (r *run) work(standin.Seen) standin.Act {
	time.Sleep(r.Work)
	return standin.Answer
}

// entry is one line of a list, which leaves out what says nothing: the largest lists must fit what a pooler takes.
type entry struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	UpSince  float64 `json:"up_since_ms,omitempty"`
	Recovery string  `json:"recovery"`
}

// name is a name as long as names are to be.
func (r *run) name(short string) string {
	return short + strings.Repeat("x", max(r.Name-len(short), 0))
}

// entries is a list of so many servers in groups of GroupOf, which names the first of each group as its primary. Servers are
// names at the addresses of the stand-ins.
func (r *run) entries(servers int) []entry {
	out := make([]entry, servers)
	for i := range out {
		out[i] = r.entry(fmt.Sprintf("db%d", i+1), i/GroupOf, i%GroupOf == 0)
	}
	return out
}

func (r *run) entry(name string, group int, primary bool) entry {
	e := entry{ID: r.name(name), HostPort: r.replicas[group%len(r.replicas)].Addr, Locality: "a", Cell: group, Phase: "Ready", Recovery: "on"}
	if primary {
		e.HostPort, e.Recovery = r.primaries[group%len(r.primaries)].Addr, "off"
	}
	return e
}

// setup is how a pooler is configured.
type setup struct {
	balancers int
	clients   int
	known     []entry
	list      *list
	patience  time.Duration // for reads; 0: as the stand-in fleet's settings have it
}

// maxOpen is settings.caps.maxOpen: more requests than clients, none is to be refused for its number.
const maxOpen = 20000

// pooler writes the configuration and starts the pooler.
func (r *run) pooler(ctx context.Context, s setup) (*process, error) {
	settings := standin.Settings()
	settings["balancers"], settings["me"] = s.balancers, 0
	settings["caps"].(map[string]any)["maxOpen"] = maxOpen
	if s.patience > 0 {
		for _, l := range settings["lanes"].([]any) {
			lane := l.(map[string]any)
			lane["aimMs"], lane["hardLimitMs"] = s.patience.Milliseconds(), s.patience.Milliseconds()
		}
	}
	r.fleet.Configure("settings", settings)
	r.fleet.Configure("limits", map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets(s.clients, groups(len(s.known)))})
	r.fleet.Configure("known", word{0, true, s.known})
	r.fleet.Configure("discovery", s.list.addr())
	return r.start(ctx)
}

// taken waits until a group that only the newest list names is known and answers, and tells when that was. The last question may
// wait in the pooler while that takes the list in, so it is the answer that tells: its way, some 0.5 ms, counts as well.
func taken(ctx context.Context, c standin.Client, group int) (time.Time, error) {
	for began := time.Now(); ; {
		res := c.Do(standin.At(group, standin.Read("any", 2*time.Second)))
		now := time.Now()
		switch {
		case res.Served():
			return now, nil
		case res.Err != nil:
			return now, errors.Join(context.Cause(ctx), res.Err)
		case now.Sub(began) > takenMost:
			return now, fmt.Errorf("the list is not taken within %v: code %s", takenMost, res.Code)
		}
		if err := pause(ctx, 200*time.Microsecond); err != nil {
			return now, err
		}
	}
}

// takenMost bounds the wait for a list.
const takenMost = 10 * time.Second
