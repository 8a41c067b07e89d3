package scalepooler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"threadsail/internal/lab/standin"
)

// statements measures the processor time of reads and of writes, at a pace, with so many servers in the list.
func (r *run) statements(ctx context.Context, servers int) error {
	l := newList()
	defer l.end()
	known := r.entries(servers)
	l.tell(true, known)
	p, err := r.pooler(ctx, setup{balancers: r.fleetSize(), known: known, list: l, clients: max(100, r.Askers[len(r.Askers)-1])})
	if err != nil {
		return err
	}
	defer p.end()
	if err := pause(ctx, r.Settle); err != nil {
		return err
	}
	rest, took, err := p.spent(func() error { return pause(ctx, r.Window/2) })
	if err != nil {
		return err
	}
	rest /= took
	for _, askers := range r.Askers {
		for _, writes := range []bool{false, true} {
			cpu, took, asked, unserved, err := r.asking(ctx, p, askers, groups(servers), writes)
			if err != nil {
				return err
			}
			phase := map[bool]string{false: "reads", true: "writes"}[writes] + fmt.Sprintf("_%d_clients_%d_servers", askers, servers)
			r.add(phase, "statement", r.Rate, "cpu", "core", cpu/took)
			r.add(phase, "statement", r.Rate, "cpu_each", "s", max(cpu-rest*took, 0)/float64(max(asked, 1)))
			r.add(phase, "statement", r.Rate, "rate", "1/s", float64(asked)/took)
			r.add(phase, "statement", r.Rate, "unserved", "1", float64(unserved))
			r.say("%s: %.1f a second, %d unserved, %.2f%% of a core, %.0f µs each beyond rest (%.2f%%)", phase, float64(asked)/took, unserved,
				100*cpu/took, 1e6*max(cpu-rest*took, 0)/float64(max(asked, 1)), 100*rest)
		}
	}
	return nil
}

// asking has clients ask together at the measurement's rate for its window, in all groups by turns, and tells what the pooler
// spent, in seconds, and how long that was. The clients have connected and asked before.
func (r *run) asking(ctx context.Context, p *process, askers, groups int, writes bool) (cpu, took float64, asked, unserved int, err error) {
	var clients []*standin.Postgres
	defer func() {
		for _, c := range clients {
			_ = c.Close()
		}
	}()
	text := func(i, n int) string {
		t := standin.Read("any", 2*time.Second)
		if writes {
			t = standin.Write(fmt.Sprintf("%08x%08x", i, n), 2*time.Second)
		}
		return standin.At((i*7919+n)%groups, t)
	}
	for i := range askers {
		c, err := standin.DialPostgres(p.front)
		if err != nil {
			return 0, 0, 0, 0, errors.Join(context.Cause(ctx), err)
		}
		clients = append(clients, c)
		_ = c.Do(text(i, 0))
	}
	every := time.Duration(askers) * time.Second / time.Duration(r.Rate)
	var mu sync.Mutex
	cpu, took, err = p.spent(func() error {
		ctx, cancel := context.WithTimeout(ctx, r.Window)
		defer cancel()
		var wg sync.WaitGroup
		for i, c := range clients {
			wg.Go(func() {
				if pause(ctx, every*time.Duration(i)/time.Duration(askers)) != nil {
					return
				}
				due := time.NewTicker(every)
				defer due.Stop()
				for n := 1; ; n++ {
					res := c.Do(text(i, n))
					mu.Lock()
					if asked++; !res.Served() {
						unserved++
					}
					mu.Unlock()
					select {
					case <-due.C:
					case <-ctx.Done():
						return
					}
					if res.Err != nil {
						return
					}
				}
			})
		}
		wg.Wait()
		return nil
	})
	return cpu, took, asked, unserved, errors.Join(err, context.Cause(ctx))
}

// touchMost bounds the asking of all groups: a pooler that has no processor left for them is what was measured then.
const touchMost = 30 * time.Second

// touch has each group asked once, a read and a write.
func (r *run) touch(ctx context.Context, p *process, groups int) error {
	const askers = 10
	ctx, cancel := context.WithTimeoutCause(ctx, touchMost, fmt.Errorf("%d groups can't be asked within %v", groups, touchMost))
	defer cancel()
	failed := make([]error, askers)
	var wg sync.WaitGroup
	for i := range askers {
		wg.Go(func() {
			c, err := standin.DialPostgres(p.front)
			if err != nil {
				failed[i] = err
				return
			}
			defer c.Close()
			for g := i; g < groups && ctx.Err() == nil; g += askers {
				for _, text := range []string{standin.Read("any", 2*time.Second), standin.Write("", 2*time.Second)} {
					if res := c.Do(standin.At(g, text)); res.Err != nil {
						failed[i] = res.Err
						return
					}
				}
			}
		})
	}
	wg.Wait()
	return errors.Join(append(failed, context.Cause(ctx))...)
}
