package pooler

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/transport"
)

const (
	clientShare    = 0.5  // of a worker's descriptors: the rest is for servers
	transientShare = 0.25 // and for clients that are being accepted or closed
	requestShare   = 0.1  // of the process's memory for requests, divided among the workers: input and requests in flight
	answerShare    = 0.1  // and for answers that are being received, or that clients have not read

	idleTimeoutShare = 0.6 // of the time after which servers close idle connections: none that is about to close is reused
	sweepInterval    = time.Second
)

// clientFrontend is what accepts clients and answers them. All its methods but Addr run on the worker's loop.
type clientFrontend interface {
	Addr() string
	// Drain accepts no new clients, and closes each connected one after its next answer.
	Drain()
	// CloseClients disconnects a share of the clients, from 0 to 1 (all), each between two requests; once all are to go and no more
	// come it accepts no new ones. allDisconnected: no client is left, and none can come.
	CloseClients(share float64) (allDisconnected bool)
	// Terminate answers what is in flight with a failure, and closes all clients.
	Terminate()
}

// worker is one frontend with everything behind it, on an event loop of its own: the dispatcher, the backends, the source of the
// server list and the budgets of connections. All of it belongs to that loop, but for the published metrics.
type worker struct {
	name         string // "postgres" or "mysql"
	log          zerolog.Logger
	loop         *dispatch.EventLoop
	limiter      *connlimit.Limiter
	clientBudget *transport.Budget // connections of clients, with those that are being accepted or closed
	serverBudget *transport.Budget
	connectors   []*upstream.Connector // one for each kind of server
	source       *serverSource
	dispatcher   *dispatch.Dispatcher
	frontend     clientFrontend
	// applyConfig puts a new configuration in force. It runs on the loop.
	applyConfig func(*config.Config)
	// inheritedSocket: the listening socket stays open when the worker stops, and another process serves on it.
	inheritedSocket bool
	metrics         atomic.Pointer[workerMetrics]
	longestRound    time.Duration      // of the loop, since the last logFrontend
	loggedCounters  connlimit.Counters // at the last logFrontend
}

// newWorker divides a worker's descriptors between its clients and its servers: neither can take what the other needs. Its
// frontend, source and dispatcher are the caller's to set.
func newWorker(name string, cfg *config.Config, log zerolog.Logger, workers, descriptors int) *worker {
	memory := float64(cfg.MemoryBytes) / float64(workers)
	loop := dispatch.NewEventLoop()
	clients := int(clientShare * float64(descriptors))
	transient := int(transientShare * float64(descriptors))
	return &worker{
		name:         name,
		log:          log.With().Str("front", name).Logger(),
		loop:         loop,
		limiter:      connlimit.New(loop, clients, int(requestShare*memory), int(answerShare*memory)),
		clientBudget: transport.NewBudget(clients + transient),
		serverBudget: transport.NewBudget(descriptors - clients - transient),
	}
}

// newConnector returns a way to servers of one kind, with idle connections of its own: an address may change its protocol. As many
// connections are kept as there may be: a dial that finds no descriptor closes an idle one.
func (w *worker) newConnector(cfg *config.Config, connectTimeout time.Duration) upstream.Connector {
	pool := transport.NewPool(idleTimeout(cfg), w.serverBudget.Limit())
	runEvery(w.loop, sweepInterval, func() { pool.Sweep(w.loop.Now()) })
	return upstream.Connector{Loop: w.loop, Budget: w.serverBudget, Pool: pool, Answers: w.limiter.Answers(), ConnectTimeout: connectTimeout}
}

// startDispatcher sets up the dispatcher over a backend and hands it the first list of servers.
func (w *worker) startDispatcher(cfg *config.Config, backend dispatch.Backend, options dispatch.Options, fleet *FleetOptions) error {
	options.Settings = w.source.adjustSettings(options.Settings)
	options.MaxOpen = cfg.MaxConnections
	options.Watch = w.source.openWatch
	options.Log = messageLogger(w.log)
	dispatcher, err := dispatch.New(w.loop, backend, options)
	if err != nil {
		return err
	}
	w.dispatcher = dispatcher
	fleet.installLimiter(dispatcher, w.connectors...)
	return w.source.start(cfg, dispatcher)
}

// updateConnectors has servers of every kind reached as a configuration says from now on.
func (w *worker) updateConnectors(cfg *config.Config, connectTimeout time.Duration) {
	for _, connector := range w.connectors {
		connector.ConnectTimeout = connectTimeout
		connector.Pool.SetIdleTimeout(idleTimeout(cfg))
	}
}

// idleTimeout is how long a connection to a server is kept idle for reuse.
func idleTimeout(cfg *config.Config) time.Duration {
	return time.Duration(idleTimeoutShare * float64(cfg.IdleTimeout))
}

// runEvery runs f on the loop at an interval, as long as the loop runs.
func runEvery(loop *dispatch.EventLoop, interval time.Duration, f func()) {
	loop.After(interval, func() {
		f()
		runEvery(loop, interval, f)
	})
}
