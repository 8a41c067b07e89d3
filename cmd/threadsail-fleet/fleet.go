package main

import (
	"os"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/pooler"
)

// newFleetOptions is the pooler's part in its fleet, with the components that the operators' files ask for.
func newFleetOptions(settings *config.Config, fleetSettings *config.Fleet, build string, log zerolog.Logger) *pooler.FleetOptions {
	all := newComponents(settings, fleetSettings)
	o := fleet.Options{Config: fleetSettings, JitterFraction: pooler.Spread(settings), Log: log}
	for _, c := range all {
		o.Components = append(o.Components, c.Component)
	}
	return &pooler.FleetOptions{
		Config:     fleetSettings,
		Build:      build,
		Open:       func(events coordination.Events) (pooler.Fleet, error) { return fleet.Start(o, events) },
		Attach:     all.attach,
		NewLimiter: all.newLimiter(),
		Reload: func(settings *config.Config) *config.Fleet {
			next, err := config.LoadFleet(os.Getenv, settings)
			if err != nil || next == nil {
				log.Error().Err(err).Msg("reload: the fleet's old file stands; its parts are turned off by a restart alone")
				return nil
			}
			all.reload(settings, next)
			return next
		},
	}
}
