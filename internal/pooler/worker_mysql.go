package pooler

import (
	"fmt"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/translating"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/routes"
	"threadsail/internal/transport"
)

// newMySQLWorker sets up the frontend for MySQL clients with all that is behind it: the inventory is its discovery, probes tell
// roles and positions, and servers answer reads from whatever they have.
func newMySQLWorker(cfg *config.Config, mysqlConfig *config.MySQL, fleet *FleetOptions, sessions *policy.SessionPositions, log zerolog.Logger,
	workers, descriptors int) (*worker, error) {
	w := newWorker("mysql", cfg, log, workers, descriptors)
	table := routes.NewTable(routes.MySQL)
	w.source = newServerSource(cfg, mysqlSource(cfg, mysqlConfig), mysqlFormat, table, w.loop, w.log)
	backend := w.mysqlBackends(cfg, mysqlConfig, table)
	options := dispatch.Options{
		Settings:     probedSettings(cfg.Settings),
		Sessions:     sessions,
		Seed:         cfg.Seed + 1,
		ProbeTimeout: mysqlConfig.ProbeTimeout,
	}
	if err := w.startDispatcher(withMySQLPollInterval(cfg, mysqlConfig), backend, options, fleet); err != nil {
		return nil, err
	}
	listen := func(accept func(*transport.Conn)) (*transport.Listener, error) {
		return transport.Listen(w.loop, w.clientBudget, mysqlConfig.Listen, accept)
	}
	frontend, err := mysql.Listen(w.loop, listen, w.dispatcher, mysqlConfig, w.limiter, table)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	w.frontend = frontend
	w.applyConfig = func(next *config.Config) { w.applyMySQLConfig(next, mysqlConfig) }
	return w, nil
}

// mysqlBackends reaches each server over the protocol that the table names for it.
func (w *worker) mysqlBackends(cfg *config.Config, mysqlConfig *config.MySQL, table *routes.Table) dispatch.Backend {
	own := &mysql.Backend{
		Connector: w.newConnector(cfg, mysqlConfig.ProbeTimeout),
		Account: upstream.Account{
			User:      mysqlConfig.User,
			Password:  mysqlConfig.Password,
			Database:  mysqlConfig.Database,
			Heartbeat: mysqlConfig.Heartbeat,
			Log:       messageLogger(w.log),
		},
		Version: func(addr string) routes.Version { return table.At(addr).Version },
	}
	servers := mysqlConfig.Postgres
	other := &translating.PostgresBackend{
		Connector: w.newConnector(cfg, mysqlConfig.ProbeTimeout),
		Account: upstream.Account{
			User:      servers.User,
			Password:  servers.Password,
			Database:  servers.Database,
			Heartbeat: servers.Heartbeat,
			Log:       messageLogger(w.log),
		},
	}
	w.connectors = append(w.connectors, &own.Connector, &other.Connector)
	return &wireBackends{table: table, backends: map[routes.Wire]dispatch.Backend{routes.MySQL: own, routes.Postgres: other}}
}

// applyMySQLConfig puts a new configuration in force. The MySQL frontend's own file stays as it was at the start.
func (w *worker) applyMySQLConfig(cfg *config.Config, mysqlConfig *config.MySQL) {
	w.updateConnectors(cfg, mysqlConfig.ProbeTimeout)
	settings := w.source.adjustSettings(probedSettings(cfg.Settings))
	if err := w.dispatcher.UpdateSettings(settings, cfg.MaxConnections, mysqlConfig.ProbeTimeout); err != nil {
		w.log.Error().Err(err).Msg("reload")
	}
	w.source.applyConfig(withMySQLPollInterval(cfg, mysqlConfig), mysqlSource(cfg, mysqlConfig))
}

// probedSettings are the settings for servers that report their role and position only when they are probed.
func probedSettings(settings policy.Settings) policy.Settings {
	settings.ProbesAllowed = true
	settings.RolesReported = true
	settings.StaleReads = policy.StaleReadAnswered
	return settings
}

// withMySQLPollInterval returns the configuration in which the inventory is read again as often as the MySQL frontend's own file
// says, unless the main configuration names the source of its servers.
func withMySQLPollInterval(cfg *config.Config, mysqlConfig *config.MySQL) *config.Config {
	if cfg.ServerLists.MySQL != (config.ListSource{}) {
		return cfg
	}
	next, lists := *cfg, *cfg.ServerLists
	lists.PollInterval = mysqlConfig.ReloadInterval
	next.ServerLists = &lists
	return &next
}
