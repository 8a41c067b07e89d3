package scalepooler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"threadsail/internal/lab/standin"
)

const (
	clientServers = 120             // in the list while clients are counted
	busyFor       = 2 * time.Minute // patience of the requests that are kept open
)

// clients measures memory with so many clients that have asked once and rest, and then with a request of each open.
func (r *run) clients(ctx context.Context, n int) error {
	l := newList()
	defer l.end()
	known := r.entries(clientServers)
	l.tell(true, known)
	p, err := r.pooler(ctx, setup{balancers: r.fleetSize(), clients: n, known: known, list: l, patience: busyFor})
	if err != nil {
		return err
	}
	defer p.end()
	var clients []*standin.Postgres
	defer func() {
		for _, c := range clients {
			_ = c.Close()
		}
	}()
	for i := range n {
		c, err := standin.DialPostgres(p.front)
		if err != nil {
			return errors.Join(context.Cause(ctx), err)
		}
		clients = append(clients, c)
		if res := c.Do(standin.At(i%groups(clientServers), standin.Read("any", busyFor))); !res.Served() {
			return errors.Join(context.Cause(ctx), fmt.Errorf("client %d: %+v", i, res))
		}
	}
	if err := pause(ctx, r.Settle); err != nil {
		return err
	}
	resting, err := p.rss()
	if err != nil {
		return err
	}
	if n == 0 {
		r.add("empty", "pooler", 1, "rss", "B", resting)
		r.say("no clients: %.1f MB", resting/1e6)
		return nil
	}
	cpu, took, err := p.spent(func() error { return pause(ctx, r.Settle) })
	if err != nil {
		return err
	}
	// Servers that keep what they get: each client has a request open, at a server or held in the pooler.
	release := make(chan struct{})
	hold := func(standin.Seen) standin.Act {
		<-release
		return standin.Break
	}
	for _, s := range append(r.primaries[:len(r.primaries):len(r.primaries)], r.replicas...) {
		s.Do(hold)
		defer s.Do(r.work)
	}
	defer close(release)
	for i, c := range clients {
		if err := c.Send(standin.At(i%groups(clientServers), standin.Read("any", busyFor))); err != nil {
			return errors.Join(context.Cause(ctx), err)
		}
	}
	if err := pause(ctx, r.Settle); err != nil {
		return err
	}
	busy, err := p.rss()
	if err != nil {
		return err
	}
	open, err := p.figure("pending")
	if err != nil {
		return err
	}
	r.add("resting", "client", n, "rss", "B", resting)
	r.add("resting", "client", n, "cpu", "core", cpu/took)
	r.add("busy", "client", n, "rss", "B", busy)
	r.add("busy", "client", n, "requests_open", "1", open)
	r.say("%d clients: %.1f MB resting, %.2f%% of a core; %.1f MB with %.0f requests open", n, resting/1e6, 100*cpu/took, busy/1e6, open)
	return nil
}

// fleetSize is settings.balancers of the whole fleet.
func (r *run) fleetSize() int { return r.Balancers[len(r.Balancers)-1] }
