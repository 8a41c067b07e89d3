// Command threadsail-fleet is the pooler with the components of its fleet: the same program as threadsail serve, and what
// deploy/fleet.json sets, gossip and leases. It is a program of its own because the libraries behind these take 4 MB of
// resident memory, which a pooler that is on its own must not pay. It wires and decides nothing.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/pooler"
)

// version is what -ldflags "-X main.version=v1.4.0" gives a build; empty: what the Go command knows (pooler.BuildVersion).
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

// minMemoryBytes is twice what the program takes at rest with the components of its fleet.
const minMemoryBytes = 32 << 20

// serve reads the operators' files and serves until a signal ends it.
func serve(console bool, levelName string) error {
	settings, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	mysqlSettings, err := config.LoadMySQL(os.Getenv, settings)
	if err != nil {
		return err
	}
	fleetSettings, err := config.LoadFleet(os.Getenv, settings)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		return err
	}
	log := pooler.NewLogger(os.Stderr, console, level)
	control := pooler.SignalControl()
	if fleetSettings != nil {
		if settings.MemoryBytes < minMemoryBytes {
			return errors.New("limits.memory_mb: under 32, which the fleet's parts need")
		}
		control.Fleet = newFleetOptions(settings, fleetSettings, pooler.BuildVersion(version), log)
	}
	return pooler.Serve(settings, mysqlSettings, log, control, func(pooler.Addresses) {})
}
