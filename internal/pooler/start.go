package pooler

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"threadsail/internal/config"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/admin"
)

const (
	gcPercent = 200

	// heapReserve is the part of the memory limit that the collector leaves to the program's image, the C library and threads, and
	// minHeapShare the least share of the limit that it may use.
	heapReserve  = 14 << 20
	minHeapShare = 0.5
	maxHeapShare = 0.7

	// schedulerThreads is two for one core: the connections' poller blocks in the kernel holding its place, and with a single one
	// the event loop's timers would wait for the runtime to notice.
	schedulerThreads = 2

	// reservedDescriptors are those of the runtime, the logs, the poller, the listeners and the files that are being read: 17 as
	// counted.
	reservedDescriptors = 22
)

// configureRuntime sets the garbage collector and the scheduler for a small process.
func configureRuntime(cfg *config.Config) {
	debug.SetGCPercent(gcPercent) // the heap is small, and the limit below binds all the same
	debug.SetMemoryLimit(heapLimit(cfg.MemoryBytes))
	runtime.GOMAXPROCS(schedulerThreads)
}

// heapLimit returns the limit in bytes of what the runtime uses, for a limit of the whole process.
func heapLimit(memoryBytes int64) int64 {
	limit := float64(memoryBytes - heapReserve)
	return int64(min(max(limit, minHeapShare*float64(memoryBytes)), maxHeapShare*float64(memoryBytes)))
}

// start opens the workers, joins the fleet, runs the workers and opens the admin server, which comes last so that it answers only
// once the pooler serves. Where it fails the caller closes what has been opened.
func (p *instance) start() error {
	if err := p.openWorkers(); err != nil {
		return err
	}
	p.serving.Store(true)
	p.admitted.Store(true)
	if err := p.joinFleet(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	p.runWorkers()
	if err := p.openAdmin(); err != nil {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// openWorkers opens a worker for each enabled frontend. Their event loops do not run yet.
func (p *instance) openWorkers() error {
	descriptors := p.workerDescriptors()
	workers := 1
	if p.mysqlConfig != nil {
		workers++
	}
	sessions := policy.NewSessionPositions() // a session may write over one frontend and read over the other
	pg, err := newPostgresWorker(p.config, p.control.Fleet, sessions, p.log, workers, descriptors)
	if err != nil {
		return err
	}
	p.workers = append(p.workers, pg)
	if p.mysqlConfig == nil {
		return nil
	}
	my, err := newMySQLWorker(p.config, p.mysqlConfig, p.control.Fleet, sessions, p.log, workers, descriptors)
	if err != nil {
		return fmt.Errorf("mysql: %w", err)
	}
	p.workers = append(p.workers, my)
	return nil
}

// workerDescriptors returns how many descriptors each worker may use for its clients and servers together. Each worker has its own
// share: neither can take the other's.
func (p *instance) workerDescriptors() int {
	descriptors := p.config.MaxSockets - reservedDescriptors
	if p.config.Admin != "" {
		descriptors -= admin.Descriptors(p.config.MaxSockets)
	}
	descriptors -= sourceDescriptors(postgresSource(p.config))
	if p.control.Fleet != nil {
		descriptors -= fleetDescriptors
	}
	if p.mysqlConfig == nil {
		return descriptors
	}
	descriptors -= sourceDescriptors(mysqlSource(p.config, p.mysqlConfig))
	return descriptors / 2
}

// joinFleet makes the pooler a member of its fleet, if it has one. It must be called before the event loops run.
func (p *instance) joinFleet() error {
	if p.control.Fleet == nil {
		return nil
	}
	member, err := newFleetMember(p.workers, p.config, p.control.Fleet, p.admitted.Store, p.log)
	if err != nil {
		return err
	}
	p.fleetMember = member
	return nil
}

// runWorkers runs each worker's event loop on a goroutine of its own, which ends when the worker stops its loop.
func (p *instance) runWorkers() {
	for _, w := range p.workers {
		p.log.Info().Str("front", w.name).Str("addr", w.frontend.Addr()).Msg("serving")
		w.publishMetrics()
		runEvery(w.loop, metricsInterval, w.publishMetrics)
		runEvery(w.loop, frontendLogInterval, w.logFrontend)
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			w.loop.Run()
		}()
	}
}

// openAdmin opens the admin server, if it is enabled.
func (p *instance) openAdmin() error {
	if p.config.Admin == "" {
		return nil
	}
	server, err := admin.Listen(p.config.Admin, admin.Descriptors(p.config.MaxSockets), p.metrics)
	if err != nil {
		return err
	}
	p.admin = server
	p.log.Info().Str("front", "admin").Str("addr", server.Addr()).Msg("serving")
	return nil
}
