package main

import (
	_ "time/tzdata" // sites' zones, whatever the machine has

	"threadsail/internal/config"
	"threadsail/internal/fleet/purge"
	"threadsail/internal/pooler"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
)

// purgeComponent is the purges, with a cache of its own for each frontend.
type purgeComponent struct {
	*purge.Component
	settings config.PurgeConfig
}

// newPurgeComponent returns the component that empties this pooler's cache at its site's close; nil: it has no site.
func newPurgeComponent(fleetSettings *config.Fleet) *purgeComponent {
	if fleetSettings.Purges.Site == "" {
		return nil
	}
	c := &purgeComponent{purge.New(fleetSettings.Purges.Site, purgeProposal(fleetSettings)), fleetSettings.Purges}
	c.Term = fleetSettings.Term
	c.JournalPath = fleetSettings.Journal.File
	c.RotatedJournals = fleetSettings.Journal.MaxRotated
	return c
}

// cacheableAnswers says of each frontend which answers its cache may keep, in which form and of which size.
var cacheableAnswers = map[string]func(answer any) (kept any, size int, ok bool){
	"postgres": postgres.Cacheable,
	"mysql":    mysql.Cacheable,
}

// attach puts the cache before a frontend.
func (c *purgeComponent) attach(f pooler.Frontend) {
	if len(c.settings.Classes) == 0 {
		return
	}
	f.Dispatcher.AddGuard(c.NewCacheGuard(uint64(c.settings.CacheBytes), c.settings.Classes, f.Dispatcher.ClassInfo, cacheableAnswers[f.Name]))
}

// reload takes over what the operators propose and order.
func (c *purgeComponent) reload(_ *config.Config, fleetSettings *config.Fleet) {
	c.Propose(purgeProposal(fleetSettings))
}

// purgeProposal is what the operators' file proposes of purges.
func purgeProposal(fleetSettings *config.Fleet) purge.Proposal {
	file := fleetSettings.Purges
	proposal := purge.Proposal{
		Revision: file.Revision,
		Book:     file.Calendars,
		Bounds: purge.Bounds{
			Guard:         file.Guard,
			MaxReplicaAge: file.MaxReplicaAge,
			Settle:        file.Settle,
			// A write may take a lease's duration, and the lease that it names has a duration and the clock drift left when the write
			// is abandoned.
			WriteLead: 2*fleetSettings.Term + fleetSettings.MaxClockDrift,
		},
	}
	for _, o := range file.Orders {
		proposal.Orders = append(proposal.Orders, purge.RequestedOrder(o))
	}
	return proposal
}
