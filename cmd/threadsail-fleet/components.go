package main

import (
	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// limiterFactory returns what holds a frontend to the fleet's limits, by the frontend's classes and its settings at the time.
type limiterFactory func(class func(int) policy.Class, settings func() policy.Settings) pooler.Limiter

// component is a component of the fleet as this program wires it. A function that a component has no use for is nil.
type component struct {
	fleet.Component
	attach     func(pooler.Frontend) // adds guards and the like to each frontend, before its loop runs
	newLimiter limiterFactory
	reload     func(*config.Config, *config.Fleet) // takes over the files as they are read again at SIGHUP
}

// components are the components of this process, in the order in which their guards are asked.
type components []component

// newComponents returns the components that the operators' files ask for.
func newComponents(settings *config.Config, fleetSettings *config.Fleet) (all components) {
	if c := newQuota(fleetSettings, settings); c != nil {
		reload := func(_ *config.Config, next *config.Fleet) { c.Propose(next.Limits) }
		all = append(all, component{Component: c, newLimiter: newLimiter(c), reload: reload})
	}
	if c := newShardComponent(fleetSettings); c != nil {
		all = append(all, component{Component: c, attach: c.attach, reload: c.reload})
	}
	if fleetSettings.Outliers.Enabled {
		all = append(all, newOutlierComponent(settings, fleetSettings.Outliers))
	}
	if c := newPurgeComponent(fleetSettings); c != nil { // behind the shard map, which may send a request to another cluster
		all = append(all, component{Component: c, attach: c.attach, reload: c.reload})
	}
	return append(all, testComponents...)
}

// testComponents are components that only this program's own tests have.
var testComponents []component

// attach joins all components to a frontend, before its loop runs.
func (all components) attach(f pooler.Frontend) {
	for _, c := range all {
		if c.attach != nil {
			c.attach(f)
		}
	}
}

// newLimiter is that of the component that has one; nil: none has.
func (all components) newLimiter() limiterFactory {
	for _, c := range all {
		if c.newLimiter != nil {
			return c.newLimiter
		}
	}
	return nil
}

// reload has all components take over the files as they are read again.
func (all components) reload(settings *config.Config, fleetSettings *config.Fleet) {
	for _, c := range all {
		if c.reload != nil {
			c.reload(settings, fleetSettings)
		}
	}
}
