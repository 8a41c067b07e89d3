package pooler

import (
	"fmt"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
	"threadsail/internal/pooler/translating"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

// newPostgresWorker sets up the frontend for PostgreSQL clients with all that is behind it.
func newPostgresWorker(cfg *config.Config, fleet *FleetOptions, sessions *policy.SessionPositions, log zerolog.Logger, workers, descriptors int) (*worker, error) {
	w := newWorker("postgres", cfg, log, workers, descriptors)
	w.inheritedSocket = cfg.InheritedSocket > 0
	table := routes.NewTable(routes.Postgres)
	w.source = newServerSource(cfg, postgresSource(cfg), postgresFormat, table, w.loop, w.log)
	own := &postgres.Backend{Reports: cfg.HealthReported, Connector: w.newConnector(cfg, cfg.ConnectTimeout)}
	w.connectors = append(w.connectors, &own.Connector)
	var backend dispatch.Backend = own
	translates := w.source.fileWatcher != nil // only a file can name servers of the other protocol
	if translates {
		backend = w.postgresBackends(cfg, own, table)
	}
	options := dispatch.Options{Settings: cfg.Settings, Sessions: sessions, Seed: cfg.Seed, ProbeTimeout: cfg.ConnectTimeout}
	if err := w.startDispatcher(cfg, backend, options, fleet); err != nil {
		return nil, err
	}
	check := func(string, int) error { return nil }
	if translates {
		check = func(text string, group int) error {
			return checkTranslatable(table, text, group, cfg.ServerLists.MySQLServers.Echo)
		}
	}
	frontend, err := postgres.Listen(w.loop, w.listenPostgres(cfg), w.dispatcher, w.limiter, check)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	w.frontend = frontend
	w.applyConfig = func(next *config.Config) { w.applyPostgresConfig(next, own) }
	return w, nil
}

// postgresBackends reaches each server over the protocol that the table names for it.
func (w *worker) postgresBackends(cfg *config.Config, own *postgres.Backend, table *routes.Table) dispatch.Backend {
	servers := cfg.ServerLists.MySQLServers
	other := &mysql.Backend{
		Connector: w.newConnector(cfg, cfg.ConnectTimeout),
		Account: upstream.Account{
			User:      servers.User,
			Password:  servers.Password,
			Database:  servers.Database,
			Heartbeat: servers.Heartbeat,
			Log:       messageLogger(w.log),
		},
		Version: func(addr string) routes.Version { return table.At(addr).Version },
	}
	w.connectors = append(w.connectors, &other.Connector)
	return &wireBackends{table: table, backends: map[routes.Wire]dispatch.Backend{
		routes.Postgres: own,
		routes.MySQL:    &translating.MySQLBackend{Echo: servers.Echo, Backend: other},
	}}
}

// checkTranslatable tells why a statement can't be executed by all servers of a group; nil: it can.
func checkTranslatable(table *routes.Table, text string, group int, echo translate.Echo) error {
	if !table.Needs(group).Translation {
		return nil
	}
	_, err := translate.ToMySQL(text, echo)
	return err
}

// listenPostgres returns what opens the frontend's socket: the one that the process has inherited, or a new one.
func (w *worker) listenPostgres(cfg *config.Config) frontend.ListenFunc {
	return func(accept func(*transport.Conn)) (*transport.Listener, error) {
		if cfg.InheritedSocket > 0 {
			return transport.Inherit(w.loop, w.clientBudget, cfg.InheritedSocket, accept)
		}
		return transport.Listen(w.loop, w.clientBudget, cfg.Listen, accept)
	}
}

// applyPostgresConfig puts a new configuration in force.
func (w *worker) applyPostgresConfig(cfg *config.Config, own *postgres.Backend) {
	own.Reports = cfg.HealthReported
	w.updateConnectors(cfg, cfg.ConnectTimeout)
	if err := w.dispatcher.UpdateSettings(w.source.adjustSettings(cfg.Settings), cfg.MaxConnections, cfg.ConnectTimeout); err != nil {
		w.log.Error().Err(err).Msg("reload")
	}
	w.source.applyConfig(cfg, postgresSource(cfg))
}
