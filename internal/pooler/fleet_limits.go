package pooler

import (
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/upstream"
)

// Limiter lets a front's requests, attempts, new connections and probes pass, or not now.
type Limiter interface {
	dispatch.Guard
	dispatch.ConnectionGate
}

// installLimiter holds a front to the fleet's limits, with all that it dials by. It must be called before the first list comes.
func (p *FleetOptions) installLimiter(core *dispatch.Dispatcher, dialled ...*upstream.Connector) {
	if p == nil || p.NewLimiter == nil {
		return
	}
	l := p.NewLimiter(core.ClassInfo, core.Settings)
	core.AddGuard(l)
	core.SetConnectionGate(l)
	for _, s := range dialled {
		s.MayDial = core.MayDial
	}
}
