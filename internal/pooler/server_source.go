package pooler

import (
	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/routes"
	"threadsail/internal/watchfile"
)

// serverSource is where a worker has its list of servers from. Exactly one of its fields is set.
type serverSource struct {
	watcher     *watcher     // of a list service
	fileWatcher *fileWatcher // of a file
}

// newServerSource returns the source that src names. A file's servers are entered in table with the protocols that they speak.
func newServerSource(cfg *config.Config, src config.ListSource, format listFormat, table *routes.Table, loop *dispatch.EventLoop, log zerolog.Logger) *serverSource {
	if src.File == "" {
		return &serverSource{watcher: &watcher{
			loop:        loop,
			dial:        newWatchDialer(loop),
			addr:        src.DiscoveryAddr,
			log:         messageLogger(log),
			zoneIndexes: zoneIndexes(cfg),
			pushed:      !cfg.Settings.PollList,
		}}
	}
	return &serverSource{fileWatcher: &fileWatcher{
		format:      format,
		path:        src.File,
		zoneNames:   cfg.Zones,
		zoneIndexes: zoneIndexes(cfg),
		routes:      table,
		log:         log,
		loop:        loop,
		metrics:     admin.ListStatus{Front: format.name},
		commands:    make(chan func(), maxQueuedCommands),
		quit:        make(chan struct{}),
		done:        make(chan struct{}),
	}}
}

// adjustSettings returns the settings as this source needs them. Where a file names the servers nobody is polled for the list, and
// a server that the list no longer names is removed.
func (s *serverSource) adjustSettings(settings policy.Settings) policy.Settings {
	if s.fileWatcher != nil {
		settings.PollList = false
		settings.IgnoreRemoval = false
	}
	return settings
}

// openWatch opens the watch on a list service, when the dispatcher asks for the list.
func (s *serverSource) openWatch() {
	if s.watcher != nil {
		s.watcher.openWatch()
	}
}

// start hands the dispatcher its first list. It must be called before the loop runs.
func (s *serverSource) start(cfg *config.Config, dispatcher *dispatch.Dispatcher) error {
	if s.fileWatcher != nil {
		return s.fileWatcher.start(cfg.ServerLists, dispatcher)
	}
	s.watcher.start(cfg, dispatcher)
	return nil
}

// applyConfig turns to what a new configuration names. A change from a list service to a file, or back, is for the next start.
func (s *serverSource) applyConfig(cfg *config.Config, src config.ListSource) {
	switch {
	case s.watcher != nil && src.File == "":
		s.watcher.setAddress(src.DiscoveryAddr)
		s.watcher.setPushed(!cfg.Settings.PollList)
	case s.fileWatcher != nil && src.File != "":
		s.fileWatcher.applyConfig(cfg.ServerLists, src.File)
	case s.fileWatcher != nil:
		s.fileWatcher.log.Warn().Msg("reload: a list service in place of a file holds from the next start on")
	default:
		s.watcher.log("reload: a file in place of the list service holds from the next start on")
	}
}

// close ends the goroutine of a file's watcher. A list service's watch ends with its loop.
func (s *serverSource) close() {
	if s.fileWatcher != nil {
		s.fileWatcher.close()
	}
}

// sourceDescriptors returns how many descriptors a source holds: neither clients nor servers can take them.
func sourceDescriptors(src config.ListSource) int {
	if src.File == "" {
		return watchDescriptors
	}
	return watchfile.Descriptors
}

// postgresSource returns where the PostgreSQL worker has its list from.
func postgresSource(cfg *config.Config) config.ListSource {
	if src := cfg.ServerLists.Postgres; src != (config.ListSource{}) {
		return src
	}
	return config.ListSource{DiscoveryAddr: cfg.DiscoveryAddr}
}

// mysqlSource returns where the MySQL worker has its list from.
func mysqlSource(cfg *config.Config, mysqlConfig *config.MySQL) config.ListSource {
	if src := cfg.ServerLists.MySQL; src != (config.ListSource{}) {
		return src
	}
	return config.ListSource{File: mysqlConfig.Inventory}
}

// unknownZone is the number of a zone that the configuration does not name.
const unknownZone = -1

// zoneIndexes returns the number of each zone that the configuration names.
func zoneIndexes(cfg *config.Config) map[string]int {
	indexes := make(map[string]int, len(cfg.Zones))
	for i, zone := range cfg.Zones {
		indexes[zone] = i
	}
	return indexes
}

// zoneIndex returns the number of a zone, or unknownZone.
func zoneIndex(indexes map[string]int, zone string) int {
	if i, ok := indexes[zone]; ok {
		return i
	}
	return unknownZone
}
