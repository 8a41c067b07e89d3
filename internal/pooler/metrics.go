package pooler

import (
	"fmt"
	"strings"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/admin"
	"threadsail/internal/pooler/connlimit"
)

const (
	// metricsInterval is how often each worker publishes its metrics.
	metricsInterval = 100 * time.Millisecond
	// frontendLogInterval is how often each worker logs what has happened to its clients, if anything has.
	frontendLogInterval = 5 * time.Second
	// longRound is the length of a round of the event loop from which on it is logged: answers and probes are as late as that.
	longRound = 50 * time.Millisecond
)

// workerMetrics are the metrics that a worker publishes.
type workerMetrics struct {
	dispatch dispatch.Metrics
	frontend admin.FrontendStatus
}

// publishMetrics makes the worker's current metrics visible to other goroutines. It runs on the worker's loop, or before that runs.
func (w *worker) publishMetrics() {
	round := w.loop.LongestRound()
	if round >= longRound {
		w.log.Warn().Int64("round_ms", round.Milliseconds()).Msg("event loop: a round took long")
	}
	w.longestRound = max(w.longestRound, round)
	counters := w.limiter.Counters()
	w.metrics.Store(&workerMetrics{
		dispatch: w.dispatcher.Metrics(),
		frontend: admin.FrontendStatus{
			Front:          w.name,
			Clients:        w.limiter.Clients(),
			Waiting:        w.limiter.WaitingClients(),
			RequestBytes:   w.limiter.RequestBytes(),
			AnswerBytes:    w.limiter.AnswerBytes(),
			EvictedSilent:  counters.EvictedSilent,
			EvictedIdle:    counters.EvictedIdle,
			EvictedStalled: counters.EvictedStalled,
			Refused:        counters.Refused,
			Waits:          counters.Waited,
			Shed:           counters.Shed,
			LongestRound:   w.longestRound,
		},
	})
}

// logFrontend logs what has happened to the clients since the last call, and the longest round of the loop. It runs on the worker's loop.
func (w *worker) logFrontend() {
	counters := w.limiter.Counters()
	if line := clientCounters(counters, w.loggedCounters); line != "" {
		w.log.Info().Int("clients", w.limiter.Clients()).Int("request_bytes", w.limiter.RequestBytes()).Int("answer_bytes", w.limiter.AnswerBytes()).
			Int64("round_ms", w.longestRound.Milliseconds()).Msg("clients: " + line)
	}
	w.loggedCounters = counters
	w.longestRound = 0
}

// clientCounters returns the counts that have risen, or "".
func clientCounters(now, before connlimit.Counters) string {
	var counts []string
	for _, counter := range []struct {
		name        string
		now, before uint64
	}{
		{"evicted-silent", now.EvictedSilent, before.EvictedSilent},
		{"evicted-idle", now.EvictedIdle, before.EvictedIdle},
		{"evicted-stalled", now.EvictedStalled, before.EvictedStalled},
		{"refused", now.Refused, before.Refused},
		{"waited", now.Waited, before.Waited},
		{"shed", now.Shed, before.Shed},
	} {
		if counter.now > counter.before {
			counts = append(counts, fmt.Sprintf("%s=%d", counter.name, counter.now-counter.before))
		}
	}
	return strings.Join(counts, " ")
}

// metrics returns what the admin server reports. It may be called on any goroutine.
func (p *instance) metrics() admin.Metrics {
	var total dispatch.Metrics
	var lists []admin.ListStatus
	var frontends []admin.FrontendStatus
	for _, w := range p.workers {
		metrics := w.metrics.Load()
		total.Add(metrics.dispatch)
		frontends = append(frontends, metrics.frontend)
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
		Frontends:          frontends,
	}
	if p.fleetMember != nil {
		metrics.Fleet = p.fleetMember.status()
	}
	return metrics
}
