package scalepooler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"threadsail/internal/lab/standin"
)

const (
	deltas    = 100 // changes of one member whose processor time is taken together
	deltaPace = 5 * time.Millisecond
	wholes    = 3 // whole lists likewise
)

// servers measures a pooler's start with so many servers in its list, what it is at rest, and what a change costs: one that
// names a single member, and the whole list said again.
func (r *run) servers(ctx context.Context, n int) error {
	l := newList()
	defer l.end()
	known := r.entries(n)
	next := groups(n) // the first group that no list has named
	// The service's list has one group more than the configuration's, by which it shows when it is taken.
	news := func() entry {
		next++
		e := r.entry(fmt.Sprintf("news%d", next), next-1, true)
		e.HostPort = r.news.Addr
		return e
	}
	whole := append(slices.Clip(known[:n]), news())
	bytes := l.tell(true, whole)
	p, err := r.pooler(ctx, setup{balancers: r.fleetSize(), known: known, list: l})
	if err != nil {
		return err
	}
	defer p.end()
	c, err := standin.DialPostgres(p.front)
	if err != nil {
		return errors.Join(context.Cause(ctx), err)
	}
	defer c.Close()
	at, err := taken(ctx, c, next-1)
	if err != nil {
		return fmt.Errorf("list of %d B: %w; the pooler says: %v", bytes, err, p.tail())
	}
	after := at.Sub(p.began)
	starting, err := p.cpu()
	if err != nil {
		return err
	}
	if err := pause(ctx, r.Settle); err != nil {
		return err
	}
	rss, err := p.rss()
	if err != nil {
		return err
	}
	rest, took, err := p.spent(func() error { return pause(ctx, r.Settle) })
	if err != nil {
		return err
	}
	rest /= took
	r.add("startup", "server", n, "startup", "s", p.served.Seconds())
	r.add("startup", "server", n, "list_taken", "s", after.Seconds())
	r.add("startup", "server", n, "cpu", "s", starting)
	r.add("startup", "server", n, "list_bytes", "B", float64(bytes))
	r.add("rest", "server", n, "rss", "B", rss)
	r.add("rest", "server", n, "cpu", "core", rest)
	r.say("%d servers in %d groups: serves after %.0f ms, list of %d B taken after %.0f ms, %.0f ms of a core; %.1f MB, %.3f%% of a core at rest",
		n, groups(n), 1e3*p.served.Seconds(), bytes, 1e3*after.Seconds(), 1e3*starting, rss/1e6, 100*rest)

	changed := known[n/2]
	change := func() entry {
		changed.UpSince += 1000 // started again, long ago
		return changed
	}
	for _, kind := range []struct {
		phase    string
		complete bool
		times    int
		pace     time.Duration
	}{{"delta", false, deltas, deltaPace}, {"whole_list", true, wholes, min(r.Settle, time.Second)}} {
		// The time by a new group, asked for without a stop; the processor time without that asking, of a changed member.
		said := news()
		members := []entry{said}
		if kind.complete {
			whole = append(whole, said)
			members = whole
		}
		began := time.Now()
		l.tell(kind.complete, members)
		at, err := taken(ctx, c, said.Cell)
		if err != nil {
			return fmt.Errorf("%s: %w; the pooler says: %v", kind.phase, err, p.tail())
		}
		after := at.Sub(began)
		whole[n/2] = changed
		if !kind.complete {
			whole = append(whole, said)
		}
		var sent int
		cpu, took, err := p.spent(func() error {
			for range kind.times {
				members := []entry{change()}
				if kind.complete {
					whole[n/2] = members[0]
					members = whole
				}
				sent = l.tell(kind.complete, members)
				if err := pause(ctx, kind.pace); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		cpu = max(cpu-rest*took, 0) / float64(kind.times)
		r.add(kind.phase, "server", n, "list_taken", "s", after.Seconds())
		r.add(kind.phase, "server", n, "cpu", "s", cpu)
		r.say("%d servers, %s of %d B: taken after %.1f ms, %.3f ms of a core", n, kind.phase, sent, 1e3*after.Seconds(), 1e3*cpu)
	}
	return nil
}
