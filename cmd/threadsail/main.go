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

  serve     run the pooler, configured by PROXY_CONFIG and the other PROXY_ variables
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
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		terminate := make(chan struct{})
		go func() {
			<-signals
			close(terminate)
		}()
		return program.Serve(cfg, my, stderr, terminate, func(program.Addrs) {})
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
