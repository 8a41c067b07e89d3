package pooler

import (
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/routes"
)

// Simulated is a pooler's part in its fleet as Serve has it, list duty and journal included, without fronts, clients and connections
// to servers: hundreds of them in one process tell what a pooler costs its fleet. Its servers are those that the list names, each
// of which it takes to answer its probes at once.
type Simulated struct {
	member *fleetMember
	loop   *dispatch.EventLoop
	source *serverSource
	done   chan struct{}
}

// OpenSimulated joins the fleet and returns at once; errors are of the configuration, the addresses and the folders.
func OpenSimulated(cfg *config.Config, part *FleetOptions, log zerolog.Logger) (*Simulated, error) {
	loop := dispatch.NewEventLoop()
	src := newServerSource(cfg, postgresSource(cfg), postgresFormat, routes.NewTable(routes.Postgres), loop, log)
	core, err := dispatch.New(loop, simulatedBackend{loop}, dispatch.Options{Settings: src.adjustSettings(cfg.Settings), Seed: cfg.Seed, MaxOpen: cfg.MaxOpen,
		ProbeTimeout: cfg.ConnectTimeout, Watch: src.openWatch, Log: messageLogger(log)})
	if err != nil {
		return nil, err
	}
	part.installLimiter(core)
	if err := src.start(cfg, core); err != nil {
		return nil, err
	}
	h := &Simulated{loop: loop, source: src, done: make(chan struct{})}
	if h.member, err = joinFleet([]*worker{{name: "postgres", loop: loop, dispatcher: core, source: src}}, cfg, part, func(bool) {}, log); err != nil {
		src.close()
		return nil, err
	}
	go func() {
		defer close(h.done)
		loop.Run()
		src.close()
	}()
	return h, nil
}

// Status may be called on any goroutine.
func (h *Simulated) Status() admin.FleetStatus { return *h.member.status() }

// Close leaves the fleet, as a pooler that ends.
func (h *Simulated) Close() {
	h.loop.Post(func() {
		h.member.leave()
		if w := h.source.watcher; w != nil {
			w.disconnect() // else its connection would outlive it in this process
		}
		h.loop.Stop()
	})
	<-h.done
	h.member.close()
}

// simulatedBackend takes all servers to be well without a call.
type simulatedBackend struct{ loop *dispatch.EventLoop }

func (u simulatedBackend) Send(_ string, _ any, _ time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	return u.finish(a.Done, policy.ConnectFailed)
}

func (u simulatedBackend) Probe(_ string, done func(dispatch.AttemptResult)) dispatch.Call {
	return u.finish(done, policy.OK)
}

func (simulatedBackend) CloseIdle(string) {}

func (u simulatedBackend) finish(done func(dispatch.AttemptResult), r policy.Result) dispatch.Call {
	c := &simulatedCall{}
	u.loop.Post(func() {
		if !c.aborted {
			done(dispatch.AttemptResult{Result: r})
		}
	})
	return c
}

// simulatedCall is a call that goes nowhere. It is used on the loop alone.
type simulatedCall struct{ aborted bool }

func (c *simulatedCall) Abort() { c.aborted = true }
