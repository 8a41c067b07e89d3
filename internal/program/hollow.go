package program

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/program/admin"
	"threadsail/internal/routes"
	"threadsail/internal/routing"
	"threadsail/rules"
)

// Hollow is a pooler's part in its fleet as Serve has it, list duty and journal included, without fronts, clients and connections
// to servers: hundreds of them in one process tell what a pooler costs its fleet. Its servers are those that the list names, each
// of which it takes to answer its probes at once.
type Hollow struct {
	member *member
	loop   *routing.Loop
	source *source
	ended  chan struct{}
}

// OpenHollow joins the fleet and returns at once; errors are of the configuration, the addresses and the folders.
func OpenHollow(cfg *config.Config, part *FleetPart, log zerolog.Logger) (*Hollow, error) {
	loop := routing.NewLoop()
	src := newSource(cfg, postgresSource(cfg), postgresWire, routes.NewTable(routes.Postgres), loop, log)
	core, err := routing.New(loop, unreached{loop}, routing.Options{Settings: src.settings(cfg.Settings), Seed: cfg.Seed, MaxOpen: cfg.MaxOpen,
		ProbeTimeout: cfg.ConnectTimeout, Watch: src.watch, Log: said(log)})
	if err != nil {
		return nil, err
	}
	part.limit(core)
	if err := src.begin(cfg, core); err != nil {
		return nil, err
	}
	h := &Hollow{loop: loop, source: src, ended: make(chan struct{})}
	if h.member, err = joinFleet([]*side{{name: "postgres", loop: loop, core: core, source: src}}, cfg, part, func(bool) {}, log); err != nil {
		src.close()
		return nil, err
	}
	go func() {
		defer close(h.ended)
		loop.Run()
		src.close()
	}()
	return h, nil
}

// Figures may be called on any goroutine.
func (h *Hollow) Figures() admin.Fleet { return *h.member.figures() }

// Close leaves the fleet, as a pooler that ends.
func (h *Hollow) Close() {
	h.loop.Post(func() {
		h.member.leave()
		if w := h.source.watcher; w != nil {
			w.shut() // else its connection would outlive it in this process
		}
		h.loop.Stop()
	})
	<-h.ended
	h.member.close()
}

// unreached takes all servers to be well without a call.
type unreached struct{ loop *routing.Loop }

func (u unreached) Send(_ string, _ any, _ time.Duration, a routing.Attempt) routing.Call {
	return u.end(a.Done, rules.NoConnect)
}

func (u unreached) Probe(_ string, done func(routing.Result)) routing.Call {
	return u.end(done, rules.OK)
}

func (unreached) CloseIdle(string) {}

func (u unreached) end(done func(routing.Result), r rules.Result) routing.Call {
	c := &unsent{}
	u.loop.Post(func() {
		if !c.aborted {
			done(routing.Result{Result: r})
		}
	})
	return c
}

// unsent is a call that goes nowhere. It is used on the loop alone.
type unsent struct{ aborted bool }

func (c *unsent) Abort() { c.aborted = true }
