package main

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"threadsail/internal/lab"
	"threadsail/internal/lab/scenario"
)

//go:embed scenarios/*.json
var scenarios embed.FS

type fleetCmd struct {
	Scenario string `arg:"" help:"A shipped scenario (calm, roll, herd, zone, split, join, leases, distribution, limits, pushed, shards) or a scenario file."`
	Poolers  int    `help:"Play it with so many poolers instead; steps that name poolers by index must fit them."`
	Binary   string `help:"The pooler to run: bin/threadsail unless given, and bin/threadsail-fleet where the poolers know each other. If it is missing, this program's own."`
	Journals string `help:"Put the poolers' journals of acts into this folder, for threadsail audit."`
	JSON     string `help:"Write the report as JSON to this file."`
	Logs     string `help:"Write the poolers' logs to this file, one JSON line each with the pooler's index."`
	Plot     string `help:"Draw requests and new connections by the second into this PNG file."`
}

// Run plays the scenario, prints the report and writes the files that were asked for.
func (c *fleetCmd) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	command, err := c.poolerCommand(s)
	if err != nil {
		return err
	}
	var logs *os.File
	if c.Logs != "" {
		if logs, err = os.Create(c.Logs); err != nil {
			return err
		}
		defer func() {
			if err := logs.Close(); err != nil {
				fmt.Fprintln(os.Stderr, "logs:", err)
			}
		}()
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer end()
	return run(func(b *bench) {
		f := lab.Fleet{Scenario: s, Stop: ctx.Done(), Command: command, Progress: func(line string) { fmt.Println(line) }}
		if logs != nil {
			f.Logs = logs
		}
		rep := f.Run(b)
		fmt.Println()
		rep.Table(os.Stdout)
		if err := c.write(&rep); err != nil {
			b.Fatal(err)
		}
		if len(rep.Broken) > 0 {
			b.Fatal("a promise was broken: " + strings.Join(rep.Broken, "; "))
		}
	})
}

// load reads the scenario, a shipped one or a file, with the number of poolers that was asked for.
func (c *fleetCmd) load() (scenario.Scenario, error) {
	name := "scenarios/" + c.Scenario + ".json"
	text, err := scenarios.ReadFile(name)
	if err != nil {
		name = c.Scenario
		if text, err = os.ReadFile(name); err != nil {
			return scenario.Scenario{}, err
		}
	}
	if c.Poolers > 0 {
		var raw map[string]any
		if err := json.Unmarshal(text, &raw); err != nil {
			return scenario.Scenario{}, fmt.Errorf("%s: %w", name, err)
		}
		raw["poolers"] = c.Poolers
		if text, err = json.Marshal(raw); err != nil {
			return scenario.Scenario{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return scenario.Parse(name, text)
}

// poolerCommand returns what starts a pooler of the scenario: the binary or, where that is missing, this program's own pooler.
func (c *fleetCmd) poolerCommand(s scenario.Scenario) (func() *exec.Cmd, error) {
	if c.Binary == "" {
		c.Binary = "bin/threadsail"
		if s.Fleet.Voters > 0 {
			c.Binary = "bin/threadsail-fleet"
		}
	}
	program, args := c.Binary, []string{"serve"}
	if _, err := os.Stat(c.Binary); err != nil {
		if s.Fleet.Voters > 0 {
			return nil, fmt.Errorf("%w: poolers that know each other are built by go build -o bin/ ./cmd/threadsail-fleet", err)
		}
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		program, args = self, []string{"pooler", "--wire", "postgres"}
	}
	return func() *exec.Cmd {
		cmd := exec.Command(program, args...)
		cmd.Env = os.Environ()
		return cmd
	}, nil
}

// write writes the files that were asked for.
func (c *fleetCmd) write(rep *lab.FleetReport) error {
	if c.JSON != "" {
		rep.Requests = nil // the figures, not every request
		text, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Clean(c.JSON), append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.Journals != "" {
		if err := keep(rep.Journals, c.Journals); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return drawFleet(*rep, fmt.Sprintf("%s: %d poolers, %d servers", c.Scenario, rep.Poolers, rep.Servers), c.Plot)
}

// keep copies the poolers' journals, which are gone with the run, into a folder.
func keep(journals []string, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for i, name := range journals {
		text, err := os.ReadFile(name)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("n%d.acts", i+1)), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
