// Package program puts the pooler together from its parts and runs it.
package program

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/program/pgside"
	"threadsail/internal/routing"
	"threadsail/internal/transport"
	"threadsail/rules"
)

const (
	// After SIGTERM new connections come for up to 0.4 s, and clients use theirs as long as they stay open.
	drainAfter = 500 * time.Millisecond
	drainMost  = 4 * time.Second // the longest deadline, and some

	idleShare   = 0.6 // of the time after which servers close idle connections: reuse none that is about to go
	memoryShare = 0.7 // of the limit: the rest is for stacks, the runtime and the kernel's buffers
	spareFiles  = 24  // descriptors of the runtime, the logs and the listeners
	clientShare = 0.6 // of the sockets: the rest is for servers
)

// Serve runs the pooler until terminate is closed and what it has taken is answered.
func Serve(cfg *config.Config, log io.Writer, terminate <-chan struct{}, ready func(addr string)) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryBytes)))
	// One core, but two runnable threads: netpoll's poller blocks in the kernel holding its place, and with a single
	// one the loop's timers would wait for the runtime to notice.
	runtime.GOMAXPROCS(2)
	out := newLog(log)
	loop := routing.NewLoop()
	budget := transport.NewBudget(cfg.Sockets - spareFiles)
	clients := int(clientShare * float64(cfg.Sockets-spareFiles))
	backend := &pgside.Backend{Loop: loop, Budget: budget, ConnectTimeout: cfg.ConnectTimeout,
		Pool:    transport.NewPool(time.Duration(idleShare*float64(cfg.ConnIdle)), (cfg.Sockets-spareFiles-clients)/2),
		Reports: len(cfg.ReportFields) > 0}
	w := &watcher{loop: loop, budget: budget, addr: cfg.Discovery, log: out.line, zones: map[string]int{},
		since: cfg.Known.Revision}
	for i, z := range cfg.Zones {
		w.zones[z] = i
	}
	core, err := routing.New(loop, backend, routing.Options{Settings: cfg.Settings, Seed: cfg.Seed,
		MaxOpen: cfg.MaxOpen, ProbeTimeout: cfg.ConnectTimeout, Watch: w.watch, Log: out.line})
	if err != nil {
		return err
	}
	w.list = core.List
	core.List(rules.ListCached, members(cfg.Known, w.zones))
	front, err := pgside.Listen(loop, budget, cfg.Listen, core, clients)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	out.line("serving at " + front.Addr())
	ready(front.Addr())
	go func() {
		<-terminate
		loop.Post(func() { drain(loop, core, front, out) })
	}()
	var sweep func()
	sweep = func() {
		backend.Pool.Sweep(loop.Now())
		loop.After(time.Second, sweep)
	}
	sweep()
	loop.Run()
	out.line("ended")
	return nil
}

// drain serves on while the news of the restart spreads, and ends once all that was taken is answered.
func drain(loop *routing.Loop, core *routing.Core, front *pgside.Front, out *logger) {
	out.line("terminating")
	loop.After(drainAfter, front.Drain)
	until := loop.Now() + drainAfter + drainMost
	var look func()
	look = func() {
		if core.Open() == 0 && front.Clients() == 0 || loop.Now() >= until {
			loop.Stop()
			return
		}
		loop.After(10*time.Millisecond, look)
	}
	loop.After(drainAfter+20*time.Millisecond, look)
}
