package main

import (
	"context"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/shardmap"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// shardComponent is the shard map's part, on the fleet's ground.
type shardComponent struct {
	*shardmap.Component
	movesRanges bool // for the duty of moves
}

// newShardComponent is the part that routes by key and moves ranges between clusters; nil: there is no map.
func newShardComponent(c *config.Fleet) *shardComponent {
	if len(c.Shards.Ranges) == 0 {
		return nil
	}
	return &shardComponent{shardmap.New(shardOptions(c)), c.Shards.Copier != ""}
}

// Run is documented with fleet.Part.
func (p *shardComponent) Run(ctx context.Context, g fleet.Runtime) error {
	ground := shardmap.Runtime{Bus: g.Bus, View: g.View, Store: g.Store, Log: g.Log}
	if p.movesRanges { // each that stands costs the stewards a write a term or so
		ground.Leadership = g.Campaign(ctx, shardmap.LeaseName)
	}
	return p.Component.Run(ctx, ground)
}

// attach puts the guard on a front's core.
func (p *shardComponent) attach(f pooler.Frontend) {
	f.Dispatcher.AddGuard(p.Guard(func(class int) bool { return f.Dispatcher.ClassInfo(class).Access == policy.Write }))
}

// reload takes over what the operators order.
func (p *shardComponent) reload(_ *config.Config, c *config.Fleet) {
	p.Component.Reload(shardOptions(c))
}

// shardOptions is what the operators' file has of the map and its moves.
func shardOptions(c *config.Fleet) shardmap.Options {
	file := c.Shards
	opt := shardmap.Options{Name: c.Name, Term: c.Term, MaxClockDrift: c.Drift, MaxPrepared: file.PreparedMost, MaxFenced: file.FencedMost,
		Ranges: file.Ranges, Epoch: file.Epoch, Retired: file.Retired}
	if file.Copier != "" {
		opt.Copier = shardmap.HTTPCopier{URL: file.Copier}
	}
	for _, m := range file.Moves {
		opt.Orders = append(opt.Orders, shardmap.Order{Name: m.Name, Range: shardmap.Range{From: m.From, To: m.To, Cluster: m.Target},
			Source: m.Source, Undo: m.Undo})
	}
	return opt
}
