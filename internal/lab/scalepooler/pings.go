package scalepooler

import (
	"context"

	"threadsail/internal/lab/standin"
)

// pings counts the questions for health that come to servers while no client asks: before any has, and behind one read and one
// write in each group.
func (r *run) pings(ctx context.Context, balancers, servers int) error {
	l := newList()
	defer l.end()
	known := r.entries(servers)
	l.tell(true, known)
	p, err := r.pooler(ctx, setup{balancers: balancers, known: known, list: l})
	if err != nil {
		return err
	}
	defer p.end()
	for _, phase := range []string{"untouched", "rest"} {
		if phase == "rest" {
			if err := r.touch(ctx, p, groups(servers)); err != nil {
				return err
			}
		}
		if err := pause(ctx, r.Settle); err != nil {
			return err
		}
		pings, probes := probed(r.primaries), probed(r.replicas)
		cpu, took, err := p.spent(func() error { return pause(ctx, r.Window/2) })
		if err != nil {
			return err
		}
		pings, probes = probed(r.primaries)-pings, probed(r.replicas)-probes
		rss, err := p.rss()
		if err != nil {
			return err
		}
		phase += fleetOf(balancers)
		r.add(phase, "group", groups(servers), "pings", "1/s", float64(pings)/took)
		r.add(phase, "group", groups(servers), "probes", "1/s", float64(probes)/took)
		r.add(phase, "group", groups(servers), "cpu", "core", cpu/took)
		r.add(phase, "group", groups(servers), "rss", "B", rss)
		r.say("%s, %d groups: %.1f pings and %.1f other probes a second, %.2f%% of a core, %.1f MB", phase, groups(servers),
			float64(pings)/took, float64(probes)/took, 100*cpu/took, rss/1e6)
	}
	return nil
}

func probed(servers []*standin.Server) (n int) {
	for _, s := range servers {
		n += s.Probes()
	}
	return n
}
