package fleet

import (
	"context"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// Component is one task of the fleet at one pooler: limits, outlier detection, purges or shard maps. A component that decides
// about requests does so as a dispatch.Guard, which the pooler calls on its event loop; a mutex of the component protects the
// state that the guard reads.
type Component interface {
	// Run runs the component until ctx ends. It returns an error only if the pooler must not serve without the component.
	Run(ctx context.Context, runtime Runtime) error
}

// Runtime gives a component access to the fleet at one pooler.
type Runtime struct {
	Bus   bus.Bus
	View  replication.View
	Store replication.Store
	// Campaign makes this pooler a candidate for a lease until ctx ends.
	Campaign func(ctx context.Context, name lease.Name) replication.Leadership
	// Audit writes a record to the journal. The pooler fills in At, Instance, Build, Config and Revision.
	Audit func(audit.Record)
	Log   zerolog.Logger
}
