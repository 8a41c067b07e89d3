package fleet

import (
	"context"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// Runtime is what a part of the fleet stands on at one pooler.
type Runtime struct {
	Bus      bus.Bus
	View     replication.View
	Store    replication.Store
	Campaign func(ctx context.Context, d lease.Name) replication.Leadership // stands for a duty until ctx ends
	Audit    func(audit.Record)                                             // At, Instance, Build, Config and Revision are filled in
	Log      zerolog.Logger
}

// Component is one concern of the fleet at one pooler: limits, verdicts, purges, shard maps. What it has to say of requests it says
// as a routing.Guard, on the pooler's loop, from state of its own behind a mutex.
type Component interface {
	// Run acts until ctx ends. It returns an error only where the pooler must not serve without the part.
	Run(ctx context.Context, g Runtime) error
}
