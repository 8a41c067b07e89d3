// Command threadsail is a pooler for replicated database groups, and its operators' tool.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/pooler"
)

// What the program's exit says.
const (
	exitFine   = 0
	exitFailed = 1 // a bad configuration, a bad inventory, or something that could not be done
	exitUsage  = 2 // the command line can't be understood
	exitDiffer = 3 // inventory diff: the lists are not the same
)

var errDiffer = errors.New("the lists differ")

type commands struct {
	Serve     serveCmd     `cmd:"" help:"Run the pooler, configured by PROXY_CONFIG and the other PROXY_ variables; SIGHUP reads it again."`
	Check     checkCmd     `cmd:"" help:"Read and check the configuration and the server lists that it names, and say what is wrong."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
	Audit     auditCmd     `cmd:"" help:"Merge the journals of a fleet's poolers: versions over time, stragglers, acts by old tokens, disagreements."`
	Inventory inventoryCmd `cmd:"" help:"Check, compare, seal, convert and bring back files of servers."`
}

// streams is where commands write.
type streams struct{ out, err io.Writer }

func main() { os.Exit(run(os.Args[1:], streams{os.Stdout, os.Stderr})) }

func run(args []string, s streams) (code int) {
	if len(args) == 1 && args[0] == "serve" { // as deployed: the parser of the commands would cost memory for good
		return exit((&serveCmd{LogFormat: "json", LogLevel: "info"}).Run(s), s)
	}
	var cli commands
	type ended int
	defer func() { // help ends the parse, and not the program: the code is ours to return
		if e, ok := recover().(ended); ok {
			code = int(e)
		}
	}()
	parser, err := kong.New(&cli, kong.Name("threadsail"), kong.Description("A pooler for replicated database groups.\n\n"+
		"It exits with 0 if all is well, 1 for a bad configuration or inventory or anything that could not be done, 2 for a wrong "+
		"command line, and 3 if inventory diff finds a difference."),
		kong.Writers(s.out, s.err), kong.Exit(func(code int) { panic(ended(code)) }), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		panic(err) // the commands above are wrong
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.err, "threadsail: %v\n", err)
		var wrong *kong.ParseError
		if errors.As(err, &wrong) {
			_ = wrong.Context.PrintUsage(true)
		}
		return exitUsage
	}
	return exit(ctx.Run(s), s)
}

// exit puts a command's end into the program's.
func exit(err error, s streams) int {
	switch {
	case err == nil:
		return exitFine
	case errors.Is(err, errDiffer):
		return exitDiffer
	default:
		fmt.Fprintf(s.err, "threadsail: %v\n", err)
		return exitFailed
	}
}

type serveCmd struct {
	LogFormat string `enum:"json,console" default:"json" help:"Form of the log on standard error: json or console."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Least level of what is logged: debug, info, warn or error."`
}

func (c *serveCmd) Run(s streams) error {
	cfg, my, err := load()
	if err != nil {
		return err
	}
	if on, err := config.FleetEnabled(os.Getenv); err != nil {
		return err
	} else if on {
		return errors.New("PROXY_FLEET: enabled is true, and this program has no fleet's parts: run threadsail-fleet serve")
	}
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return err
	}
	log := pooler.NewLogger(s.err, c.LogFormat == "console", level)
	return pooler.Serve(cfg, my, log, pooler.SignalControl(), func(pooler.Addresses) {})
}

type checkCmd struct{}

func (*checkCmd) Run(s streams) error {
	cfg, my, err := load()
	if err != nil {
		return err
	}
	part, err := config.LoadFleet(os.Getenv, cfg)
	if err != nil {
		return err
	}
	if err := pooler.CheckLists(cfg, my); err != nil {
		return err
	}
	front := "off"
	if my != nil {
		front = "at " + my.Listen
	}
	fleet := "off"
	if part != nil {
		fleet = fmt.Sprintf("as %s, %d stewards", part.Name, len(part.Voters))
	}
	fmt.Fprintf(s.out, "configuration is fine: %d classes, %d members known, MySQL front %s, fleet %s\n",
		len(cfg.Settings.Classes), len(cfg.KnownServers.Members), front, fleet)
	return nil
}

// version is what -ldflags "-X main.version=v1.4.0" gives a build; empty: what the Go command knows (program.Build).
var version string

type versionCmd struct{}

func (*versionCmd) Run(s streams) error { //nolint:unparam // kong runs only commands that return an error
	fmt.Fprintln(s.out, "threadsail", pooler.BuildVersion(version))
	return nil
}

// load reads all that the pooler is configured by; the MySQL front is nil while it is off.
func load() (*config.Config, *config.MySQL, error) {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return nil, nil, err
	}
	my, err := config.LoadMySQL(os.Getenv, cfg)
	return cfg, my, err
}
