package main

import (
	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// component is a part of the fleet as this program wires it. A field that a part has no use for is nil.
type component struct {
	fleet.Component
	attach func(pooler.Frontend) // puts guards and the like on each front's core, before its loop runs
	limit  func(func(int) policy.Class, func() policy.Settings) pooler.Limiter
	reload func(*config.Config, *config.Fleet) // takes over the files as they are read again at SIGHUP
}

// newComponents are those that the operators' files ask for, in the order in which their guards are asked.
func newComponents(cfg *config.Config, c *config.Fleet) (out []component) {
	// Each part has its place here: if its key asks for it, out = append(out, part{...}).
	if p := newQuota(c, cfg); p != nil {
		out = append(out, component{Component: p, limit: newLimiter(p), reload: func(_ *config.Config, c *config.Fleet) { p.Propose(c.Limits) }})
	}
	if p := newShardComponent(c); p != nil {
		out = append(out, component{Component: p, attach: p.attach, reload: p.reload})
	}
	if c.Verdicts.Enabled {
		out = append(out, newOutlierComponent(cfg, c.Verdicts))
	}
	if p := newPurgeComponent(c); p != nil { // behind the map, which may send a request to another cluster
		out = append(out, component{Component: p, attach: p.attach, reload: p.reload})
	}
	return append(out, testComponents...)
}

// testComponents are parts that only this program's own tests have.
var testComponents []component
