package lab

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"threadsail/internal/lab/standin"
)

// Demo shows the pooler at work: a group of servers, clients, and a primary that dies once.
type Demo struct {
	Wire    string
	Length  time.Duration
	Clients int
	Pooler  func(env map[string]string) (addr string)
	Out     io.Writer
}

// DemoReport is what came of it.
type DemoReport struct {
	Counts
	Overlaps   int
	WriteGap   time.Duration // the longest without a served write
	Leaderless time.Duration // from the primary's death until another server took its place
	P50, P99   time.Duration
	Seen       map[string]int // statements by server
}

// Run plays it: the primary dies after two fifths of the time, and a replica takes over 2 s later, as an election would
// have it.
func (d Demo) Run(h standin.Host) DemoReport {
	f := standin.NewFleet(h, d.Wire == "mysql", nil, "db1", "db2", "db3", "db4")
	f.FromFile(nil)
	load := NewLoad(d.Wire, d.Pooler(f.Env), 3*time.Second, 4*time.Millisecond)
	writers := max(d.Clients/4, 1) // of their own: a write that waits for a primary keeps no reader waiting
	load.Start(d.Clients-writers, 1, 0)
	load.Start(writers, 2, 1)
	const election = 2 * time.Second
	began := time.Now()
	dies := time.After(d.Length * 2 / 5)
	var elected <-chan time.Time
	var died time.Time
	report := DemoReport{Seen: map[string]int{}}
	show := time.NewTicker(time.Second)
	defer show.Stop()
	say := func(format string, args ...any) {
		fmt.Fprintf(d.Out, "%5.1f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
	say("4 servers on loopback, %d clients; db1 is primary", d.Clients)
	before := Counts{}
	for end := time.After(d.Length); ; {
		select {
		case <-dies:
			f.Servers[0].Down()
			died = time.Now()
			elected = time.After(election)
			say("db1 dies")
		case <-elected:
			f.Servers[1].Set(true, 0)
			report.Leaderless = time.Since(died)
			say("db2 is elected primary")
		case <-show.C:
			now, _ := load.Now()
			say("%6d served, %4d refused, %4d failed, %d lost in this second", now.Served-before.Served, now.Refused-before.Refused,
				now.Failed-before.Failed, now.Lost-before.Lost)
			before = now
		case <-end:
			load.Stop()
			report.Counts, _ = load.Now()
			report.Overlaps, report.WriteGap = f.Ledger.Overlaps(), load.WriteGap()
			report.P50, report.P99 = load.Took(50), load.Took(99)
			for _, s := range f.Servers {
				report.Seen[s.Name] = len(s.Seen())
			}
			return report
		}
	}
}

// Table writes the result for a person.
func (r DemoReport) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, v any) { fmt.Fprintf(w, "%s\t%v\n", name, v) }
	row("requests", r.Sum())
	row("served", r.Served)
	row("refused (a repeat is harmless)", r.Refused)
	row("failed (it may have run)", r.Failed)
	row("lost (no answer)", r.Lost)
	row("overlapping attempts", r.Overlaps)
	row("median and 99th percentile of served requests", fmt.Sprintf("%v, %v", r.P50, r.P99))
	row("group without a primary for", r.Leaderless.Round(time.Millisecond))
	row("longest time without a served write", r.WriteGap.Round(time.Millisecond))
	for _, name := range []string{"db1", "db2", "db3", "db4"} {
		row("statements at "+name, r.Seen[name])
	}
	return w.Flush()
}
