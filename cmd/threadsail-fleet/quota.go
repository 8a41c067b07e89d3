package main

import (
	"fmt"
	"os"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/fleet/quota"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// newQuota returns the component that holds this pooler to the fleet's limits; nil: its file has none. A pooler whose file has
// none is not held to the others' either.
func newQuota(fleetSettings *config.Fleet, settings *config.Config) *quota.Component {
	if len(fleetSettings.Limits.List) == 0 {
		return nil
	}
	return quota.New(quota.Options{
		Instance:  fmt.Sprintf("%s/%d-%d", fleetSettings.Name, os.Getpid(), time.Now().UnixNano()),
		Term:      fleetSettings.Term,
		Drift:     fleetSettings.MaxClockDrift,
		FleetSize: max(settings.Settings.Poolers, 1),
		Limits:    fleetSettings.Limits,
	})
}

// newLimiter returns what a frontend asks before it takes, sends or dials.
func newLimiter(c *quota.Component) limiterFactory {
	return func(class func(int) policy.Class, settings func() policy.Settings) pooler.Limiter {
		return quota.NewGuard(c.Client, class, settings)
	}
}
