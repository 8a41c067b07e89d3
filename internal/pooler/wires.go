package pooler

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/routes"
)

// wireBackends reaches each server over the wire that it speaks.
type wireBackends struct {
	table    *routes.Table
	backends map[routes.Wire]dispatch.Backend
}

func (w *wireBackends) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	return w.backends[w.table.At(addr).Wire].Send(addr, payload, left, a)
}

func (w *wireBackends) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	return w.backends[w.table.At(addr).Wire].Probe(addr, done)
}

func (w *wireBackends) CloseIdle(addr string) {
	for _, b := range w.backends {
		b.CloseIdle(addr)
	}
}
