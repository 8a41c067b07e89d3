package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/lab/scale"
)

type scaleCmd struct {
	Mechanism    string        `enum:"gossip,distribution" default:"gossip" help:"How what all share reaches all: gossip, or distribution."`
	Distributors int           `default:"6" help:"Of distribution: the first so many poolers, the three stewards among them."`
	Sizes        []int         `default:"50,100,200,400" help:"Poolers at once, real and hollow together, up to 5000 where it fits."`
	Plays        int           `default:"3" help:"Plays at each size; the table and the record hold least, median and most of them."`
	Real         int           `default:"12" help:"How many of them are processes of the pooler, the stewards first; 0: the stewards are hollow too."`
	Children     int           `default:"2" help:"Processes of hollow poolers, of one core each, and one more for those that are killed."`
	Window       time.Duration `default:"65s" help:"How long each phase is measured; whole views are exchanged in bursts each 10 s."`
	Settle       time.Duration `default:"15s" help:"Pause between the join and the first phase, and 0.25 s for each pooler: they tell their news by then."`
	JoinOver     time.Duration `default:"0s" help:"Start the hollow poolers one by one over so long; 0: all at once."`
	JoinMost     time.Duration `default:"90s" help:"A fleet that does not know itself whole by then is measured as it is."`
	Most         time.Duration `default:"40m" help:"The run ends after it, with the plays that are whole."`
	Fill         int           `default:"200" help:"Bytes of a changed document."`
	Phases       []string      `help:"Play only these (rest, change, changes60, restart, loss5), behind the join."`
	Binary       string        `default:"bin/threadsail-fleet" help:"The pooler to run."`
	JSON         string        `help:"Write the report as JSON to this file."`
	Plot         string        `help:"Draw bytes a second by size into this PNG file."`
	Record       string        `help:"Keep the run in this folder, as docs/capacity/runs does; needs --name."`
	Name         string        `help:"Name of the kept run."`
	Commit       string        `help:"Commit of the kept run; otherwise what this build knows."`
	Note         string        `help:"What else there is to say of the kept run."`
}

func (c *scaleCmd) Run() error {
	if c.Record != "" && c.Name == "" {
		return fmt.Errorf("--record: --name is missing")
	}
	if _, err := os.Stat(c.Binary); err != nil && c.Real > 0 {
		return fmt.Errorf("%w: go build -o bin/ ./cmd/threadsail-fleet, or --real 0", err)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, end := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer end()
	start := func(name string, args ...string) func() *exec.Cmd {
		return func() *exec.Cmd {
			cmd := exec.Command(name, args...)
			cmd.Env = os.Environ()
			return cmd
		}
	}
	began := time.Now()
	var rep scale.Report
	var failed error
	if err := run(func(b *bench) {
		rep, failed = scale.Run(b, scale.Options{Mechanism: c.Mechanism, Distributors: c.Distributors, Sizes: c.Sizes, Plays: c.Plays, Real: c.Real, Children: c.Children, Window: c.Window, Settle: c.Settle,
			JoinOver: c.JoinOver, JoinMost: c.JoinMost, Most: c.Most, Fill: c.Fill, Phases: c.Phases, Pooler: start(c.Binary, "serve"), Hollow: start(self, "scale-hollow"),
			Progress: func(line string) { fmt.Println(line) }, Stop: ctx.Done()})
	}); err != nil {
		return err
	}
	fmt.Println()
	if err := rep.Table(os.Stdout); err != nil {
		return err
	}
	if err := c.write(rep, time.Since(began)); err != nil {
		return err
	}
	return failed
}

// write writes the files that were asked for.
func (c *scaleCmd) write(rep scale.Report, took time.Duration) error {
	if c.JSON != "" {
		text, err := json.MarshalIndent(rep, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := drawScale(rep.Rows, "what one pooler sends, by "+c.Mechanism, c.Plot); err != nil {
			return err
		}
	}
	if c.Record == "" || len(rep.Rows) == 0 {
		return nil
	}
	return c.keep(rep, took)
}

// keep writes the run's record.
func (c *scaleCmd) keep(rep scale.Report, took time.Duration) error {
	if err := os.MkdirAll(c.Record, 0o755); err != nil {
		return err
	}
	notes := append([]string{fmt.Sprintf("The run took %v; each phase was measured for %v.", took.Round(time.Second), c.Window)}, rep.Notes...)
	if c.Note != "" {
		notes = append([]string{c.Note}, notes...)
	}
	return capacity.Run{Name: c.Name, Command: c.command(), Commit: cmp.Or(c.Commit, commit()), Machine: machine(), Date: time.Now().Format(time.DateOnly),
		Note: strings.Join(notes, " "), Rows: rep.Rows}.Save(c.Record)
}

// command is how the run can be had again, wherever its files lie.
func (c *scaleCmd) command() string {
	sizes := make([]string, len(c.Sizes))
	for i, n := range c.Sizes {
		sizes[i] = fmt.Sprint(n)
	}
	out := fmt.Sprintf("threadsail-lab scale --mechanism %s --sizes %s --plays %d --real %d --children %d --window %v --settle %v --join-over %v --join-most %v --fill %d", c.Mechanism, strings.Join(sizes, ","),
		c.Plays, c.Real, c.Children, c.Window, c.Settle, c.JoinOver, c.JoinMost, c.Fill)
	if c.Mechanism == scale.Distribution {
		out += fmt.Sprintf(" --distributors %d", c.Distributors)
	}
	if len(c.Phases) > 0 {
		out += " --phases " + strings.Join(c.Phases, ",")
	}
	return out
}

// commit is that of this program's build, with "+dirty" if files differed from it; "unknown" outside of a repository.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	set := map[string]string{"vcs.revision": "unknown"}
	for _, s := range info.Settings {
		set[s.Key] = s.Value
	}
	out := set["vcs.revision"]
	if set["vcs.modified"] == "true" {
		out += "+dirty"
	}
	return out
}

type scaleHollowCmd struct{}

func (*scaleHollowCmd) Run() error { return scale.Hollow(os.Stdin, os.Stdout) }
