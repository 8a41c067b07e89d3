// Package program puts the pooler together from its parts and runs it.
package pooler

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
	"threadsail/internal/pooler/translating"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

const (
	// After SIGTERM new connections come for up to 0.4 s, and clients use theirs as long as they stay open. Sent more than 0.7 s
	// after it, a request is lost if SIGKILL finds it open: by then all clients have gone, or have their last answer to come.
	drainDelay  = 400 * time.Millisecond
	drainSpread = 250 * time.Millisecond // not all at once: they turn to the other poolers
	// SIGKILL comes no sooner than the longest deadline, counted as killCounts where it is longer, and killAfter. All is over
	// endBefore; what is written last has flushFor to go out.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	shutdownMargin  = 150 * time.Millisecond
	flushTimeout    = 100 * time.Millisecond

	idleTimeoutShare     = 0.6 // of the time after which servers close idle connections: reuse none that is about to go
	heapShare            = 0.7 // of the limit: the rest is for stacks, the runtime and the kernel's buffers
	gcPercent            = 200
	reservedDescriptors  = 22   // descriptors of the runtime, the logs, the poller and the listeners, 17 as counted, and files being read
	clientSocketShare    = 0.5  // of the sockets: the rest is for servers
	transientSocketShare = 0.25 // and for clients that are on their way in or out
	clientBufferShare    = 0.06 // of the memory, for incomplete messages of clients

	drainPollInterval = 10 * time.Millisecond  // while it ends
	metricsInterval   = 100 * time.Millisecond // the figures
)

// Front is what takes clients in.
type clientFrontend interface {
	Addr() string
	Drain() // takes no new clients, and closes each that there is behind its next answer
	// CloseClients closes a share of the clients, from 0 to 1, between two requests each; at 1 it takes no new ones. empty: all have
	// gone, and none can come.
	CloseClients(share float64) (empty bool)
	Terminate() // fails what is open, and closes all
}

// worker is one front with all that is behind it, on a loop of its own.
type worker struct {
	name       string
	loop       *dispatch.EventLoop
	dispatcher *dispatch.Dispatcher
	frontend   clientFrontend
	// clientBudget counts the connections of clients, with those that are on their way in or out.
	clientBudget *transport.Budget
	// applyConfig takes over a configuration under way, on the loop.
	applyConfig func(*config.Config)
	source      *serverSource
	// Its socket stays open when it ends, and another process serves on it.
	inheritedSocket bool
	metrics         atomic.Pointer[dispatch.Metrics]
}

// publishMetrics shows how things stand to who asks from other goroutines.
func (s *worker) publishMetrics() {
	f := s.dispatcher.Metrics()
	s.metrics.Store(&f)
}

// Control is how a running pooler is told what to do.
type Control struct {
	Terminate <-chan struct{}                                      // closed: end, once what has been taken is answered
	Reload    <-chan struct{}                                      // the configuration may have changed
	Load      func(inForce *config.Config) (*config.Config, error) // reads it again, strictly
	Fleet     *FleetOptions                                        // nil: the pooler is on its own
}

// Addresses is where the pooler listens; MySQL and Admin are empty while they are off.
type Addresses struct{ Postgres, MySQL, Admin string }

// Serve runs the pooler until it is told to terminate and what it has taken is answered. my is nil while the MySQL
// front is off.
func Serve(cfg *config.Config, my *config.MySQL, log zerolog.Logger, control Control, ready func(Addresses)) error {
	debug.SetGCPercent(gcPercent) // the heap is small, and the limit below binds all the same
	debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryBytes)))
	// One core, but two runnable threads: netpoll's poller blocks in the kernel holding its place, and with a single
	// one the loop's timers would wait for the runtime to notice.
	runtime.GOMAXPROCS(2)
	sockets := cfg.Sockets - reservedDescriptors
	if cfg.Admin != "" {
		sockets -= admin.Descriptors(cfg.Sockets)
	}
	sockets -= sourceDescriptors(postgresSource(cfg))
	if control.Fleet != nil {
		sockets -= fleetDescriptors
	}
	if my != nil {
		sockets -= sourceDescriptors(mysqlSource(cfg, my))
		sockets /= 2 // each front has its own share: neither can starve the other
	}
	pg, err := newPostgresWorker(cfg, control.Fleet, log, sockets)
	if err != nil {
		return err
	}
	sides := []*worker{pg}
	defer func() {
		for _, s := range sides {
			s.source.close()
		}
	}()
	addrs := Addresses{Postgres: pg.frontend.Addr()}
	if my != nil {
		m, err := newMySQLWorker(cfg, my, control.Fleet, log, sockets)
		if err != nil {
			return fmt.Errorf("mysql: %w", err)
		}
		sides = append(sides, m)
		addrs.MySQL = m.frontend.Addr()
	}
	state := &instance{workers: sides, mysqlConfig: my}
	state.serving.Store(true)
	state.admitted.Store(true)
	var joined *fleetMember
	var failed chan error
	if control.Fleet != nil {
		if joined, err = joinFleet(sides, cfg, control.Fleet, state.admitted.Store, log); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		defer joined.close()
		failed, state.fleetMember = joined.failed, joined
	}
	var running sync.WaitGroup
	for _, s := range sides {
		log.Info().Str("front", s.name).Str("addr", s.frontend.Addr()).Msg("serving")
		s.publishMetrics()
		runEvery(s.loop, metricsInterval, s.publishMetrics)
		running.Add(1)
		go func() {
			defer running.Done()
			s.loop.Run()
		}()
	}
	if cfg.Admin != "" { // last, so that its yes is true
		door, err := admin.Listen(cfg.Admin, admin.Descriptors(cfg.Sockets), state.metrics)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		defer door.Close()
		addrs.Admin = door.Addr()
		log.Info().Str("front", "admin").Str("addr", addrs.Admin).Msg("serving")
	}
	ready(addrs)
	ended := make(chan struct{})
	go func() {
		running.Wait()
		close(ended)
	}()
	var why error
	terminate := control.Terminate
	for {
		select {
		case <-control.Reload: // also while terminating: servers may still drain
			if cfg = state.reload(cfg, control.Load, log); joined != nil {
				inForce := cfg
				pg.loop.Post(func() { joined.applyConfig(inForce) })
				if control.Fleet.Reload != nil {
					if next := control.Fleet.Reload(inForce); next != nil {
						pg.loop.Post(func() { joined.applyFleetConfig(next) })
					}
				}
			}
			continue
		case why = <-failed:
			log.Error().Err(why).Msg("fleet: a part has failed, without which the pooler must not serve")
		case <-terminate:
			terminate = nil
		case <-ended:
			log.Info().Msg("ended")
			return why
		}
		if state.serving.CompareAndSwap(true, false) {
			log.Info().Msg("terminating")
			for _, s := range sides {
				s.loop.Post(s.drain)
			}
			if joined != nil {
				pg.loop.Post(joined.leave)
			}
		}
	}
}

// instance is what the operators' door tells of, besides the fronts' own figures.
type instance struct {
	workers               []*worker
	mysqlConfig           *config.MySQL // nil: off
	serving               atomic.Bool
	admitted              atomic.Bool // the fleet has not shut this pooler out
	reloads, reloadErrors atomic.Uint64
	fleetMember           *fleetMember // nil: the pooler is on its own
}

// metrics may be called on any goroutine.
func (s *instance) metrics() admin.Metrics {
	var all dispatch.Metrics
	var lists []admin.ListStatus
	for _, side := range s.workers {
		all.Add(*side.metrics.Load())
		if k := side.source.fileWatcher; k != nil {
			lists = append(lists, *k.published.Load())
		}
	}
	var fleet *admin.FleetStatus
	if s.fleetMember != nil {
		fleet = s.fleetMember.status()
	}
	return admin.Metrics{Fleet: fleet, Serving: s.serving.Load() && s.admitted.Load(), Reloads: s.reloads.Load(), ReloadErrors: s.reloadErrors.Load(),
		Classes: all.Classes, PendingRequests: all.Pending, Servers: all.Servers, UnavailableServers: all.Unavailable, Lists: lists}
}

// reload takes over what can change under load: the settings and the address of the list service. A file that can't be
// used changes nothing. It returns the configuration in force.
func (s *instance) reload(inForce *config.Config, load func(*config.Config) (*config.Config, error), log zerolog.Logger) *config.Config {
	cfg, err := load(inForce)
	if err == nil && s.mysqlConfig != nil { // its file is not read again
		if err = s.mysqlConfig.Fits(cfg.ClassNames()); err != nil {
			err = fmt.Errorf("%s: %w", s.mysqlConfig.File, err)
		}
	}
	if err != nil {
		s.reloadErrors.Add(1)
		log.Error().Err(err).Msg("reload: the old configuration stands")
		return inForce
	}
	s.reloads.Add(1)
	log.Info().Str("discovery", cfg.Discovery).Str("classes", strings.Join(cfg.ClassNames(), ", ")).Msg("reload: taken")
	if cfg.Listen != inForce.Listen || cfg.Admin != inForce.Admin || cfg.Sockets != inForce.Sockets ||
		cfg.MemoryBytes != inForce.MemoryBytes {
		log.Warn().Msg("reload: listen, admin and limits hold from the next start on")
	}
	if !slices.Equal(cfg.Zones, inForce.Zones) || cfg.Settings.Zone != inForce.Settings.Zone {
		log.Warn().Msg("reload: zones hold from the next start on") // servers are known by their numbers
		cfg.Zones, cfg.Settings.Zone = inForce.Zones, inForce.Settings.Zone
	}
	for _, side := range s.workers {
		side.loop.Post(func() { side.applyConfig(cfg) })
	}
	return cfg
}

func newPostgresWorker(cfg *config.Config, fleet *FleetOptions, log zerolog.Logger, sockets int) (*worker, error) {
	log = log.With().Str("front", "postgres").Logger()
	loop := dispatch.NewEventLoop()
	d, in, budget := newConnectionLimiter(cfg, loop, sockets)
	servers := func() upstream.Connector {
		return upstream.Connector{Loop: loop, Budget: budget, Pool: newIdlePool(cfg, loop, budget), ConnectTimeout: cfg.ConnectTimeout}
	}
	own := &postgres.Backend{Reports: cfg.Reports, Connector: servers()}
	var backend dispatch.Backend = own
	table := routes.NewTable(routes.Postgres)
	fit := func(string, int) error { return nil }
	src := newServerSource(cfg, postgresSource(cfg), postgresFormat, table, loop, log)
	dialled := []*upstream.Connector{&own.Connector}
	if src.fileWatcher != nil { // only a file can name servers of the other wire
		my := cfg.Lists.MySQLServers
		other := &mysql.Backend{Connector: servers(), User: my.User, Password: my.Password, Database: my.Database, Heartbeat: my.Heartbeat,
			Version: func(addr string) routes.Version { return table.At(addr).Version }, Log: messageLogger(log)}
		dialled = append(dialled, &other.Connector)
		backend = &wireBackends{table: table, backends: map[routes.Wire]dispatch.Backend{routes.Postgres: own, routes.MySQL: &translating.MySQLBackend{Echo: my.Echo, Backend: other}}}
		fit = func(text string, group int) error {
			if !table.Needs(group).Translation {
				return nil
			}
			_, err := translate.ToMySQL(text, my.Echo)
			return err
		}
	}
	core, err := dispatch.New(loop, backend, dispatch.Options{Settings: src.adjustSettings(cfg.Settings), Seed: cfg.Seed,
		MaxOpen: cfg.MaxOpen, ProbeTimeout: cfg.ConnectTimeout, Watch: src.openWatch, Log: messageLogger(log)})
	if err != nil {
		return nil, err
	}
	fleet.installLimiter(core, dialled...)
	if err := src.start(cfg, core); err != nil {
		return nil, err
	}
	front, err := postgres.Listen(loop, func(accept func(*transport.Conn)) (*transport.Listener, error) {
		if cfg.Inherited > 0 {
			return transport.Inherit(loop, in, cfg.Inherited, accept)
		}
		return transport.Listen(loop, in, cfg.Listen, accept)
	}, core, d, fit)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	retune := func(cfg *config.Config) {
		own.Reports = cfg.Reports
		updateConnectors(cfg, cfg.ConnectTimeout, dialled)
		if err := core.Retune(src.adjustSettings(cfg.Settings), cfg.MaxOpen, cfg.ConnectTimeout); err != nil {
			log.Error().Err(err).Msg("reload")
		}
		src.applyConfig(cfg, postgresSource(cfg))
	}
	return &worker{name: "postgres", loop: loop, dispatcher: core, frontend: front, clientBudget: in, source: src, applyConfig: retune, inheritedSocket: cfg.Inherited > 0}, nil
}

// withPollInterval is a configuration whose files are looked at as often as the MySQL front's own file says.
func withPollInterval(cfg *config.Config, d time.Duration) *config.Config {
	next, lists := *cfg, *cfg.Lists
	lists.Poll, next.Lists = d, &lists
	return &next
}

// newMySQLWorker sets up the second front: the inventory is its discovery, probes tell roles and positions, and servers
// answer reads from whatever they have.
func newMySQLWorker(cfg *config.Config, my *config.MySQL, fleet *FleetOptions, log zerolog.Logger, sockets int) (*worker, error) {
	log = log.With().Str("front", "mysql").Logger()
	loop := dispatch.NewEventLoop()
	d, in, budget := newConnectionLimiter(cfg, loop, sockets)
	servers := func() upstream.Connector { // each wire has idle connections of its own: an address may change its wire
		return upstream.Connector{Loop: loop, Budget: budget, Pool: newIdlePool(cfg, loop, budget), ConnectTimeout: my.ProbeTimeout}
	}
	table := routes.NewTable(routes.MySQL)
	own := &mysql.Backend{Connector: servers(), Version: func(addr string) routes.Version { return table.At(addr).Version }, User: my.User, Password: my.Password, Database: my.Database, Heartbeat: my.Heartbeat,
		Log: messageLogger(log)}
	other := &translating.PostgresBackend{Connector: servers(), User: my.Postgres.User, Password: my.Postgres.Password, Database: my.Postgres.Database, Heartbeat: my.Postgres.Heartbeat,
		Log: own.Log}
	dialled := []*upstream.Connector{&own.Connector, &other.Connector}
	backend := &wireBackends{table: table, backends: map[routes.Wire]dispatch.Backend{routes.MySQL: own, routes.Postgres: other}}
	src := newServerSource(cfg, mysqlSource(cfg, my), mysqlFormat, table, loop, log)
	core, err := dispatch.New(loop, backend, dispatch.Options{Settings: src.adjustSettings(probedSettings(cfg.Settings)), Seed: cfg.Seed + 1,
		MaxOpen: cfg.MaxOpen, ProbeTimeout: my.ProbeTimeout, Watch: src.openWatch, Log: own.Log})
	if err != nil {
		return nil, err
	}
	fleet.installLimiter(core, dialled...)
	if cfg.Lists.MySQL == (config.ListSource{}) {
		cfg = withPollInterval(cfg, my.Reload)
	}
	if err := src.start(cfg, core); err != nil {
		return nil, err
	}
	front, err := mysql.Listen(loop, in, core, my, d, table)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	retune := func(cfg *config.Config) {
		updateConnectors(cfg, my.ProbeTimeout, dialled)
		if err := core.Retune(src.adjustSettings(probedSettings(cfg.Settings)), cfg.MaxOpen, my.ProbeTimeout); err != nil {
			log.Error().Err(err).Msg("reload")
		}
		if cfg.Lists.MySQL == (config.ListSource{}) {
			cfg = withPollInterval(cfg, my.Reload)
		}
		src.applyConfig(cfg, mysqlSource(cfg, my))
	}
	return &worker{name: "mysql", loop: loop, dispatcher: core, frontend: front, clientBudget: in, source: src, applyConfig: retune}, nil
}

// probedSettings are the settings for servers that tell of themselves only when probed.
func probedSettings(set policy.Settings) policy.Settings {
	set.ProbesAllowed, set.RolesReported, set.StaleReads = true, true, policy.StaleReadAnswered
	return set
}

// newConnectionLimiter splits the sockets between clients and servers: neither can take what the other needs.
func newConnectionLimiter(cfg *config.Config, loop *dispatch.EventLoop, sockets int) (d *connlimit.Limiter, clients, servers *transport.Budget) {
	most, coming := int(clientSocketShare*float64(sockets)), int(transientSocketShare*float64(sockets))
	d = connlimit.New(loop, most, int(clientBufferShare*float64(cfg.MemoryBytes)))
	return d, transport.NewBudget(most + coming), transport.NewBudget(sockets - most - coming)
}

// newIdlePool keeps idle connections, as many as there may be, for a share of the time after which the servers close them.
// A dial that finds no descriptor sheds one.
func newIdlePool(cfg *config.Config, loop *dispatch.EventLoop, budget *transport.Budget) *transport.Pool {
	pool := transport.NewPool(idleTimeout(cfg), budget.Limit())
	runEvery(loop, time.Second, func() { pool.Sweep(loop.Now()) })
	return pool
}

// updateConnectors has servers of either wire reached as a configuration says from now on.
func updateConnectors(cfg *config.Config, connect time.Duration, dialled []*upstream.Connector) {
	for _, s := range dialled {
		s.ConnectTimeout = connect
		s.Pool.SetIdleTimeout(idleTimeout(cfg))
	}
}

func idleTimeout(cfg *config.Config) time.Duration {
	return time.Duration(idleTimeoutShare * float64(cfg.ConnIdle))
}

func runEvery(loop *dispatch.EventLoop, d time.Duration, f func()) {
	loop.After(d, func() {
		f()
		runEvery(loop, d, f)
	})
}

func zoneIndexes(cfg *config.Config) map[string]int {
	out := map[string]int{}
	for i, z := range cfg.Zones {
		out[z] = i
	}
	return out
}

// drain serves on while the news of the restart spreads, has the clients leave one by one, and ends once all that was taken
// is answered and gone out, or shortly before SIGKILL. Where another process serves on the same socket new clients are left
// to it at once.
func (s *worker) drain() {
	if s.inheritedSocket {
		s.frontend.Drain()
	}
	began := s.loop.Now()
	until := began + min(s.dispatcher.LongestDeadline(), maxKillDeadline) + killGrace - shutdownMargin
	s.dispatcher.SetDeadlineLimit(until)
	var look func()
	look = func() {
		now := s.loop.Now()
		if now >= until {
			s.frontend.Terminate()
			s.stopWhenFlushed(flushTimeout)
			return
		}
		share := min(float64(now-began-drainDelay)/float64(drainSpread), 1)
		if s.frontend.CloseClients(share) && s.dispatcher.OpenRequests() == 0 && s.clientBudget.Used() == 0 {
			s.loop.Stop()
			return
		}
		s.loop.After(min(drainPollInterval, until-now), look)
	}
	s.loop.After(drainDelay, look)
}

// stopWhenFlushed ends the side once the last connection of a client has ended, or after a while: bytes that are still on their way out
// of this process go with it.
func (s *worker) stopWhenFlushed(left time.Duration) {
	if left <= 0 || s.clientBudget.Used() == 0 {
		s.loop.Stop()
		return
	}
	s.loop.After(drainPollInterval, func() { s.stopWhenFlushed(left - drainPollInterval) })
}
