package main

import (
	_ "time/tzdata" // sites' zones, whatever the machine has

	"threadsail/internal/config"
	"threadsail/internal/fleet/purge"
	"threadsail/internal/pooler"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
)

// purgeComponent is the purges' part, with a cache of its own for each front.
type purgeComponent struct {
	*purge.Component
	settings config.PurgesPart
}

// newPurgeComponent is the part that empties this pooler's cache at its site's close; nil: it has no site.
func newPurgeComponent(c *config.Fleet) *purgeComponent {
	if c.Purges.Site == "" {
		return nil
	}
	p := &purgeComponent{purge.New(c.Purges.Site, purgeProposal(c)), c.Purges}
	p.Term, p.Journal, p.KeptJournals = c.Term, c.Journal.File, c.Journal.Keep
	return p
}

// attach puts the cache before a front.
func (p *purgeComponent) attach(f pooler.Frontend) {
	kept := map[string]func(any) (any, int, bool){"postgres": postgres.Cacheable, "mysql": mysql.Cacheable}[f.Name]
	if len(p.settings.Classes) > 0 {
		f.Dispatcher.AddGuard(p.NewCacheGuard(uint64(p.settings.Answers), p.settings.Classes, f.Dispatcher.ClassInfo, kept))
	}
}

// reload takes over what the operators propose and order.
func (p *purgeComponent) reload(_ *config.Config, c *config.Fleet) { p.Propose(purgeProposal(c)) }

// purgeProposal is what the operators' file has of purges.
func purgeProposal(c *config.Fleet) purge.Proposal {
	file := c.Purges
	p := purge.Proposal{Revision: file.Revision, Book: file.Book,
		// A write is given a term, and the lease that it names has a term and the drift left when it is given up.
		Bounds: purge.Bounds{Guard: file.Guard, MaxReplicaAge: file.Confirm, Settle: file.Settle, WriteLead: 2*c.Term + c.Drift}}
	for _, o := range file.Orders {
		p.Orders = append(p.Orders, purge.RequestedOrder(o))
	}
	return p
}
