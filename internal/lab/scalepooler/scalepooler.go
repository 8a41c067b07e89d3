// Package scalepooler measures what one real pooler costs for each client, server, group and statement. It decides nothing:
// its rows are what a run of internal/capacity holds.
package scalepooler

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"threadsail/internal/capacity"
	"threadsail/internal/lab/standin"
)

// The parts of a measurement, in the order in which they are taken.
const (
	Clients     = "clients"     // memory by clients, resting and with a request open
	Servers     = "servers"     // memory, start and changes of the list by servers
	Statements  = "statements"  // processor time by statements
	Pings       = "pings"       // questions for health by groups
	Connections = "connections" // connections at a server by poolers
)

// Parts are all of them.
var Parts = []string{Clients, Servers, Statements, Pings, Connections}

// GroupOf is how many servers a group of the lists has: a primary and two replicas. A last group may have fewer.
const GroupOf = 3

// Measurement is what is to be measured, and with what.
type Measurement struct {
	Command   func() *exec.Cmd // a new process of the pooler, which the measurement gives its environment
	Parts     []string
	Plays     int
	Clients   []int // sizes of the part Clients
	Servers   []int // sizes of the parts Servers, Statements and Pings
	Askers    []int // clients that share the statements
	Balancers []int // settings.balancers of the parts Pings and Connections; the last is the fleet's size
	Rate      int   // statements a second
	Groups    int   // of the whole fleet, over which a pooler's statements are spread
	Own       int   // groups with servers of their own, in the part Connections
	Window    time.Duration
	Settle    time.Duration // from a change until a figure is read
	Idle      time.Duration // after which no idle connection is left that traffic does not keep, in the part Connections
	Work      time.Duration // that a stand-in server takes over a statement: answers in no time at all look slow by chance
	Name      int           // bytes of a server's name, at the least
	Listeners int           // stand-in servers that the names of a list share: as many for the primaries as for the replicas
	Progress  func(line string)
}

// sockets is limits.sockets for so many resting clients: a pooler gives clients half of its sockets, and turns resting ones out
// once half of that is taken.
func sockets(clients, servers int) int { return max(1024, 4*clients+4*servers+256) }

const (
	memoryMB = 2048 // limits.memory_mb: a limit that binds would be what is measured
	spare    = 512  // descriptors of this process besides clients, listeners and connections
	perName  = 4    // connections at a stand-in server for each of the groups that share it, at most, with room
)

// Fits tells why a size can't be measured under a limit of descriptors a process; nil: it can.
func (m Measurement) Fits(descriptors int) error {
	for _, n := range m.Clients {
		if need := n + perName*2*m.Listeners + spare; slices.Contains(m.Parts, Clients) && need > descriptors {
			return fmt.Errorf("%d clients take %d descriptors, and ulimit -n is %d: leave that size out or raise it", n, need, descriptors)
		}
	}
	if need := 2*GroupOf*m.Own*perName + spare; slices.Contains(m.Parts, Connections) && need > descriptors {
		return fmt.Errorf("%d groups with servers of their own take %d descriptors, and ulimit -n is %d", m.Own, need, descriptors)
	}
	for _, n := range m.Servers {
		if need := 2*groups(n) + 4*m.Listeners + spare; (slices.Contains(m.Parts, Pings) || slices.Contains(m.Parts, Statements)) && need > descriptors {
			return fmt.Errorf("%d servers take %d descriptors, and ulimit -n is %d: leave that size out or raise it", n, need, descriptors)
		}
	}
	return nil
}

func groups(servers int) int { return (servers + GroupOf - 1) / GroupOf }

// Run measures all parts in turn, with one process of the pooler at a time. Rows come back with an error too: those that were
// whole when the context ended or a part failed.
func (m Measurement) Run(ctx context.Context, h standin.Host) ([]capacity.Row, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return nil, err
	}
	if err := m.Fits(int(min(limit.Cur, 1<<30))); err != nil {
		return nil, err
	}
	r := &run{Measurement: m, h: h, began: time.Now()}
	r.open()
	var failed []error
	for _, part := range Parts {
		if !slices.Contains(m.Parts, part) {
			continue
		}
		// Play by play and not size by size: what else the machine does is then spread over all sizes.
		for play := range m.Plays {
			r.say("%s: play %d of %d", part, play+1, m.Plays)
			if err := r.play(ctx, part); err != nil {
				failed = append(failed, fmt.Errorf("%s: play %d: %w", part, play+1, err))
			}
			if ctx.Err() != nil {
				break
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return r.rows(), errors.Join(failed...)
}

func (r *run) play(ctx context.Context, part string) error {
	switch part {
	case Clients:
		return each(ctx, r.Clients, func(n int) error { return r.clients(ctx, n) })
	case Servers:
		return each(ctx, r.Servers, func(n int) error { return r.servers(ctx, n) })
	case Statements:
		return each(ctx, r.Servers, func(n int) error { return r.statements(ctx, n) })
	case Pings:
		return each(ctx, r.Balancers, func(b int) error { return each(ctx, r.Servers, func(n int) error { return r.pings(ctx, b, n) }) })
	case Connections:
		return each(ctx, r.Balancers, func(b int) error { return r.connections(ctx, b) })
	}
	return fmt.Errorf("no part %q", part)
}

// each goes through all sizes, whatever becomes of one: a size that breaks must not hide the others.
func each(ctx context.Context, sizes []int, do func(n int) error) error {
	var failed []error
	for _, n := range sizes {
		if ctx.Err() != nil {
			return errors.Join(append(failed, context.Cause(ctx))...)
		}
		if err := do(n); err != nil {
			failed = append(failed, fmt.Errorf("size %d: %w", n, err))
		}
	}
	return errors.Join(failed...)
}

// run is a measurement under way.
type run struct {
	Measurement
	h         standin.Host
	began     time.Time
	fleet     *standin.Fleet
	primaries []*standin.Server
	replicas  []*standin.Server
	own       []*standin.Server
	news      *standin.Server // of groups that show when a list is taken; it answers at once
	samples   []sample
}

type sample struct {
	row    capacity.Row // without its figures
	values []float64
}

func (r *run) say(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf("%6.1f s  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)))
	}
}

// add takes in a figure of one play.
func (r *run) add(phase, per string, size int, figure, unit string, value float64) {
	r.take(capacity.Row{Mechanism: "alone", Phase: phase, Role: "pooler", Kind: "pooler", Figure: figure, Unit: unit, Per: per, Size: size}, value)
}

func (r *run) take(row capacity.Row, value float64) {
	i := slices.IndexFunc(r.samples, func(s sample) bool { return s.row == row })
	if i < 0 {
		i, r.samples = len(r.samples), append(r.samples, sample{row: row})
	}
	r.samples[i].values = append(r.samples[i].values, value)
}

func (r *run) rows() (out []capacity.Row) {
	for _, s := range r.samples {
		slices.Sort(s.values)
		n := len(s.values)
		s.row.Plays, s.row.Least, s.row.Most = n, s.values[0], s.values[n-1]
		s.row.Median = (s.values[(n-1)/2] + s.values[n/2]) / 2
		out = append(out, s.row)
	}
	return out
}

// pause waits, or tells that the run has ended.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
