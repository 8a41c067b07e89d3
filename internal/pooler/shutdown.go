package pooler

import "time"

// The shutdown after SIGTERM. The news of the restart takes up to drainDelay to reach new clients, which are accepted until then;
// clients use their connections as long as they stay open. A request that is sent more than killGrace after SIGTERM is lost if
// SIGKILL finds it in flight: by then every client is disconnected, or has its last answer still to come.
const (
	drainDelay  = 400 * time.Millisecond
	drainSpread = 250 * time.Millisecond // clients leave over this time, not all at once: they turn to the other poolers

	// SIGKILL comes no sooner than killGrace after the longest deadline of a request, or after maxKillDeadline if that is shorter.
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond

	shutdownMargin    = 150 * time.Millisecond // everything ends so long before SIGKILL
	flushTimeout      = 100 * time.Millisecond // for the last bytes to leave the process
	drainPollInterval = 10 * time.Millisecond
)

// beginShutdown drains the workers and leaves the fleet, once; later calls do nothing.
func (p *instance) beginShutdown() {
	if !p.serving.CompareAndSwap(true, false) {
		return
	}
	p.log.Info().Msg("terminating")
	for _, w := range p.workers {
		w.loop.Post(w.drain)
	}
	if p.fleetMember != nil {
		p.postgresWorker().loop.Post(p.fleetMember.leave)
	}
}

// close releases what start has opened, in the reverse order. The workers have stopped by themselves, unless start has failed.
func (p *instance) close() {
	if p.admin != nil {
		p.admin.Close()
	}
	if p.fleetMember != nil {
		p.fleetMember.close()
	}
	for _, w := range p.workers {
		w.source.close()
	}
}

// drain serves on while the news of the restart spreads, then disconnects the clients one by one, and stops the worker once
// everything that it has accepted is answered and sent, or shortly before SIGKILL. Where another process serves on the same socket
// new clients are left to that process at once. It runs on the worker's loop.
func (w *worker) drain() {
	if w.inheritedSocket {
		w.frontend.Drain()
	}
	began := w.loop.Now()
	deadline := began + min(w.dispatcher.LongestTimeout(), maxKillDeadline) + killGrace - shutdownMargin
	w.dispatcher.SetDeadlineLimit(deadline)
	w.loop.After(drainDelay, func() { w.pollDrain(began, deadline) })
}

// pollDrain disconnects the clients whose turn it is, and looks again until none is left or the deadline has come.
func (w *worker) pollDrain(began, deadline time.Duration) {
	now := w.loop.Now()
	if now >= deadline {
		w.frontend.Terminate()
		w.stopWhenFlushed(flushTimeout)
		return
	}
	share := min(float64(now-began-drainDelay)/float64(drainSpread), 1)
	allDisconnected := w.frontend.CloseClients(share)
	if allDisconnected && w.dispatcher.OpenRequests() == 0 && w.clientBudget.Used() == 0 {
		w.loop.Stop()
		return
	}
	w.loop.After(min(drainPollInterval, deadline-now), func() { w.pollDrain(began, deadline) })
}

// stopWhenFlushed stops the worker once the last connection of a client has ended, or after timeout: bytes that are still to be
// sent are lost with the process.
func (w *worker) stopWhenFlushed(timeout time.Duration) {
	if timeout <= 0 || w.clientBudget.Used() == 0 {
		w.loop.Stop()
		return
	}
	w.loop.After(drainPollInterval, func() { w.stopWhenFlushed(timeout - drainPollInterval) })
}
