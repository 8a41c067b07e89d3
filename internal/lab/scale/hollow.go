package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/traffic"
	"threadsail/internal/pooler"
)

// build is what hollow poolers tell of themselves: as long as what a real one tells.
const build = "v0.0.0-20260101000000-000000000000"

// Hollow runs hollow poolers as the laboratory asks for on in, until in ends. It returns an error where in can't be read.
func Hollow(in io.Reader, out io.Writer) error {
	debug.SetGCPercent(200) // as a pooler's own process has it
	w := &works{poolers: map[string]*running{}}
	asks, answers := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var a ask
		if err := asks.Decode(&a); errors.Is(err, io.EOF) {
			return nil // what runs ends with the process, as if it were killed
		} else if err != nil {
			return err
		}
		back, err := w.do(a)
		if back.At = time.Now(); err != nil {
			back.Error = err.Error()
		}
		if err := answers.Encode(back); err != nil {
			return err
		}
	}
}

// works is a process of hollow poolers.
type works struct {
	cfg     *config.Config
	poolers map[string]*running

	mu   sync.Mutex
	seen []sight
}

// running is a hollow pooler.
type running struct {
	*pooler.Simulated
	ground chan fleet.Runtime
	own    fleet.Runtime
	before []traffic.Count // of its lives before this one
}

func (w *works) do(a ask) (out answer, err error) {
	switch a.Do {
	case doStart:
		if w.cfg, err = config.Load(func(key string) string { return map[string]string{"PROXY_CONFIG": a.Config}[key] }); err != nil {
			return out, err
		}
		for _, h := range a.Poolers {
			if err := w.open(h, nil); err != nil {
				return out, fmt.Errorf("%s: %w", h.Name, err)
			}
			time.Sleep(a.Over / time.Duration(len(a.Poolers)))
		}
	case doRestart:
		for _, h := range a.Poolers {
			old := w.poolers[h.Name]
			old.Close()
			if err := w.open(h, old.traffic()); err != nil {
				return out, fmt.Errorf("%s: %w", h.Name, err)
			}
		}
	case doSample:
		out.Process = self()
		out.Traffic = make(map[string][]traffic.Count, len(w.poolers))
		for name, p := range w.poolers {
			out.Traffic[name] = p.traffic()
		}
	case doKnow:
		for name, p := range w.poolers {
			known := p.own.Bus.Size()
			if out.Known += known; known >= a.Members {
				out.Knowing = append(out.Knowing, name)
			}
		}
	case doSeen:
		w.mu.Lock()
		out.Seen, w.seen = w.seen, nil
		w.mu.Unlock()
	default:
		err = fmt.Errorf("%q is not known", a.Do)
	}
	return out, err
}

// open starts a hollow pooler from its files.
func (w *works) open(h hollow, before []traffic.Count) error {
	cfg := *w.cfg
	cfg.Name, cfg.Seed = h.Name, h.Seed
	fc, err := config.LoadFleet(func(string) string { return h.Fleet }, &cfg)
	if err != nil {
		return err
	}
	p := &running{ground: make(chan fleet.Runtime, 1), before: before}
	o := fleet.Options{Config: fc, JitterFraction: pooler.Spread(&cfg), Components: []fleet.Component{&observer{w, h.Name, p.ground}}, Log: zerolog.Nop()}
	part := &pooler.FleetOptions{Config: fc, Build: build, Open: func(e pooler.FleetEvents) (pooler.Fleet, error) { return fleet.Start(o, e) }}
	if p.Simulated, err = pooler.OpenSimulated(&cfg, part, zerolog.Nop()); err != nil {
		return err
	}
	p.own = <-p.ground
	w.poolers[h.Name] = p
	return nil
}

// traffic is the pooler's over all its lives.
func (p *running) traffic() []traffic.Count { return sum(p.before, p.Status().Traffic) }

// observer is the laboratory's part at a hollow pooler: it notes when changes come into force there.
type observer struct {
	w      *works
	name   string
	ground chan<- fleet.Runtime
}

func (o *observer) Run(ctx context.Context, g fleet.Runtime) error {
	o.ground <- g
	last := 0
	for {
		changed := g.View.Changed()
		if d, ok := g.View.Get(changeKey); ok {
			var c change
			if err := json.Unmarshal(d.Value, &c); err != nil {
				return err
			}
			if c.Number > last {
				last = c.Number
				o.w.mu.Lock()
				o.w.seen = append(o.w.seen, sight{o.name, c.Number, time.Now().UnixNano()})
				o.w.mu.Unlock()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// self is what this process has taken.
func self() (p process) {
	var use unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &use) == nil {
		p.CPU = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	p.RSS = resident(os.Getpid())
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	p.Heap = int64(live[0].Value.Uint64())
	p.Descriptors = descriptors(os.Getpid())
	p.Goroutines = runtime.NumGoroutine()
	return p
}
