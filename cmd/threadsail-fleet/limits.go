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

// newQuota is the part that holds this pooler to the fleet's limits; nil: its file has none. A pooler whose file has none is
// not held to the others' either.
func newQuota(c *config.Fleet, cfg *config.Config) *quota.Component {
	if len(c.Limits.List) == 0 {
		return nil
	}
	return quota.New(quota.Options{Instance: fmt.Sprintf("%s/%d-%d", c.Name, os.Getpid(), time.Now().UnixNano()), Term: c.Term, Drift: c.Drift,
		FleetSize: max(cfg.Settings.Poolers, 1), Limits: c.Limits})
}

// newLimiter is what a front asks.
func newLimiter(p *quota.Component) func(func(int) policy.Class, func() policy.Settings) pooler.Limiter {
	return func(class func(int) policy.Class, set func() policy.Settings) pooler.Limiter {
		return quota.NewGuard(p.Client, class, set)
	}
}
