package program

import (
	"threadsail/internal/program/exchange"
	"threadsail/internal/routing"
)

// Limiter lets a front's requests, attempts, new connections and probes pass, or not now.
type Limiter interface {
	routing.Guard
	routing.Gate
}

// limit holds a front to the fleet's limits, with all that it dials by. It must be called before the first list comes.
func (p *FleetPart) limit(core *routing.Core, dialled ...*exchange.Servers) {
	if p == nil || p.Limit == nil {
		return
	}
	l := p.Limit(core.ClassInfo, core.Settings)
	core.Guard(l)
	core.Gate(l)
	for _, s := range dialled {
		s.MayDial = core.MayDial
	}
}
