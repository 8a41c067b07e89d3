package fleet

import (
	"context"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// Component is one concern of the fleet at one pooler: limits, outlier detection, purges, shard maps. What it decides about
// requests it decides as a dispatch.Guard, on the pooler's event loop, from state of its own behind a mutex.
type Component interface {
	// Run acts until ctx ends. It returns an error only where the pooler must not serve without the component.
	Run(ctx context.Context, r Runtime) error
}

// Runtime is what a component uses of the fleet at one pooler.
type Runtime struct {
	Bus   bus.Bus
	View  replication.View
	Store replication.Store
	// Campaign has this pooler be a candidate for a lease until ctx ends.
	Campaign func(ctx context.Context, name lease.Name) replication.Leadership
	// Audit takes a record for the journal; At, Instance, Build, Config and Revision are filled in.
	Audit func(audit.Record)
	Log   zerolog.Logger
}
