// Command threadsail is a pooler for replicated database groups.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"threadsail/internal/config"
	"threadsail/internal/program"
)

const usage = `usage: threadsail COMMAND

  serve     run the pooler, configured by PROXY_CONFIG and the other PROXY_ variables; SIGHUP reads it again
  check     read and check the configuration, and say what is wrong with it
  version   print the version
`

var errUsage = errors.New("usage")

func main() {
	err := run(os.Args[1:], os.Stdout, os.Stderr)
	if errors.Is(err, errUsage) || errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(os.Stderr, usage)
		os.Exit(2)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "threadsail: %v\n", err)
		os.Exit(1)
	}
}

func run(args []string, stdout, stderr io.Writer) error {
	if len(args) == 0 {
		return errUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	if err := flags.Parse(args[1:]); err != nil || flags.NArg() > 0 {
		return errUsage
	}
	switch args[0] {
	case "serve":
		cfg, my, err := load()
		if err != nil {
			return err
		}
		return program.Serve(cfg, my, stderr, control(), func(program.Addrs) {})
	case "check":
		cfg, my, err := load()
		if err != nil {
			return err
		}
		front := "off"
		if my != nil {
			if err := program.CheckInventory(my.Inventory); err != nil {
				return err
			}
			front = "at " + my.Listen
		}
		fmt.Fprintf(stdout, "configuration is fine: %d classes, %d members known, MySQL front %s\n",
			len(cfg.Settings.Classes), len(cfg.Known.Members), front)
		return nil
	case "version":
		fmt.Fprintln(stdout, "threadsail", version())
		return nil
	}
	return errUsage
}

// control listens to signals: SIGTERM and SIGINT end the program, SIGHUP has it read its configuration again.
func control() program.Control {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	terminate, reload := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		for ended := false; ; {
			switch s := <-signals; {
			case s == syscall.SIGHUP:
				select {
				case reload <- struct{}{}:
				default: // one is due already, and will see this change too
				}
			case !ended:
				ended = true
				close(terminate)
			}
		}
	}()
	return program.Control{Terminate: terminate, Reload: reload,
		Load: func(inForce *config.Config) (*config.Config, error) { return inForce.Reload(os.Getenv) }}
}

func load() (*config.Config, *config.MySQL, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	my, err := config.LoadMySQL(os.Getenv, cfg.ClassNames())
	return cfg, my, err
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
