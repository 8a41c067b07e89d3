package main

import (
	"context"
	"debug/buildinfo"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"threadsail/internal/capacity"
	"threadsail/internal/lab/scalepooler"
)

type scalePoolerCmd struct {
	Parts      []string      `default:"clients,servers,statements,pings,connections" enum:"clients,servers,statements,pings,connections" help:"What to measure."`
	Plays      int           `default:"3" help:"Plays of each size."`
	Clients    []int         `default:"0,500,1000,2000,4000" help:"Clients of one pooler."`
	Servers    []int         `default:"12,120,1100,4400,8800" help:"Servers in its list, in groups of three."`
	Askers     []int         `default:"1,100" help:"Clients that share the statements."`
	Balancers  []int         `default:"5,5000" help:"Settings of the fleet's size, by which poolers ping and choose; the last is the fleet."`
	Rate       int           `default:"300" help:"Statements a second."`
	Window     time.Duration `default:"10s" help:"How long processor time is counted; pings half as long."`
	Settle     time.Duration `default:"2s" help:"Rest before a figure is read."`
	Idle       time.Duration `default:"10s" help:"Traffic before connections are counted: longer than idle ones are kept, 9s."`
	Own        int           `default:"30" help:"Groups with servers of their own, for connections."`
	Work       time.Duration `default:"2ms" help:"That a server takes over a statement."`
	NameLength int           `help:"Least length of a server's name: lists have a bound in bytes."`
	Most       time.Duration `default:"30m" help:"It ends by then, and says what is missing."`
	Binary     string        `default:"bin/threadsail" help:"The pooler to run."`
	Record     string        `placeholder:"DIR" help:"Write the figures into this folder."`
	Name       string        `help:"Name of the record."`
	Note       string        `help:"What else is to be known of the run."`
	Commit     string        `help:"Of the pooler that is run; otherwise as its build says."`
}

func (c *scalePoolerCmd) Run() error {
	if (c.Record == "") != (c.Name == "") {
		return fmt.Errorf("--record and --name belong together")
	}
	if c.Plays < 1 || c.Rate < 1 || c.Own < 1 || c.Window <= 0 || min(len(c.Clients), len(c.Servers), len(c.Askers), len(c.Balancers)) == 0 {
		return fmt.Errorf("plays, rate, own and window must be above 0, and there must be sizes")
	}
	if _, err := os.Stat(c.Binary); err != nil {
		return fmt.Errorf("%w: build it by go build -o bin/ ./cmd/threadsail", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeoutCause(ctx, c.Most, fmt.Errorf("--most %v is over", c.Most))
	defer cancel()
	m := scalepooler.Measurement{Command: func() *exec.Cmd { return exec.Command(c.Binary, "serve") }, Parts: c.Parts, Plays: c.Plays,
		Clients: c.Clients, Servers: c.Servers, Askers: c.Askers, Balancers: c.Balancers, Rate: c.Rate,
		Groups: (c.Servers[len(c.Servers)-1] + scalepooler.GroupOf - 1) / scalepooler.GroupOf, Own: c.Own, Window: c.Window, Settle: c.Settle,
		Idle: c.Idle, Work: c.Work, Name: c.NameLength, Listeners: 32, Progress: func(line string) { fmt.Println(line) }}
	return run(func(b *bench) {
		rows, err := m.Run(ctx, b)
		fmt.Println()
		rowsTable(os.Stdout, rows)
		if c.Record != "" && len(rows) > 0 {
			rec := capacity.Run{Name: c.Name, Command: "threadsail-lab " + strings.Join(os.Args[1:], " "), Commit: c.Commit, Machine: machine(),
				Date: time.Now().UTC().Format(time.DateOnly), Note: c.Note, Rows: rows}
			if rec.Commit == "" {
				rec.Commit = commitOf(c.Binary)
			}
			if err != nil {
				rec.Note = strings.TrimSpace(rec.Note + " Not whole: " + err.Error())
			}
			if bad := rec.Save(filepath.Clean(c.Record)); bad != nil {
				b.Fatal(bad)
			}
		}
		if err != nil {
			b.Fatal(err)
		}
	})
}

// commitOf is the commit that a program was built from, as its build says.
func commitOf(binary string) string {
	info, err := buildinfo.ReadFile(binary)
	if err != nil {
		return "unknown"
	}
	commit := "unknown"
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			commit += ", changed"
		}
	}
	return commit
}

// machine is what a record says of where it was taken.
func machine() string {
	text, _ := os.ReadFile("/proc/meminfo")
	var kB float64
	_, _ = fmt.Sscanf(string(text), "MemTotal: %f kB", &kB)
	return fmt.Sprintf("%d cores, %.0f GB, %s/%s", runtime.NumCPU(), kB/1e6, runtime.GOOS, runtime.GOARCH)
}

// rowsTable writes figures for a person.
func rowsTable(out io.Writer, rows []capacity.Row) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "phase\tfigure\tper\tsize\tunit\tleast\tmedian\tmost\tplays")
	for _, r := range rows {
		figure := r.Figure
		if r.Kind == "derived" {
			figure += " (derived)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%.4g\t%.4g\t%.4g\t%d\n", r.Phase, figure, r.Per, r.Size, r.Unit, r.Least, r.Median, r.Most, r.Plays)
	}
	_ = w.Flush()
}
