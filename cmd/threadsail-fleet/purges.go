package main

import (
	_ "time/tzdata" // sites' zones, whatever the machine has

	"threadsail/internal/config"
	"threadsail/internal/fleet/purge"
)

// newPurges is the part that empties this pooler's cache at its site's close; nil: it has no site.
func newPurges(c *config.Fleet) *purge.Part {
	if c.Purges.Site == "" {
		return nil
	}
	p := purge.New(c.Purges.Site, proposal(c))
	p.Term, p.Journal, p.Keep = c.Term, c.Journal.File, c.Journal.Keep
	return p
}

// proposal is what the operators' file has of purges.
func proposal(c *config.Fleet) purge.Proposal {
	file := c.Purges
	p := purge.Proposal{Revision: file.Revision, Book: file.Book,
		// A write is given a term, and the lease that it names has a term and the drift left when it is given up.
		Bounds: purge.Bounds{Guard: file.Guard, Confirm: file.Confirm, Settle: file.Settle, Lead: 2*c.Term + c.Drift}}
	for _, o := range file.Orders {
		p.Orders = append(p.Orders, purge.Wish(o))
	}
	return p
}
