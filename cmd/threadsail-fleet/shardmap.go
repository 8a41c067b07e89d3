package main

import (
	"context"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/shardmap"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// shardComponent is the shard map on the fleet's runtime.
type shardComponent struct {
	*shardmap.Component
	movesRanges bool // it is a candidate for the lease of moves
}

// newShardComponent returns the component that routes by key and moves ranges between clusters; nil: there is no map.
func newShardComponent(fleetSettings *config.Fleet) *shardComponent {
	if len(fleetSettings.Shards.Ranges) == 0 {
		return nil
	}
	return &shardComponent{shardmap.New(shardOptions(fleetSettings)), fleetSettings.Shards.CopierURL != ""}
}

// Run implements fleet.Component.
func (c *shardComponent) Run(ctx context.Context, r fleet.Runtime) error {
	runtime := shardmap.Runtime{Bus: r.Bus, View: r.View, Store: r.Store, Log: r.Log}
	if c.movesRanges { // each candidate costs the voters a request in a lease's duration or so
		runtime.Leadership = r.Campaign(ctx, shardmap.LeaseName)
	}
	return c.Component.Run(ctx, runtime)
}

// attach adds the guard to a frontend.
func (c *shardComponent) attach(f pooler.Frontend) {
	isWrite := func(class int) bool { return f.Dispatcher.ClassInfo(class).Access == policy.Write }
	f.Dispatcher.AddGuard(c.Guard(isWrite))
}

// reload takes over what the operators order.
func (c *shardComponent) reload(_ *config.Config, fleetSettings *config.Fleet) {
	c.Reload(shardOptions(fleetSettings))
}

// shardOptions is what the operators' file says of the map and its moves.
func shardOptions(fleetSettings *config.Fleet) shardmap.Options {
	file := fleetSettings.Shards
	options := shardmap.Options{
		Name:          fleetSettings.Name,
		Term:          fleetSettings.Term,
		MaxClockDrift: fleetSettings.MaxClockDrift,
		MaxPrepared:   file.MaxPrepared,
		MaxFenced:     file.MaxFenced,
		Ranges:        file.Ranges,
		Epoch:         file.Epoch,
		Retired:       file.RetiredProcesses,
	}
	if file.CopierURL != "" {
		options.Copier = shardmap.HTTPCopier{URL: file.CopierURL}
	}
	for _, m := range file.Moves {
		options.Orders = append(options.Orders, shardmap.Order{
			Name:   m.Name,
			Range:  shardmap.Range{From: m.From, To: m.To, Cluster: m.Target},
			Source: m.Source,
			Undo:   m.Undo,
		})
	}
	return options
}
