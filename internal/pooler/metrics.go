package pooler

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/admin"
)

// metricsInterval is how often each worker publishes its metrics.
const metricsInterval = 100 * time.Millisecond

// publishMetrics makes the worker's current metrics visible to other goroutines. It runs on the worker's loop, or before that runs.
func (w *worker) publishMetrics() {
	metrics := w.dispatcher.Metrics()
	w.metrics.Store(&metrics)
}

// metrics returns what the admin server reports. It may be called on any goroutine.
func (p *instance) metrics() admin.Metrics {
	var total dispatch.Metrics
	var lists []admin.ListStatus
	for _, w := range p.workers {
		total.Add(*w.metrics.Load())
		if file := w.source.fileWatcher; file != nil {
			lists = append(lists, *file.published.Load())
		}
	}
	metrics := admin.Metrics{
		Serving:            p.serving.Load() && p.admitted.Load(),
		Reloads:            p.reloads.Load(),
		ReloadErrors:       p.reloadErrors.Load(),
		Classes:            total.Classes,
		PendingRequests:    total.Pending,
		Servers:            total.Servers,
		UnavailableServers: total.Unavailable,
		Lists:              lists,
	}
	if p.fleetMember != nil {
		metrics.Fleet = p.fleetMember.status()
	}
	return metrics
}
