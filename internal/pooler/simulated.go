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

// Simulated is a pooler's part in its fleet as Serve has it, list leadership and journal included, without frontends, clients and
// connections to servers: hundreds of them in one process tell what a pooler costs its fleet. Its servers are those that the list
// names; each is taken to answer its probes at once.
type Simulated struct {
	member *fleetMember
	loop   *dispatch.EventLoop
	source *serverSource
	done   chan struct{} // closed: the loop has ended
}

// OpenSimulated joins the fleet and returns at once; errors are of the configuration, the addresses and the folders. Its loop runs
// on a goroutine of its own until Close.
func OpenSimulated(cfg *config.Config, options *FleetOptions, log zerolog.Logger) (*Simulated, error) {
	loop := dispatch.NewEventLoop()
	source := newServerSource(cfg, postgresSource(cfg), postgresFormat, routes.NewTable(routes.Postgres), loop, log)
	w := &worker{name: postgresFormat.name, log: log, loop: loop, source: source}
	dispatchOptions := dispatch.Options{Settings: cfg.Settings, Seed: cfg.Seed, ProbeTimeout: cfg.ConnectTimeout}
	if err := w.startDispatcher(cfg, simulatedBackend{loop}, dispatchOptions, options); err != nil {
		return nil, err
	}
	member, err := newFleetMember([]*worker{w}, cfg, options, func(bool) {}, log)
	if err != nil {
		source.close()
		return nil, err
	}
	s := &Simulated{member: member, loop: loop, source: source, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		loop.Run()
		source.close()
	}()
	return s, nil
}

// Status returns how the fleet stands. It may be called on any goroutine.
func (s *Simulated) Status() admin.FleetStatus { return *s.member.status() }

// Close leaves the fleet, as a pooler that shuts down.
func (s *Simulated) Close() {
	s.loop.Post(func() {
		s.member.leave()
		if w := s.source.watcher; w != nil {
			w.disconnect() // else its connection would outlive it in this process
		}
		s.loop.Stop()
	})
	<-s.done
	s.member.close()
}

// simulatedBackend takes all servers to be healthy without a call.
type simulatedBackend struct{ loop *dispatch.EventLoop }

// Send ends an attempt without a connection.
func (b simulatedBackend) Send(_ string, _ any, _ time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	return b.finish(a.Done, policy.ConnectFailed)
}

// Probe answers a probe at once.
func (b simulatedBackend) Probe(_ string, done func(dispatch.AttemptResult)) dispatch.Call {
	return b.finish(done, policy.OK)
}

// CloseIdle does nothing: there are no connections.
func (simulatedBackend) CloseIdle(string) {}

func (b simulatedBackend) finish(done func(dispatch.AttemptResult), result policy.Result) dispatch.Call {
	call := &simulatedCall{}
	b.loop.Post(func() {
		if !call.aborted {
			done(dispatch.AttemptResult{Result: result})
		}
	})
	return call
}

// simulatedCall is a call that goes nowhere. It is used on the loop alone.
type simulatedCall struct{ aborted bool }

// Abort has the call end unreported.
func (c *simulatedCall) Abort() { c.aborted = true }
