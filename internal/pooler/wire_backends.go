package pooler

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/routes"
)

// wireBackends reaches each server over the protocol that the table names for its address. It runs on the worker's loop.
type wireBackends struct {
	table    *routes.Table
	backends map[routes.Wire]dispatch.Backend
}

// Send starts an attempt.
func (w *wireBackends) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	return w.backends[w.table.At(addr).Wire].Send(addr, payload, left, a)
}

// Probe starts a probe.
func (w *wireBackends) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	return w.backends[w.table.At(addr).Wire].Probe(addr, done)
}

// CloseIdle closes the idle connections to a server, over whichever protocol.
func (w *wireBackends) CloseIdle(addr string) {
	for _, backend := range w.backends {
		backend.CloseIdle(addr)
	}
}
