// Package pooler assembles the pooler from its parts and runs it: one worker for each enabled frontend (PostgreSQL, MySQL), the
// source of each worker's server list, this pooler's membership in its fleet, and the admin server.
//
// It decides when the process starts, reloads its configuration and shuts down, and how descriptors and memory are divided
// between the workers. It owns the workers, their event loops and the goroutines that run them. Each worker's state belongs to
// that worker's event loop; Serve's own goroutine reaches it only by posting functions to the loop. The pooler chooses no servers
// and repeats no requests (package policy decides that, package dispatch carries it out), and it speaks no protocol itself
// (packages postgres, mysql and translating do).
//
// The life of the process stands in three files: start.go, reload.go and shutdown.go.
package pooler

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/pooler/admin"
)

// Control carries the orders to a running pooler.
type Control struct {
	// Terminate is closed to shut the pooler down once everything that it has accepted is answered.
	Terminate <-chan struct{}
	// Reload receives a value when the configuration may have changed.
	Reload <-chan struct{}
	// Load reads the configuration again, strictly; inForce is the one in use.
	Load func(inForce *config.Config) (*config.Config, error)
	// Fleet is this pooler's membership in a fleet; nil: the pooler runs on its own.
	Fleet *FleetOptions
}

// Addresses tells where the pooler listens. MySQL and Admin are empty while they are disabled.
type Addresses struct{ Postgres, MySQL, Admin string }

// Serve runs the pooler until control tells it to terminate and everything that it has accepted is answered. ready is called
// once, as soon as all addresses accept connections. mysqlConfig is nil while the MySQL frontend is disabled. The error is why the
// pooler could not start, or why it had to stop.
func Serve(cfg *config.Config, mysqlConfig *config.MySQL, log zerolog.Logger, control Control, ready func(Addresses)) error {
	configureRuntime(cfg)
	p := &instance{config: cfg, mysqlConfig: mysqlConfig, log: log, control: control}
	defer p.close()
	if err := p.start(); err != nil {
		return err
	}
	ready(p.addresses())
	return p.run()
}

// instance is one running pooler. Its fields belong to the goroutine of Serve, but for the atomic ones, which the admin server's
// goroutine reads.
type instance struct {
	config      *config.Config // in force
	mysqlConfig *config.MySQL  // nil: the MySQL frontend is disabled
	log         zerolog.Logger
	control     Control

	workers     []*worker    // the PostgreSQL worker is the first
	fleetMember *fleetMember // nil: the pooler runs on its own
	admin       *admin.Server
	running     sync.WaitGroup // the goroutines of the workers' event loops

	serving               atomic.Bool // false once the shutdown has begun
	admitted              atomic.Bool // the fleet has not excluded this pooler
	reloads, reloadErrors atomic.Uint64
}

// run serves until the last worker has stopped. It returns the failure that made the pooler stop, if any.
func (p *instance) run() error {
	stopped := make(chan struct{})
	go func() { // ends with the last worker
		p.running.Wait()
		close(stopped)
	}()
	var failure error
	terminate := p.control.Terminate
	for {
		select {
		case <-p.control.Reload: // also during the shutdown: servers may still drain
			p.reload()
		case failure = <-p.fleetFailed():
			p.log.Error().Err(failure).Msg("fleet: a part has failed, without which the pooler must not serve")
			p.beginShutdown()
		case <-terminate:
			terminate = nil
			p.beginShutdown()
		case <-stopped:
			p.log.Info().Msg("ended")
			return failure
		}
	}
}

// fleetFailed delivers the failure of a fleet component without which the pooler must not serve.
func (p *instance) fleetFailed() <-chan error {
	if p.fleetMember == nil {
		return nil
	}
	return p.fleetMember.failed
}

// addresses tells where the started pooler listens.
func (p *instance) addresses() Addresses {
	addresses := Addresses{Postgres: p.postgresWorker().frontend.Addr()}
	if len(p.workers) > 1 {
		addresses.MySQL = p.workers[1].frontend.Addr()
	}
	if p.admin != nil {
		addresses.Admin = p.admin.Addr()
	}
	return addresses
}

// postgresWorker returns the worker whose event loop also runs the fleet membership.
func (p *instance) postgresWorker() *worker { return p.workers[0] }
