// Command threadsail-fleet is the pooler with its fleet's parts: the same program as threadsail serve, and what
// deploy/fleet.json sets, membership and leases. It is a program of its own because the libraries behind these take 4 MB of
// resident memory, which a pooler that is on its own must not pay.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// version is what -ldflags "-X main.version=v1.4.0" gives a build; empty: what the Go command knows (program.Build).
var version string

func main() {
	flags := flag.NewFlagSet("threadsail-fleet serve", flag.ContinueOnError)
	console := flags.Bool("console", false, "write the log for people, not as JSON")
	level := flags.String("log-level", "info", "least level of what is logged: debug, info, warn or error; debug tells every renewal and word")
	if len(os.Args) < 2 || os.Args[1] != "serve" || flags.Parse(os.Args[2:]) != nil || flags.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "usage: threadsail-fleet serve [flags]   (every other command is threadsail's)")
		flags.PrintDefaults()
		os.Exit(2)
	}
	if err := serve(*console, *level); err != nil {
		fmt.Fprintf(os.Stderr, "threadsail-fleet: %v\n", err)
		os.Exit(1)
	}
}

func serve(console bool, level string) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	my, err := config.LoadMySQL(os.Getenv, cfg)
	if err != nil {
		return err
	}
	part, err := config.LoadFleet(os.Getenv, cfg)
	if err != nil {
		return err
	}
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		return err
	}
	log := pooler.NewLogger(os.Stderr, console, least)
	control := pooler.SignalControl()
	if part != nil {
		if cfg.MemoryBytes < minMemoryBytes {
			return errors.New("limits.memory_mb: under 32, which the fleet's parts need")
		}
		control.Fleet = newFleetPart(cfg, part, pooler.BuildVersion(version), log)
	}
	return pooler.Serve(cfg, my, log, control, func(pooler.Addresses) {})
}

// newFleetPart puts the parts that the files ask for between the pooler and its fleet.
func newFleetPart(cfg *config.Config, c *config.Fleet, build string, log zerolog.Logger) *pooler.FleetOptions {
	all := newComponents(cfg, c)
	o := fleet.Options{Config: c, JitterFraction: pooler.Spread(cfg), Log: log}
	var limit func(func(int) policy.Class, func() policy.Settings) pooler.Limiter
	for _, p := range all {
		o.Components = append(o.Components, p.Component)
		if p.limit != nil {
			limit = p.limit
		}
	}
	return &pooler.FleetOptions{Config: c, Build: build, NewLimiter: limit,
		Open: func(events pooler.FleetEvents) (pooler.Fleet, error) { return fleet.Start(o, events) },
		Attach: func(f pooler.Frontend) {
			for _, p := range all {
				if p.attach != nil {
					p.attach(f)
				}
			}
		},
		Reload: func(cfg *config.Config) *config.Fleet {
			next, err := config.LoadFleet(os.Getenv, cfg)
			if err != nil || next == nil {
				log.Error().Err(err).Msg("reload: the fleet's old file stands; its parts are turned off by a restart alone")
				return nil
			}
			for _, p := range all {
				if p.reload != nil {
					p.reload(cfg, next)
				}
			}
			return next
		}}
}

// minMemoryBytes is twice what the program takes at rest with its fleet's parts.
const minMemoryBytes = 32 << 20
